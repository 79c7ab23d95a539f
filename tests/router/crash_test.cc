// Requests that end the target which begins to answer them.

#include "fixture.h"
#include "relay.h"

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
      if (message.body.find (slow_body) == 0)
        std::this_thread::sleep_for (std::chrono::milliseconds (2500));
      if (message.body.find (crash_body) != 0
          && message.field ("x-prompt-prefix").find (bad_part)
                 == std::string::npos)
        return Target::stream (5) (socket, message);
      reached++;
      socket.send (Target::signed_head (message, "200 OK",
                                        "Content-Type: text/event-stream\r\n"
                                            + framing + "\r\n"));
      if (only_resets)
        socket.reset ();
      else
        target.crash ();
      return false;
    });
  }

  // Returns a request with the prompt PARTS and a last part of its own.  The
  // body, which holds the prompt, is the same for the same parts.
  static std::string
  prompt_request (const std::string &route, const std::string &parts,
                  const std::string &body)
  {
    std::string own = std::to_string (++last_request_number);
    return request ("POST", "/" + route + "/x",
                    "X-Model: m\r\nX-Token-Usage: 100,20\r\n"
                    "X-Prompt-Prefix: "
                        + parts + "," + own + ":10\r\n",
                    body + "|" + parts);
  }

  wire::Message
  ask (Router &router, const std::string &route, const std::string &parts,
       const std::string &body = "b")
  {
    wire::Socket socket (wire::Socket::connect_to (router.callers ()));
    socket.send (prompt_request (route, parts, body));
    return socket.read (5000);
  }

  // Keeps further requests from the target that runs the one with the slow
  // body, so that no crash cuts that one.  A peer that hasn't been told of its
  // load yet would choose the same target.
  void
  keep_slow_target_apart ()
  {
    Target *slow_target = nullptr;
    auto runs_slow = [] (Target &target) {
      for (auto &message : target.requests ())
        if (message.body.find (slow_body) == 0)
          return true;
      return false;
    };
    ASSERT_TRUE (Router::eventually ([&] {
      for (auto &target : targets)
        if (runs_slow (*target))
          slow_target = target.get ();
      for (Target *target : { &engine, &second_engine })
        if (runs_slow (*target))
          slow_target = target;
      return slow_target != nullptr;
    }));
    store.put ("servers", slow_target->id (),
               slow_target->entry ("engines", "draining"));
    std::string event = "CS1401 target=" + slow_target->id () + " ";
    ASSERT_TRUE (Router::eventually ([&] {
      return router->log ().find (event) != std::string::npos
             && peer->log ().find (event) != std::string::npos;
    }));
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

  void
  expect_known_after_loss_of_all ()
  {
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

  static constexpr const char *crash_body = "crash";
  static constexpr const char *slow_body = "slow";
  std::string framing = "Transfer-Encoding: chunked\r\n";
  std::atomic<bool> only_resets{ false };
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

// The number of sound parts in front of the bad one, which another sound one
// follows.
class LongPrompt : public CrashingPart, public testing::WithParamInterface<int>
{
protected:
  // Sends COUNT requests, no two alike, to both routers in turn.  Returns how
  // many are served.
  int
  send (int count, const std::string &parts)
  {
    int served = 0;
    for (int i = 0; i < count; i++)
      {
        served += ask (i % 2 == 0 ? *router : *peer, "talk", parts,
                       std::to_string (last_request_number))
                      .status ()
                  == 200;
        std::this_thread::sleep_for (std::chrono::milliseconds (60));
      }
    return served;
  }
};

// Only the first 16 parts of a prompt were looked at.
TEST_P (LongPrompt, IsKeptFromTargetsWhereverItsBadPartIs)
{
  std::string sound = "aa:50";
  for (int i = 1; i < GetParam (); i++)
    sound += ",c" + std::to_string (100 + i) + ":5";
  std::string prompt = sound + "," + bad_part + ":30,cc:5";
  EXPECT_EQ (send (4, sound + ",cc:5"), 4);
  send (5, prompt);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  EXPECT_LE (reached, 5);
  int before = reached;
  send (8, prompt);
  EXPECT_LE (reached - before, 3);
  EXPECT_EQ (send (4, sound + ",cc:5"), 4);
}

INSTANTIATE_TEST_SUITE_P (Parts, LongPrompt, testing::Values (16, 60, 150));

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
  expect_known_after_loss_of_all ();
}

// As above, but the store had the block only for a moment: a list that may be
// old lacks it.
TEST_F (CrashingPart, IsKnownFromAStoreWhoseOldListsLackIt)
{
  Store::Copy old = store.copy ();
  send_bad (8, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.set_old_lists (old);
  expect_known_after_loss_of_all ();
}

// The router that saw the last crash could not reach the store, and the others
// left it to that one.
TEST_F (CrashingPart, IsSavedByThePeersOfARouterWithoutTheStore)
{
  Relay relay (store.port ());
  Router cut_off ("r3", relay.address (), extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] {
    return cut_off.is_ready ()
           && cut_off.log ().find ("name=r2") != std::string::npos
           && cut_off.log ().find ("name=r1") != std::string::npos;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  relay.cut = true;
  for (int i = 0; i < 8; i++)
    ask (cut_off, "talk", std::string ("aa:50,") + bad_part + ":30",
         std::to_string (i));
  EXPECT_TRUE (Router::eventually (
      [&] { return store.count ("blockedparts") > 0; }, 2000));
  cut_off.signal (SIGKILL);
  expect_known_after_loss_of_all ();
}

// The store came back from a copy without the block.
TEST_F (CrashingPart, IsSavedAgainInAStoreThatWasRestored)
{
  Store::Copy old = store.copy ();
  send_bad (8, "talk");
  ASSERT_TRUE (Router::eventually (
      [&] { return store.count ("blockedparts") > 0; }, 2000));
  store.restore (old);
  EXPECT_TRUE (Router::eventually (
      [&] { return store.count ("blockedparts") > 0; }, 4000));
  expect_known_after_loss_of_all ();
}

// The store was away for longer than the write was repeated.
TEST_F (CrashingPart, IsSavedSoonAfterALongOutage)
{
  store.error_status = 503;
  send_bad (8, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (8000));
  store.error_status = 0;
  EXPECT_TRUE (Router::eventually (
      [&] { return store.count ("blockedparts") > 0; }, 3500));
}

// With the entry gone from the store only its hub can tell it.
TEST_F (CrashingPart, IsKnownFromPeersAlone)
{
  send_bad (8, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.remove ("blockedparts", bad_part);
  Router late ("r3", store.address (), extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] {
    return late.is_ready ()
           && late.log ().find ("CS1301") != std::string::npos;
  }));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = reached;
  for (int i = 0; i < 4; i++)
    ask (late, "talk", std::string ("aa:50,") + bad_part + ":30");
  EXPECT_EQ (reached, before);
}

// An answer without a length that a crashing target closes looked complete.
TEST_F (CrashingPart, IsKeptFromTargetsWhoseAnswersHaveNoLength)
{
  framing = "";
  send_bad (5, "talk");
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = reached;
  send_bad (8, "talk");
  EXPECT_LE (reached - before, 3);
}

// Before anything was answered, the part that all requests share was blocked.
TEST_F (CrashingPart, DoesNotKeepOthersFromTargetsOnANewRoute)
{
  for (int i = 0; i < 6; i++)
    {
      ask (i % 2 == 0 ? *router : *peer, "talk",
           std::string ("aa:50,") + bad_part + ":30");
      std::this_thread::sleep_for (std::chrono::milliseconds (60));
    }
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (
        ask (i % 2 == 0 ? *router : *peer, "talk", "aa:50,101:5").status (),
        200);
}

// A target that resets a connection and lives has not crashed.
TEST_F (CrashingPart, ConnectionsThatAreResetBlockNothing)
{
  only_resets = true;
  send_bad (8, "talk");
  EXPECT_EQ (reached, 8);
}

TEST_F (CrashingPart, RefusalSaysThatNothingRanAndWhenToComeBack)
{
  send_bad (8, "talk");
  wire::Message response
      = ask (*router, "talk", std::string ("aa:50,") + bad_part + ":30");
  EXPECT_EQ (response.status (), 503);
  EXPECT_NE (response.body.find ("blocked_part"), std::string::npos);
  EXPECT_GT (std::atof (response.field ("retry-after").c_str ()), 10);
}

// A part that is blocked while a request with it runs, whose answer clears it.
class ClearedPart : public CrashingPart
{
protected:
  void
  crash_targets (int count)
  {
    for (int i = 0; i < count; i++)
      {
        ask (i % 2 == 0 ? *router : *peer, "talk", "aa:50,cc:5",
             crash_body + std::to_string (last_request_number));
        std::this_thread::sleep_for (std::chrono::milliseconds (60));
      }
  }

  void
  block_and_clear ()
  {
    wire::Socket slow (wire::Socket::connect_to (router->callers ()));
    slow.send (prompt_request ("talk", "aa:50,cc:5", slow_body));
    keep_slow_target_apart ();
    crash_targets (3);
    EXPECT_EQ (ask (*peer, "talk", "aa:50,cc:5").status (), 503);
    EXPECT_EQ (slow.read (5000).status (), 200);
    EXPECT_TRUE (Router::eventually (
        [&] { return ask (*peer, "talk", "aa:50,cc:5").status () == 200; },
        1000));
  }

  void
  restart_both ()
  {
    router->signal (SIGKILL);
    peer->signal (SIGKILL);
    router->restart ();
    peer->restart ();
    ASSERT_TRUE (Router::eventually (
        [&] { return router->is_ready () && peer->is_ready (); }));
    std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  }
};

// A block that an answer had cleared was still in the store, and was back
// after a restart of all routers.
TEST_F (ClearedPart, DoesNotComeBack)
{
  block_and_clear ();
  EXPECT_TRUE (Router::eventually (
      [&] { return store.count ("blockedparts") == 0; }, 2000));
}

// The entry of the second block was deleted by the call that had been made at
// the end of the first.
// Calls that the store refuses were made again without a pause.
TEST_F (ClearedPart, RemovalDoesNotUndoALaterBlock)
{
  store.keep_write ("DELETE", "blockedparts/cc");
  block_and_clear ();
  ASSERT_TRUE (Router::eventually ([&] { return store.has_kept (); }, 2000));
  // An answer keeps the part from suspicion for two seconds.
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  crash_targets (5);
  EXPECT_EQ (ask (*peer, "talk", "aa:50,cc:5").status (), 503);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.execute_kept ();
  restart_both ();
  EXPECT_EQ (ask (*peer, "talk", "aa:50,cc:5").status (), 503);
}

// The write that saves a block was executed after an answer had cleared it.
TEST_F (ClearedPart, LateSaveDoesNotBringABlockBack)
{
  store.keep_write ("POST", "blockedparts/cc");
  block_and_clear ();
  ASSERT_TRUE (store.has_kept ());
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  store.execute_kept ();
  restart_both ();
  EXPECT_EQ (ask (*router, "talk", "aa:50,cc:5").status (), 200);
  EXPECT_EQ (ask (*peer, "talk", "aa:50,cc:5").status (), 200);
}

TEST_F (CrashingPart, RefusedCallsToTheStoreAreNotRepeatedAtOnce)
{
  store.error_status = 429;
  send_bad (6, "talk");
  int before = store.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  EXPECT_LE (store.calls - before, 60);
}

// A request that ends each target which runs it.  It comes again with the same
// path, caller and body, and has no prompt, or one whose parts are sound.
class CrashingRequest : public CrashingPart
{
protected:
  wire::Message
  ask_plain (Router &one, const std::string &route, const std::string &body,
             const std::string &extra_fields = "")
  {
    wire::Socket socket (wire::Socket::connect_to (one.callers ()));
    socket.send (request ("POST", "/" + route + "/x", extra_fields, body));
    return socket.read (5000);
  }

  // Sends the bad request COUNT times, to both routers in turn.
  void
  send_bad_request (int count, const std::string &route,
                    const std::string &extra_fields = "")
  {
    for (int i = 0; i < count; i++)
      {
        ask_plain (i % 2 == 0 ? *router : *peer, route, crash_body,
                   extra_fields);
        std::this_thread::sleep_for (std::chrono::milliseconds (60));
      }
  }

  // Sends it until three targets have ended, and returns how many more end.
  int
  ended_after_three (const std::string &route,
                     const std::string &extra_fields = "")
  {
    for (int i = 0; i < 3 && reached < 3; i++)
      send_bad_request (1, route, extra_fields);
    std::this_thread::sleep_for (std::chrono::milliseconds (500));
    int before = reached;
    EXPECT_GE (before, 3);
    send_bad_request (8, route, extra_fields);
    return reached - before;
  }
};

// Each server in turn was sent the request that had ended the others, as only
// parts of prompts were suspects.
TEST_F (CrashingRequest, IsKeptFromTargetsAfterThreeHaveEnded)
{
  EXPECT_LE (ended_after_three ("safe"), 3);
}

TEST_F (CrashingRequest, IsKeptFromTargetsAlsoIfItMayRunOnlyOnce)
{
  EXPECT_LE (ended_after_three ("once"), 3);
}

// All parts of its prompt are sound, and were answered all the time.
TEST_F (CrashingRequest, IsKeptFromEnginesAlthoughItsPartsAreSound)
{
  const char *const prompt = "X-Model: m\r\nX-Token-Usage: 100,20\r\n"
                             "X-Prompt-Prefix: aa:50,cc:5,dd:10\r\n";
  std::atomic<bool> done{ false };
  std::thread sound ([&] {
    for (int i = 0; !done; i++)
      {
        EXPECT_EQ (
            ask (*router, "talk", "aa:50,cc:5", std::to_string (i)).status (),
            200);
        std::this_thread::sleep_for (std::chrono::milliseconds (50));
      }
  });
  EXPECT_LE (ended_after_three ("talk", prompt), 3);
  done = true;
  sound.join ();
}

// Sound requests with the same path and caller were refused with it, and one
// that many callers send at the same time as the bad one.
TEST_F (CrashingRequest, DoesNotKeepOthersFromTargets)
{
  int served = 0;
  for (int i = 0; i < 12; i++)
    {
      send_bad_request (1, "safe");
      served += ask_plain (*router, "safe", "sound").status () == 200;
      served += ask_plain (*peer, "safe", std::to_string (i)).status () == 200;
    }
  EXPECT_EQ (served, 24);
}

TEST_F (CrashingRequest, IsKnownToARouterThatStartsLater)
{
  send_bad_request (4, "safe");
  Router late ("r3", store.address (), extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] { return late.is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int before = reached;
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (ask_plain (late, "safe", crash_body).status (), 503);
  EXPECT_EQ (reached, before);
}

// Pooled connections don't always show that their target has ended: a sound
// request that was cut on three of them in no time was blocked.
TEST_F (CrashingRequest, IsNotOneThatMeetsTargetsWhichHaveEnded)
{
  for (int i = 0; i < 250; i++)
    ASSERT_EQ (ask_plain (*router, "safe", "sound").status (), 200);
  std::vector<Target *> all = { &engine, &second_engine };
  for (auto &target : targets)
    all.push_back (target.get ());
  for (Target *target : all)
    target->set ([this, target] (wire::Socket &, const wire::Message &) {
      reached++;
      target->crash ();
      return false;
    });
  for (int i = 0; i < 6; i++)
    ask_plain (*router, "safe", "lookup");
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  EXPECT_GE (reached, 4);
  EXPECT_EQ (router->log ().find ("CS1506"), std::string::npos);
}

TEST_F (CrashingRequest, IsRefusedAtOnceAndSaysWhenToComeBack)
{
  send_bad_request (4, "safe");
  int64_t start_ms = wire::now_ms ();
  wire::Message response = ask_plain (*router, "safe", crash_body);
  EXPECT_LT (wire::now_ms () - start_ms, 200);
  EXPECT_EQ (response.status (), 503);
  EXPECT_NE (response.body.find ("blocked"), std::string::npos);
  EXPECT_GT (std::atof (response.field ("retry-after").c_str ()), 0);
}

}
