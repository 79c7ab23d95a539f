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

}
