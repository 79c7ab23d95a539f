// A store that is restored from a copy some seconds old.

#include "fixture.h"

namespace
{

class Restore : public RouterTest
{
protected:
  std::string
  extra_settings () override
  {
    return "[peer]\ndirectory_s = 10\n";
  }

  // Writes COUNT changes that concern no router.
  void
  write_noise (int count)
  {
    for (int i = 0; i < count; i++)
      store.put ("other", "o" + std::to_string (i), "{}");
  }

  bool
  serves_new_route ()
  {
    return send_request (request ("GET", "/new/x")).status () == 200;
  }

  bool
  wait_for_log (const std::string &text, int ms = 3000)
  {
    return Router::eventually (
        [&] { return router->log ().find (text) != std::string::npos; }, ms);
  }
};

// Both kinds that are watched, and the directory.
TEST_F (Restore, IsFollowedByFewCalls)
{
  Store::Copy copy = store.copy ();
  write_noise (40);
  store.put ("config", "main", config (2));
  ASSERT_TRUE (wait_for_log ("CS1103 version=2"));
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  int before = store.calls;
  store.restore (copy);
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  EXPECT_LE (store.calls - before, 10);
  EXPECT_NE (router->log ().find ("CS1203 era=2 previous=1"),
             std::string::npos);
}

// A store that never has the history that it is asked for.
TEST_F (Restore, EndlessLossOfHistoryIsAnsweredWithGrowingPauses)
{
  store.oldest_watch_revision = 1000000;
  // The watches in progress, of 1.5 s at most, still succeed.
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  int before = store.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  EXPECT_LE (store.calls - before, 10);
}

TEST_F (Restore, ConfigurationWrittenWhileCutOffIsApplied)
{
  for (int round = 1; round <= 2; round++)
    {
      Store::Copy copy = store.copy ();
      write_noise (5);
      std::this_thread::sleep_for (std::chrono::milliseconds (300));
      store.silent = true;
      store.restore (copy);
      std::string route = extra_route ();
      store.put ("config", "main", config (2 * round, route));
      write_noise (60);
      store.silent = false;
      EXPECT_TRUE (
          wait_for_log ("CS1103 version=" + std::to_string (2 * round)))
          << "round " << round;
      EXPECT_TRUE (serves_new_route ());
    }
}

// The second restore comes just after the list that the first one caused.
TEST_F (Restore, TwiceInSeries)
{
  Store::Copy copy = store.copy ();
  write_noise (5);
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  store.restore (copy);
  ASSERT_TRUE (wait_for_log ("CS1203 era=2"));
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
  store.restore (copy);
  store.put ("config", "main", config (6, extra_route ()));
  EXPECT_TRUE (wait_for_log ("CS1103 version=6", 2000));
}

TEST_F (Restore, NewerConfigurationStaysInForce)
{
  Store::Copy copy = store.copy ();
  store.put ("config", "main", config (5, extra_route ()));
  ASSERT_TRUE (wait_for_log ("CS1103 version=5"));
  store.restore (copy);
  ASSERT_TRUE (wait_for_log ("CS1203"));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  EXPECT_TRUE (serves_new_route ());
  store.put ("config", "main", config (7));
  EXPECT_TRUE (wait_for_log ("CS1103 version=7"));
}

TEST_F (Restore, TargetThatLeftIsNotUsedAgain)
{
  Store::Copy copy = store.copy ();
  store.put ("servers", "i-1", engine.entry ("engines", "draining"));
  ASSERT_TRUE (wait_for_log ("CS1401 target=i-1"));
  store.remove ("servers", "i-2");
  ASSERT_TRUE (wait_for_log ("CS1408 target=i-2"));
  store.restore (copy);
  ASSERT_TRUE (wait_for_log ("CS1203"));
  std::this_thread::sleep_for (std::chrono::milliseconds (800));
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 503);
  EXPECT_EQ (engine_request_count (), 0U);
}

TEST_F (Restore, TargetThatLeftBeforeTheCopyIsNotUsedAgain)
{
  store.put ("servers", "i-1", engine.entry ("engines", "draining"));
  ASSERT_TRUE (wait_for_log ("CS1401 target=i-1"));
  Store::Copy copy = store.copy ();
  write_noise (3);
  store.remove ("servers", "i-1");
  ASSERT_TRUE (wait_for_log ("CS1408 target=i-1"));
  store.restore (copy);
  ASSERT_TRUE (wait_for_log ("CS1203"));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 200);
  EXPECT_EQ (engine.count (), 0U);
}

TEST_F (Restore, TargetThatTheCopyLacksStaysInUse)
{
  Store::Copy copy = store.copy ();
  Target late ("i-9");
  store.put ("servers", "i-9", late.entry ("engines"));
  ASSERT_TRUE (wait_for_log ("CS1407 target=i-9"));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.restore (copy);
  ASSERT_TRUE (wait_for_log ("CS1203"));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  for (int i = 0; i < 60 && late.count () == 0; i++)
    send_request (request ("GET", "/safe/x"));
  EXPECT_GT (late.count (), 0U);
  store.put ("servers", "i-9", late.entry ("engines"));
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  EXPECT_EQ (router->log ().find ("CS1408 target=i-9"), std::string::npos);
}

TEST_F (Restore, OwnEntryIsWrittenAgain)
{
  router->write_settings (store.address (), "[peer]\ndirectory_s = 1\n");

  Store::Copy copy = store.copy ();
  copy.objects["routers"].clear ();
  std::this_thread::sleep_for (std::chrono::milliseconds (5500));
  store.restore (copy);
  EXPECT_TRUE (Router::eventually (
      [this] { return store.count ("routers") == 1; }, 6000));
}

// All four read the new era, but only the hubs ask the store.
TEST_F (Restore, PeersLearnOfItFromTheirHubs)
{
  std::vector<std::unique_ptr<Router>> peers;
  for (const char *name : { "r2", "r3", "r4" })
    peers.push_back (std::make_unique<Router> (name, store.address (),
                                               "[peer]\ndirectory_s = 10\n"));
  ASSERT_TRUE (
      Router::eventually ([this] { return store.count ("routers") == 4; }));
  std::this_thread::sleep_for (std::chrono::milliseconds (7000));
  Store::Copy copy = store.copy ();
  write_noise (40);
  int before = store.calls;
  store.restore (copy);
  store.put ("config", "main", config (8, extra_route ()));
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  EXPECT_LE (store.calls - before, 26);
  for (auto &peer : peers)
    EXPECT_NE (peer->log ().find ("CS1103 version=8"), std::string::npos);
  EXPECT_TRUE (serves_new_route ());
}

}
