// Answers that a caller has not yet read when its connection is closed.

#include "fixture.h"

namespace
{

// A caller with a small receive buffer, and the body that it is sent.
struct SlowCaller
{
  wire::Socket socket;
  size_t size;

  SlowCaller (int port, size_t bytes)
      : socket (wire::Socket::connect_to (port, 16 * 1024)), size (bytes)
  {
  }

  // Whether the whole answer can be read within MS.
  bool
  reads_all (int ms)
  {
    wire::Message response = socket.read (ms);
    return response.is_complete && response.body.size () == size;
  }

  // Reads at most 40 KB a second for MS.
  void
  read_slowly (int ms)
  {
    for (int64_t until = wire::now_ms () + ms; wire::now_ms () < until;)
      {
        socket.fill (0);
        std::this_thread::sleep_for (std::chrono::milliseconds (400));
      }
  }
};

class UnreadAnswer : public RouterTest
{
protected:
  static constexpr int lame_duck_ms = 100;
  // The limit of a lingering close, LINGER_US of net/linger.c.
  static constexpr int linger_ms = 2000;
  // Longer than the idle timeout of the configuration.
  static constexpr int past_idle_timeout_ms = 1200;
  // More than a caller's receive buffer, but all taken by the kernel.
  static constexpr size_t kernel_bytes = 128 * 1024;
  // Less than the router queues for a caller before it pauses the target.
  static constexpr size_t step_bytes = 32 * 1024;
  static constexpr size_t max_bytes = 8 * 1024 * 1024;

  std::string
  extra_settings () override
  {
    return "[stop]\nlame_duck_ms = " + std::to_string (lame_duck_ms)
           + "\ngrace_s = 8\n";
  }

  bool
  has_no_request ()
  {
    return router->metrics ().find (
               "\ncranberrystile_router_requests_in_flight 0\n")
           != std::string::npos;
  }

  // A caller of which the router is sent an answer of SIZE bytes.
  std::unique_ptr<SlowCaller>
  ask_for (size_t size, const std::string &fields)
  {
    set_engine_scripts (Target::respond_with (std::string (size, 'x')));
    auto caller = std::make_unique<SlowCaller> (router->callers (), size);
    caller->socket.send (request ("POST", "/talk/x", fields, "b"));
    return caller;
  }

  // A caller whose answer the router has whole, and part of it only in its own
  // queue: the kernel takes no more.  An answer a step larger would not be
  // read from its target.
  std::unique_ptr<SlowCaller>
  caller_with_queued_answer (const std::string &fields)
  {
    size_t fits = step_bytes;
    size_t excess = max_bytes;
    while (excess - fits > step_bytes)
      {
        size_t size = (fits + excess) / 2 / 1024 * 1024;
        auto caller = ask_for (size, fields);
        (Router::eventually ([this] { return has_no_request (); }, 400)
             ? fits
             : excess)
            = size;
        caller->socket.reset ();
        EXPECT_TRUE (
            Router::eventually ([this] { return has_no_request (); }));
      }
    /* How much the kernel takes varies a little.  */
    auto caller = ask_for (fits - step_bytes, fields);
    EXPECT_TRUE (
        Router::eventually ([this] { return has_no_request (); }, 1000));
    return caller;
  }

  // Sends a request on the connection after the router has closed it as idle.
  void
  ask_after_idle_close (SlowCaller &caller)
  {
    std::this_thread::sleep_for (
        std::chrono::milliseconds (past_idle_timeout_ms));
    count_at_idle_close_ = engine_request_count ();
    caller.socket.send (request ("POST", "/once/x", "", "b"));
  }

  size_t
  asked_since_idle_close ()
  {
    return engine_request_count () - count_at_idle_close_;
  }

private:
  size_t count_at_idle_close_ = 0;
};

// A stop ended the process while answers were queued, as their callers had
// been closed already, though gracefully.
TEST_F (UnreadAnswer, OutlastsAStop)
{
  auto caller = caller_with_queued_answer ("Connection: close\r\n");
  router->signal (SIGTERM);
  EXPECT_EQ (router->exit_within (lame_duck_ms + 1000), -1);
  EXPECT_TRUE (caller->reads_all (5000));
  EXPECT_EQ (router->exit_within (1000), 0);
}

// The time of a lingering close ran from the close, so that a caller that read
// for longer was cut.
TEST_F (UnreadAnswer, IsNotCutWhileItsCallerReads)
{
  auto caller = caller_with_queued_answer ("Connection: close\r\n");
  caller->read_slowly (5000);
  EXPECT_TRUE (caller->reads_all (5000));
}

// The idle close read a request that came after it, and dropped it.
TEST_F (UnreadAnswer, OutlastsAnIdleCloseThatItsCallerCrosses)
{
  auto caller = caller_with_queued_answer ("");
  ask_after_idle_close (*caller);
  EXPECT_TRUE (caller->reads_all (1000));
  EXPECT_TRUE (is_reset_within (caller->socket, linger_ms + 1000));
  EXPECT_EQ (asked_since_idle_close (), 0U);
}

// The request that came after the idle close reset the connection, with the
// rest of the answer.
TEST_F (UnreadAnswer, InTheKernelOutlastsAnIdleCloseThatItsCallerCrosses)
{
  auto caller = ask_for (kernel_bytes, "");
  EXPECT_TRUE (Router::eventually ([this] { return has_no_request (); }));
  ask_after_idle_close (*caller);
  EXPECT_TRUE (caller->reads_all (1000));
  EXPECT_TRUE (is_reset_within (caller->socket, linger_ms + 1000));
  EXPECT_EQ (asked_since_idle_close (), 0U);
}

// Connections that wait only for their callers to close do not delay a stop.
TEST_F (UnreadAnswer, InTheKernelDoesNotDelayAStop)
{
  auto caller = ask_for (kernel_bytes, "");
  EXPECT_TRUE (Router::eventually ([this] { return has_no_request (); }));
  std::this_thread::sleep_for (
      std::chrono::milliseconds (past_idle_timeout_ms));
  router->signal (SIGTERM);
  EXPECT_EQ (router->exit_within (lame_duck_ms + 700), 0);
  EXPECT_TRUE (caller->reads_all (1000));
}

}
