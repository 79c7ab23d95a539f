// Connections of callers that were idle for the configured time, and requests
// that come just then.

#include "fixture.h"

namespace
{

// Longer than the idle timeout of the configuration.
constexpr int past_idle_timeout_ms = 1300;

class IdleClose : public RouterTest
{
protected:
  using Sockets = std::vector<std::unique_ptr<wire::Socket>>;

  // More connections than the event loop reads of at once.
  static constexpr int many = 150;

  // Opens connections that have carried a request each.
  Sockets
  open_used_connections (int count)
  {
    Sockets sockets;
    for (int i = 0; i < count; i++)
      {
        sockets.push_back (std::make_unique<wire::Socket> (
            wire::Socket::connect_to (router->callers ())));
        sockets.back ()->send (request ("GET", "/safe/x"));
        EXPECT_EQ (sockets.back ()->read ().status (), 200);
      }
    return sockets;
  }

  // Stops the router's process while SEND runs and MS pass, as on a host
  // without processor time.
  void
  while_stopped (const std::function<void ()> &send, int ms)
  {
    router->signal (SIGSTOP);
    send ();
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
    router->signal (SIGCONT);
  }
};

// A request that crosses the close of its connection was read and dropped, so
// that its caller could not know that it had not run.
TEST_F (IdleClose, RequestThatCrossesItIsNotRead)
{
  Sockets sockets = open_used_connections (1);
  ASSERT_TRUE (sockets[0]->closes_within (2000));
  sockets[0]->send (request ("POST", "/once/x", "", "b"));
  EXPECT_TRUE (is_reset_within (*sockets[0], 3000));
  EXPECT_EQ (engine_request_count (), 1U);
}

// Requests that had come before the router got round to the idle timeout were
// dropped with their connections.
TEST_F (IdleClose, RequestsThatWaitAtTheTimeoutAreServed)
{
  Sockets sockets = open_used_connections (many);
  int served = 0;
  while_stopped (
      [&] {
        for (auto &socket : sockets)
          socket->send (request ("GET", "/safe/x"));
      },
      past_idle_timeout_ms);
  for (auto &socket : sockets)
    served += socket->read (3000).status () == 200;
  EXPECT_EQ (served, many);
}

// Requests whose rest had come before the router got round to the timeout of
// their heads were refused as too slow.
TEST_F (IdleClose, RestsOfRequestsThatWaitAtTheTimeoutAreRead)
{
  Sockets sockets = open_used_connections (many);
  std::vector<std::string> texts;
  int served = 0;
  for (auto &socket : sockets)
    {
      texts.push_back (request ("POST", "/safe/x", "", "body"));
      socket->send (texts.back ().substr (0, 30));
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  while_stopped (
      [&] {
        for (size_t i = 0; i < sockets.size (); i++)
          sockets[i]->send (texts[i].substr (30));
      },
      past_idle_timeout_ms);
  for (auto &socket : sockets)
    served += socket->read (3000).status () == 200;
  EXPECT_EQ (served, many);
}

// A connection that stays idle is still closed in time.
TEST_F (IdleClose, ConnectionWithoutARequestIsClosed)
{
  Sockets sockets = open_used_connections (1);
  EXPECT_FALSE (sockets[0]->closes_within (700));
  EXPECT_TRUE (sockets[0]->closes_within (600));
}

}
