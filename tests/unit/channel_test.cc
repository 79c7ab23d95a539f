// Channels that were closed while their peer had not read all output.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "net/channel.h"
}

namespace
{

// The limit of a lingering close, LINGER_US of net/linger.c.
constexpr cs_time_us_t linger_us = 2 * CS_US_PER_S;
// More than the kernel buffers for a connection.
constexpr size_t answer_bytes = 16 * 1024 * 1024;

class LingeringClose : public testing::Test
{
protected:
  void
  SetUp () override
  {
    sockaddr_in address = {};
    socklen_t len = sizeof address;
    int listener = socket (AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    auto *any = reinterpret_cast<sockaddr *> (&address);
    ASSERT_EQ (bind (listener, any, len), 0);
    ASSERT_EQ (listen (listener, 1), 0);
    getsockname (listener, any, &len);
    peer_ = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (connect (peer_, any, len), 0);
    int fd = accept4 (listener, nullptr, nullptr, SOCK_NONBLOCK);
    close (listener);
    loop_ = cs_loop_create ();
    channel_ = cs_channel_adopt (loop_, fd, &handlers_, nullptr);
    cs_timer_init (&tick_, loop_, on_tick, this);
  }

  void
  TearDown () override
  {
    cs_timer_clear (&tick_);
    cs_channels_close_lingering (loop_);
    cs_loop_destroy (loop_);
    close (peer_);
  }

  // Runs the loop until no lingering channel has output, for at most LIMIT_US.
  // Returns how long that took.
  cs_time_us_t
  run_while_output_lingers (cs_time_us_t limit_us)
  {
    cs_time_us_t start = cs_loop_now (loop_);
    until_ = start + limit_us;
    cs_timer_set (&tick_, 0);
    cs_loop_run (loop_);
    return cs_loop_now (loop_) - start;
  }

  cs_loop_t *loop_ = nullptr;
  cs_channel_t *channel_ = nullptr;
  int peer_ = -1;

private:
  static void
  on_tick (void *context, cs_time_us_t now)
  {
    auto *test = static_cast<LingeringClose *> (context);
    if (now >= test->until_
        || !cs_channels_have_lingering_output (test->loop_))
      cs_loop_stop (test->loop_);
    cs_timer_set (&test->tick_, 10 * CS_US_PER_MS);
  }

  cs_channel_handlers_t handlers_ = {};
  cs_timer_t tick_ = {};
  cs_time_us_t until_ = 0;
};

TEST_F (LingeringClose, EndsIfThePeerDoesNotRead)
{
  std::string answer (answer_bytes, 'x');
  cs_channel_send (channel_, { answer.data (), answer.size () });
  cs_channel_close_gracefully (channel_);
  cs_time_us_t took = run_while_output_lingers (10 * linger_us);
  EXPECT_GE (took, linger_us);
  // The kernel may still take something the first time.
  EXPECT_LT (took, 3 * linger_us);
}

}
