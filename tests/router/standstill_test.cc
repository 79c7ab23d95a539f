// Answers that come while the router's process stands still, as on a host that
// freezes or has no processor time.

#include "fixture.h"

namespace
{

class Standstill : public RouterTest
{
protected:
  using Sockets = std::vector<std::unique_ptr<wire::Socket>>;

  // More answers than the event loop reads of at once.
  static constexpr int many = 100;

  // As many as the targets have slots for, or fewer.
  static constexpr size_t few = 10;

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
    Sockets sockets;
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

  // Shared with scripts, which may run longer than a test.
  struct End
  {
    std::function<void (wire::Socket &)> run;
    std::atomic<bool> is_due{ false };
    std::atomic<size_t> count{ 0 };
  };

  // Lets the targets answer when all of the first requests have come, and run
  // END with the connections that are idle then when it is due.
  void
  set_ending_scripts (const std::shared_ptr<End> &end)
  {
    set_engine_scripts ([=, this] (wire::Socket &socket,
                                   const wire::Message &message) {
      // Not asked after the answer, when the test may have gone on.
      bool is_first = !end->is_due;
      Router::eventually ([this] { return engine_request_count () >= few; });
      Target::respond_with ("hello") (socket, message);
      if (!is_first)
        return true;
      Router::eventually ([&] { return end->is_due.load (); });
      end->run (socket);
      end->count++;
      return socket.is_open ();
    });
  }

  // Sends a request that may not be repeated on each of SOCKETS.
  void
  send_unsafe_requests (const Sockets &sockets)
  {
    for (auto &socket : sockets)
      socket->send (request ("POST", "/once/x", "", "b"));
  }

  // Stops the process while requests come on connections that have carried one
  // each, and meanwhile the targets call RUN with their idle connections.
  // Returns how many requests were served.
  size_t
  count_served_after (const std::function<void (wire::Socket &)> &run)
  {
    auto end = std::make_shared<End> ();
    Sockets sockets;
    size_t served = 0;
    end->run = run;
    set_ending_scripts (end);
    for (size_t i = 0; i < few; i++)
      sockets.push_back (std::make_unique<wire::Socket> (
          wire::Socket::connect_to (router->callers ())));
    send_unsafe_requests (sockets);
    for (auto &socket : sockets)
      EXPECT_EQ (socket->read (3000).status (), 200);
    router->signal (SIGSTOP);
    waitpid (router->pid (), nullptr, WUNTRACED);
    send_unsafe_requests (sockets);
    end->is_due = true;
    EXPECT_TRUE (Router::eventually ([&] { return end->count == few; }));
    router->signal (SIGCONT);
    for (auto &socket : sockets)
      served += socket->read (3000).status () == 200;
    EXPECT_EQ (engine_request_count (), 2 * few);
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

// Requests went out on connections that their targets had just closed, and
// failed as if they might have run.
TEST_F (Standstill, RequestsAvoidConnectionsThatTargetsHaveClosed)
{
  EXPECT_EQ (
      count_served_after ([] (wire::Socket &socket) { socket.close (); }),
      few);
}

// The same of connections with bytes that answer nothing.
TEST_F (Standstill, RequestsAvoidConnectionsWithStrayBytes)
{
  EXPECT_EQ (count_served_after (
                 [] (wire::Socket &socket) { socket.send ("stray"); }),
             few);
  EXPECT_EQ (router->counter ("stale_answers"), static_cast<int> (few));
}

// Targets that sent without end kept their requests beyond the deadline, since
// there was always something to read first.
TEST_F (Standstill, EndlessAnswersEndAtTheDeadline)
{
  set_engine_scripts ([] (wire::Socket &socket, const wire::Message &message) {
    std::string part = Target::chunk (std::string (30000, 'x'));
    socket.send (Target::signed_head (message, "200 OK",
                                      "Transfer-Encoding: chunked\r\n\r\n"));
    while (socket.send (part))
      ;
    return false;
  });
  Sockets sockets;
  for (size_t i = 0; i < few; i++)
    {
      sockets.push_back (std::make_unique<wire::Socket> (
          wire::Socket::connect_to (router->callers ())));
      sockets.back ()->send (request ("GET", "/safe/x"));
    }
  std::vector<std::thread> readers;
  for (auto &socket : sockets)
    readers.emplace_back ([&socket] {
      while (socket->fill (4000))
        socket->drop_buffered ();
    });
  // The route's timeout, and the time in which its end is owed.
  std::this_thread::sleep_for (std::chrono::milliseconds (1500 + 500));
  EXPECT_NE (router->metrics ().find (
                 "\ncranberrystile_router_requests_in_flight 0\n"),
             std::string::npos);
  router->signal (SIGKILL);
  for (auto &reader : readers)
    reader.join ();
}

}
