// Answers that come while the router's process stands still, as on a host that
// freezes or has no processor time.

#include "fixture.h"

namespace
{

class Standstill : public RouterTest
{
protected:
  // More answers than the event loop reads of at once.
  static constexpr int many = 100;

  // Sends requests that the targets answer after 300 ms, and stops the process
  // before that and for STOPPED_MS.  Returns how many got the answer.
  int
  count_served (int stopped_ms)
  {
    set_engine_scripts (
        [] (wire::Socket &socket, const wire::Message &message) {
          std::this_thread::sleep_for (std::chrono::milliseconds (300));
          return Target::respond_with ("hello") (socket, message);
        });
    std::vector<std::unique_ptr<wire::Socket>> sockets;
    for (int i = 0; i < many; i++)
      {
        sockets.push_back (std::make_unique<wire::Socket> (
            wire::Socket::connect_to (router->callers ())));
        sockets.back ()->send (request ("GET", "/safe/x"));
      }
    EXPECT_TRUE (Router::eventually (
        [this] { return engine_request_count () == many; }, 200));
    router->signal (SIGSTOP);
    std::this_thread::sleep_for (std::chrono::milliseconds (stopped_ms));
    router->signal (SIGCONT);
    int served = 0;
    for (auto &socket : sockets)
      served += socket->read (3000).status () == 200;
    return served;
  }
};

// Answers that were ready were replaced by 504: their deadline passed before
// the router read them.
TEST_F (Standstill, AnswersThatWaitAtTheDeadlineAreDelivered)
{
  EXPECT_EQ (count_served (1700), many);
}

// Requests whose answers were ready were sent to another target: the router
// took the first one for silent before it read them.
TEST_F (Standstill, AnswersThatWaitAtTheSilenceTimeoutAreUsed)
{
  EXPECT_EQ (count_served (1000), many);
  EXPECT_EQ (engine_request_count (), static_cast<size_t> (many));
}

// An answer that ends with its connection, and was reset while the process
// stood still, was delivered as if it were complete.
TEST_F (Standstill, AnswerThatWasResetMeanwhileIsNotComplete)
{
  set_engine_scripts ([] (wire::Socket &socket, const wire::Message &message) {
    socket.send (
        Target::signed_head (message, "200 OK", "\r\nhalf of the body"));
    std::this_thread::sleep_for (std::chrono::milliseconds (500));
    socket.reset ();
    return false;
  });
  wire::Socket socket (wire::Socket::connect_to (router->callers ()));
  socket.send (request ("POST", "/once/x", "", "b"));
  ASSERT_TRUE (Router::eventually (
      [this] { return engine_request_count () == 1; }, 200));
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  router->signal (SIGSTOP);
  std::this_thread::sleep_for (std::chrono::milliseconds (1700));
  router->signal (SIGCONT);
  EXPECT_NE (socket.read (3000).status (), 200);
}

// The same of a stream.
TEST_F (Standstill, StreamThatWasResetMeanwhileIsNotComplete)
{
  set_engine_scripts ([] (wire::Socket &socket, const wire::Message &message) {
    socket.send (Target::signed_head (message, "200 OK",
                                      "Content-Type: text/event-stream\r\n\r\n"
                                          + Target::event (1)));
    std::this_thread::sleep_for (std::chrono::milliseconds (500));
    socket.reset ();
    return false;
  });
  wire::Socket socket (wire::Socket::connect_to (router->callers ()));
  socket.send (request ("POST", "/talk/x", "", "b"));
  ASSERT_TRUE (Router::eventually (
      [this] { return engine_request_count () == 1; }, 200));
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  router->signal (SIGSTOP);
  std::this_thread::sleep_for (std::chrono::milliseconds (9500));
  router->signal (SIGCONT);
  EXPECT_FALSE (socket.read (3000).is_complete);
}

}
