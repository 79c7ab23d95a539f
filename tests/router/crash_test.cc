// Requests that end the target which begins to answer them.

#include "fixture.h"

namespace
{

// Two routers that are peers, with many targets of which each ends, and
// refuses connections from then on, when it begins to answer a prompt with a
// part of BAD_PART.
class CrashingPart : public RouterTest
{
protected:
  static constexpr int target_count = 14;
  static constexpr const char *bad_part = "bad0";

  std::string
  extra_settings () override
  {
    return "[retry]\nratio = 0.2\nslack = 10\n[peer]\ndirectory_s = 1\n"
           "beat_ms = 100\n";
  }

  void
  SetUp () override
  {
    for (int i = 0; i < target_count; i++)
      {
        targets.push_back (
            std::make_unique<Target> ("t-" + std::to_string (i)));
        crash_on_bad_part (*targets.back ());
        store.put ("servers", targets.back ()->id (),
                   targets.back ()->entry ("engines"));
      }
    RouterTest::SetUp ();
    for (Target *target : { &engine, &second_engine })
      crash_on_bad_part (*target);
    peer
        = std::make_unique<Router> ("r2", store.address (), extra_settings ());
    ASSERT_TRUE (Router::eventually ([&] {
      return peer->is_ready ()
             && peer->log ().find ("CS1301") != std::string::npos;
    }));
    wait_for_directory ();
  }

  void
  crash_on_bad_part (Target &target)
  {
    target.set ([this, &target] (wire::Socket &socket,
                                 const wire::Message &message) {
      if (message.field ("x-prompt-prefix").find (bad_part)
          == std::string::npos)
        return Target::stream (5) (socket, message);
      reached++;
      socket.send (Target::signed_head (message, "200 OK",
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n"));
      target.crash ();
      return false;
    });
  }

  // Sends a request with the prompt PARTS and a last part of its own to
  // ROUTER. Returns the response.
  wire::Message
  ask (Router &router, const std::string &route, const std::string &parts)
  {
    wire::Socket socket (wire::Socket::connect_to (router.callers ()));
    std::string own = std::to_string (++last_request_number);
    socket.send (request ("POST", "/" + route + "/x",
                          "X-Model: m\r\nX-Token-Usage: 100,20\r\n"
                          "X-Prompt-Prefix: "
                              + parts + "," + own + ":10\r\n",
                          "b"));
    return socket.read (5000);
  }

  // Sends COUNT requests with the bad part, to both routers in turn.
  void
  send_bad (int count, const std::string &route)
  {
    for (int i = 0; i < count; i++)
      {
        std::string other = std::to_string (100 + i);
        ask (i % 2 == 0 ? *router : *peer, route,
             "aa:50," + other + ":5," + bad_part + ":30");
        std::this_thread::sleep_for (std::chrono::milliseconds (60));
      }
  }

  std::vector<std::unique_ptr<Target>> targets;
  std::unique_ptr<Router> peer;
  std::atomic<int> reached{ 0 };
};

// Each target in turn was sent the requests that had ended the others.
TEST_F (CrashingPart, IsKeptFromTargetsAfterFiveHaveEnded)
{
  send_bad (5, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  EXPECT_LE (reached, 5);
  int before = reached;
  send_bad (8, "talk");
  EXPECT_LE (reached - before, 3);
}

// A stream that may be resumed ended two targets with each request.
TEST_F (CrashingPart, IsKeptFromTargetsWhereStreamsAreResumed)
{
  send_bad (4, "chat");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = reached;
  send_bad (6, "chat");
  EXPECT_LE (reached - before, 3);
}

// Requests of the same caller that share all other parts were refused.
TEST_F (CrashingPart, DoesNotKeepOthersFromTargets)
{
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (ask (*router, "talk", "aa:50,100:5,101:5").status (), 200);
  send_bad (8, "talk");
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (ask (i % 2 == 0 ? *router : *peer, "talk", "aa:50,100:5,101:5")
                   .status (),
               200);
}

// A router that starts later, as after a restart, does not know what its peers
// have learnt, and sends such requests on.
TEST_F (CrashingPart, IsKnownToARouterThatStartsLater)
{
  send_bad (8, "talk");
  Router late ("r3", store.address (), extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] { return late.is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = reached;
  for (int i = 0; i < 4; i++)
    ask (late, "talk", std::string ("aa:50,") + bad_part + ":30");
  EXPECT_EQ (reached, before);
}

// What all routers had learnt was gone when all were killed at once.
TEST_F (CrashingPart, IsKnownAfterAllRoutersWereKilled)
{
  send_bad (8, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  router->signal (SIGKILL);
  peer->signal (SIGKILL);
  router->restart ();
  peer->restart ();
  ASSERT_TRUE (Router::eventually (
      [&] { return router->is_ready () && peer->is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  int before = reached;
  send_bad (6, "talk");
  EXPECT_EQ (reached, before);
}

}
