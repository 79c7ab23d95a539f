// Routers of one data centre: hubs, the directory of routers, restarts.

#include <algorithm>

#include "fixture.h"

namespace
{

// Three more routers of the same data centre; two of the four are hubs.
class Peers : public RouterTest
{
protected:
  void
  SetUp () override
  {
    RouterTest::SetUp ();
    for (const char *name : { "r2", "r3", "r4" })
      routers.push_back (std::make_unique<Router> (name, store.address ()));
    ASSERT_TRUE (Router::eventually ([this] {
      return store.count ("routers") == 4
             && std::all_of (routers.begin (), routers.end (),
                             [] (auto &one) { return one->is_ready (); });
    }));
    // Time for the directory to be read again and the hubs to be chosen.
    std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      for (auto &one : routers)
        printf ("%s\n", one->log ().c_str ());
    RouterTest::TearDown ();
  }

  int
  count_logs_with (const std::string &text)
  {
    int count = router->log ().find (text) != std::string::npos;
    for (auto &one : routers)
      count += one->log ().find (text) != std::string::npos;
    return count;
  }

  static wire::Message
  send_to (Router &one, const std::string &key)
  {
    wire::Socket socket (wire::Socket::connect_to (one.callers ()));
    std::string text = request ("GET", "/safe/x");
    text.replace (text.find ("X-Key: k1"), 9, "X-Key: " + key);
    socket.send (text);
    return socket.read ();
  }

  std::vector<std::unique_ptr<Router>> routers; // the last two are the hubs
};

TEST_F (Peers, HubsWatchThePlatformAndForwardChanges)
{
  store.put ("config", "main", config (5, extra_route ()));
  EXPECT_TRUE (Router::eventually (
      [this] { return count_logs_with ("CS1103 version=5") == 4; }, 2000));
  EXPECT_GE (count_logs_with ("source=peer"), 2);
  int before = store.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  // Two hubs make two watch calls each in 1.5 s, and the directory is read.
  // Four routers without hubs would make twice as many calls.
  EXPECT_LE (store.calls - before, 14);
}

// Its entry, a list of each kind, and two lists of routers that may be old; no
// watch, since its hubs are known before its own lists are too old.
TEST_F (Peers, NewRouterCallsThePlatformFewTimes)
{
  Router late ("r5", store.address (), "apply_ms = 4000\ndrain_ms = 4000\n");
  ASSERT_TRUE (Router::eventually ([&] { return late.is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  EXPECT_LE (late.counter ("store_calls"), 5);
}

// Members leave it to their hubs to find out soon that the platform is back:
// they make at most one call of each kind a second, so four in some three
// seconds.
TEST_F (Peers, MembersCallThePlatformRarelyDuringAnOutage)
{
  store.error_status = 503;
  std::this_thread::sleep_for (std::chrono::milliseconds (4000));
  std::vector<int> made;
  for (auto &one : routers)
    made.push_back (-one->counter ("store_calls"));
  made.push_back (-router->counter ("store_calls"));
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  for (size_t i = 0; i < routers.size (); i++)
    made[i] += routers[i]->counter ("store_calls");
  made.back () += router->counter ("store_calls");
  std::sort (made.begin (), made.end ());
  EXPECT_LE (made[0], 8) << "a member";
  EXPECT_LE (made[1], 8 + 3) << "a member that also reads the directory";
  store.put ("config", "main", config (9, extra_route ()));
  store.error_status = 0;
  EXPECT_TRUE (Router::eventually (
      [this] { return count_logs_with ("CS1103 version=9") == 4; }, 2000));
}

// All hosts of the fleet lose power and come back.  The store's lists are read
// by the two hubs alone, whatever the number of hosts.
TEST_F (Peers, RestartOfAllReadsTheListsAtTheHubsOnly)
{
  int before = store.full_lists;
  int blocked_before = store.full_blocked_lists;
  router->signal (SIGKILL);
  for (auto &one : routers)
    one->signal (SIGKILL);
  router->restart ();
  for (auto &one : routers)
    one->restart ();
  ASSERT_TRUE (Router::eventually (
      [this] {
        return router->is_ready ()
               && std::all_of (routers.begin (), routers.end (),
                               [] (auto &one) { return one->is_ready (); });
      },
      4000));
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  EXPECT_LE (store.full_lists - before, 2 * 2) << "two hubs, two kinds";
  EXPECT_LE (store.full_blocked_lists - blocked_before, 2) << "two hubs";
  EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 200);
}

// A restarted router's hubs are gone for good, but still have entries.
TEST_F (Peers, RestartedRouterDoesWithoutItsHubs)
{
  for (auto &one : routers)
    one->signal (SIGKILL);
  router->restart ();
  EXPECT_TRUE (
      Router::eventually ([this] { return router->is_ready (); }, 3000));
  EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 200);
}

// Its hubs accept connections but say nothing.
TEST_F (Peers, RestartedRouterDoesNotWaitForSilentHubsForLong)
{
  for (auto &one : routers)
    one->signal (SIGSTOP);
  router->restart ();
  EXPECT_TRUE (
      Router::eventually ([this] { return router->is_ready (); }, 3000));
  for (auto &one : routers)
    one->signal (SIGCONT);
}

// The hubs restart while the platform is away: the members dial them and give
// them what they last knew.  A target that had left and a key that had been
// withdrawn stay out of use.
TEST_F (Peers, RestartedHubsLearnFromMembersWhileThePlatformIsAway)
{
  store.put ("servers", "i-1", engine.entry ("engines", "draining"));
  std::string without_k1 = config (7);
  without_k1.erase (without_k1.find ("\"k1\""), 4);
  store.put ("config", "main", without_k1);
  ASSERT_TRUE (Router::eventually ([this] {
    return count_logs_with ("CS1103 version=7") == 4
           && count_logs_with ("CS1401 target=i-1") == 4;
  }));
  store.error_status = 503;
  // Without the directory they know no peer.
  for (int hub : { 1, 2 })
    routers[hub]->restart ();
  size_t count = engine.count ();
  for (int hub : { 1, 2 })
    {
      Router &one = *routers[hub];
      ASSERT_TRUE (Router::eventually ([&] { return one.is_ready (); }, 4000));
      for (int i = 0; i < 10; i++)
        {
          EXPECT_EQ (send_to (one, "k1").status (), 401);
          EXPECT_EQ (send_to (one, "k2").status (), 200);
        }
    }
  EXPECT_EQ (engine.count (), count);
}

// A member that restarts while the platform is away knows no peer, and nobody
// dialled it: it was not ready until the platform was back.
TEST_F (Peers, RestartedMembersLearnFromHubsWhileThePlatformIsAway)
{
  store.error_status = 503;
  Router &second_member = *routers[0];
  for (Router *one : { router.get (), &second_member })
    one->signal (SIGKILL);
  // Longer than the hubs' first attempts.
  std::this_thread::sleep_for (std::chrono::milliseconds (3000));
  for (Router *one : { router.get (), &second_member })
    one->restart ();
  for (Router *one : { router.get (), &second_member })
    {
      ASSERT_TRUE (
          Router::eventually ([&] { return one->is_ready (); }, 4000));
      EXPECT_EQ (send_to (*one, "k1").status (), 200);
    }
}

// Hubs that restarted themselves while the platform was away did not know the
// other members, and so did not dial those that restarted after them.
TEST_F (Peers, RestartedHubsLearnOfOtherMembersWhileThePlatformIsAway)
{
  store.error_status = 503;
  for (auto &one : routers)
    one->signal (SIGKILL);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  for (int hub : { 1, 2 })
    routers[hub]->restart ();
  for (int hub : { 1, 2 })
    ASSERT_TRUE (
        Router::eventually ([&] { return routers[hub]->is_ready (); }, 4000));
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  Router &member = *routers[0];
  member.restart ();
  ASSERT_TRUE (Router::eventually ([&] { return member.is_ready (); }, 4000));
  EXPECT_EQ (send_to (member, "k1").status (), 200);
}

// A target left while the hubs, and those who take their place, restarted.
// They read the list without it, and told the other members of what had
// changed since, but not that it had left.
TEST_F (Peers, MembersLearnWhatLeftWhileTheirHubsRestarted)
{
  for (const char *name : { "r5", "r6" })
    routers.push_back (std::make_unique<Router> (
        name, store.address (),
        "[host]\ncpu_share = 1\nlink_mbps = 100000\n"));
  ASSERT_TRUE (
      Router::eventually ([this] { return store.count ("routers") == 6; }));
  std::this_thread::sleep_for (std::chrono::milliseconds (6000));
  // The hubs read the platform's list before their members dial them.
  Router &second_member = *routers[0];
  for (Router *member : { router.get (), &second_member })
    member->signal (SIGSTOP);
  for (int hub : { 1, 2, 3, 4 })
    routers[hub]->signal (SIGKILL);
  store.remove ("servers", "i-1");
  for (int hub : { 1, 2, 3, 4 })
    routers[hub]->restart ();
  EXPECT_TRUE (Router::eventually ([this] {
    return std::all_of (routers.begin () + 1, routers.end (),
                        [] (auto &hub) { return hub->is_ready (); });
  }));
  for (Router *member : { router.get (), &second_member })
    member->signal (SIGCONT);
  EXPECT_TRUE (Router::eventually (
      [&] {
        return router->log ().find ("CS1408 target=i-1") != std::string::npos
               && second_member.log ().find ("CS1408 target=i-1")
                      != std::string::npos;
      },
      2000));
}

TEST_F (Peers, ShutdownRemovesTheEntry)
{
  router->signal (SIGTERM);
  EXPECT_TRUE (Router::eventually (
      [this] { return store.count ("routers") == 3; }, 2000));
}

TEST_F (Peers, ConfigurationsArriveAfterHubsAreKilled)
{
  for (auto &one : routers)
    one->signal (SIGKILL);
  store.put ("config", "main", config (6, extra_route ()));
  EXPECT_TRUE (Router::eventually (
      [this] {
        return send_request (request ("GET", "/new/x")).status () == 200;
      },
      2500));
}

// The routers' entries in the platform's store.
class Entries : public RouterTest
{
protected:
  std::string
  extra_settings () override
  {
    return "[peer]\ndirectory_s = 1\nrenew_s = 1\n";
  }
};

TEST_F (Entries, OfRemovedHostsExpire)
{
  Router peer ("r2", store.address (), extra_settings ());
  ASSERT_TRUE (
      Router::eventually ([&] { return store.count ("routers") == 2; }));
  store.put ("routers", "r0",
             "{\"data_centre\":\"a\",\"address\":\"127.0.0.1:9\"}");
  store.put ("routers", "r9",
             "{\"data_centre\":\"b\",\"address\":\"127.0.0.1:9\"}");
  EXPECT_TRUE (Router::eventually (
      [&] { return store.count ("routers") == 2; }, 20000));
  EXPECT_NE (store.spec ("routers", "r1"), "");
  EXPECT_NE (store.spec ("routers", "r2"), "");
  EXPECT_NE (router->log ().find ("CS1306") == std::string::npos,
             peer.log ().find ("CS1306") == std::string::npos)
      << "one of the two is the first hub and logs the removals";
}

// A removed entry is created again within the renewal interval and the longest
// delay between the first directory lists of a new router, 4 s.
TEST_F (Entries, OfRunningRoutersAreRestored)
{
  store.remove ("routers", "r1");
  EXPECT_TRUE (Router::eventually (
      [this] { return store.count ("routers") == 1; }, 8000));
}

// In an outage of the platform no router can renew its entry, so a missing
// renewal doesn't mean that the host is gone.
TEST_F (Entries, SurviveAnOutageOfThePlatform)
{
  Router peer ("r2", store.address (), extra_settings ());
  ASSERT_TRUE (
      Router::eventually ([&] { return store.count ("routers") == 2; }));
  peer.signal (SIGSTOP);
  store.error_status = 503;
  std::this_thread::sleep_for (std::chrono::milliseconds (7000));
  store.error_status = 0;
  peer.signal (SIGCONT);
  std::this_thread::sleep_for (std::chrono::milliseconds (2500));
  EXPECT_EQ (store.count ("routers"), 2U);
  EXPECT_EQ (router->log ().find ("CS1306"), std::string::npos);
}

}
