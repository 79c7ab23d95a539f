// Cold targets, which take few requests from all routers together.

#include <algorithm>

#include "fixture.h"

namespace
{

// Two routers that are peers, with two targets of a service whose cold targets
// take 6 requests a second.
class ColdTargets : public RouterTest
{
protected:
  static constexpr size_t per_s = 6;

  std::string
  extra_settings () override
  {
    return "[retry]\nratio = 0.2\nslack = 10\n[peer]\ndirectory_s = 1\n"
           "beat_ms = 100\n";
  }

  void
  SetUp () override
  {
    RouterTest::SetUp ();
    peer
        = std::make_unique<Router> ("r2", store.address (), extra_settings ());
    std::string limited = config (2);
    std::string service = "{\"name\":\"engines\",";
    limited.insert (limited.find (service) + service.size (),
                    "\"cold_start_s\":3,\"cold_per_s\":6,");
    store.put ("config", "main", limited);
    for (Router *one : { router.get (), peer.get () })
      ASSERT_TRUE (Router::eventually ([&] {
        return one->is_ready () && one->counter ("directory_lists") >= 2
               && one->log ().find ("CS1301") != std::string::npos
               && one->log ().find ("CS1103 version=2") != std::string::npos;
      }));
    record (engine, "");
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      printf ("%s\n", peer->log ().c_str ());
    RouterTest::TearDown ();
  }

  // Responds with FIELDS in the head, and records when.
  void
  record (Target &target, const std::string &fields)
  {
    target.set (
        [this, fields] (wire::Socket &socket, const wire::Message &message) {
          {
            std::lock_guard<std::mutex> lock (mutex);
            arrivals.push_back (wire::now_ms ());
          }
          return socket.send (Target::signed_head (
              message, "200 OK", fields + Target::with_length ("hello")));
        });
  }

  void
  put_cold (Target &target, int remaining_ms)
  {
    std::string entry = target.entry ("engines");
    entry.insert (1, "\"cold_remaining_ms\":" + std::to_string (remaining_ms)
                         + ",");
    store.put ("servers", target.id (), entry);
  }

  bool
  both_log (const std::string &text)
  {
    return Router::eventually ([&] {
      return router->log ().find (text) != std::string::npos
             && peer->log ().find (text) != std::string::npos;
    });
  }

  wire::Message
  ask (Router &one)
  {
    wire::Socket socket (wire::Socket::connect_to (one.callers ()));
    socket.send (request ("GET", "/safe/x"));
    return socket.read (3000);
  }

  // Sends requests to both routers in turn for MS, 60 a second.  Returns how
  // many were answered with each status.
  std::map<int, int>
  send_for (int ms)
  {
    std::map<int, int> statuses;
    int64_t start = wire::now_ms ();
    for (int i = 0; wire::now_ms () < start + ms; i++)
      {
        statuses[ask (i % 2 == 0 ? *router : *peer).status ()]++;
        std::this_thread::sleep_for (std::chrono::milliseconds (16));
      }
    return statuses;
  }

  // The most arrivals at the first engine in a second, from SINCE on.
  size_t
  most_in_second (int64_t since)
  {
    std::lock_guard<std::mutex> lock (mutex);
    size_t most = 0;
    for (size_t i = 0; i < arrivals.size (); i++)
      if (arrivals[i] >= since)
        most = std::max<size_t> (most, std::lower_bound (arrivals.begin (),
                                                         arrivals.end (),
                                                         arrivals[i] + 1000)
                                           - arrivals.begin () - i);
    return most;
  }

  std::mutex mutex;
  std::vector<int64_t> arrivals; // at the first engine
  std::unique_ptr<Router> peer;
};

// A target that turned cold got what it got before, and crashed.
TEST_F (ColdTargets, GetTheirShareOfAllRoutersTogether)
{
  put_cold (engine, 4000);
  ASSERT_TRUE (both_log ("CS1420 target=i-1 source="));
  int64_t since = wire::now_ms ();
  std::map<int, int> statuses = send_for (3000);
  size_t sent = engine.count ();
  EXPECT_LE (most_in_second (since), per_s);
  EXPECT_GE (sent, 2 * per_s);
  EXPECT_EQ (statuses.size (), 1U);
  EXPECT_EQ (statuses.begin ()->first, 200);
  EXPECT_GT (router->counter ("cold_avoided"), 10);
  EXPECT_GT (router->counter ("cold_sent"), 3);
  ASSERT_TRUE (both_log ("CS1421 target=i-1"));
  send_for (1000);
  EXPECT_GT (engine.count (), sent + 2 * per_s);
}

// Only the routers that a target answered knew that it had turned cold, until
// its entry changed.
TEST_F (ColdTargets, AreKnownToPeersByOneAnswer)
{
  record (engine, "X-Cold-Remaining: 5000\r\n");
  ASSERT_TRUE (Router::eventually ([this] {
    ask (*router);
    return engine.count () > 0;
  }));
  EXPECT_TRUE (Router::eventually (
      [this] {
        return peer->log ().find ("CS1420 target=i-1 source=peer")
               != std::string::npos;
      },
      1000));
  // The target says when it is cold no longer.
  record (engine, "X-Cold-Remaining: 0\r\n");
  EXPECT_TRUE (Router::eventually ([this] {
    ask (*router);
    return router->log ().find ("CS1421 target=i-1") != std::string::npos;
  }));
}

// Callers waited until their deadlines, or the limit was exceeded, where no
// other target was left.
TEST_F (ColdTargets, CallersAreRefusedAtOnceWhereAllAreCold)
{
  put_cold (engine, 8000);
  put_cold (second_engine, 8000);
  ASSERT_TRUE (both_log ("CS1420 target=i-1 source="));
  ASSERT_TRUE (both_log ("CS1420 target=i-2 source="));
  int64_t since = wire::now_ms ();
  std::map<int, int> statuses = send_for (2000);
  EXPECT_LE (most_in_second (since), per_s);
  EXPECT_GE (statuses[200], 2 * 2 * 4);
  EXPECT_GT (statuses[503], 30);
  wire::Message refusal;
  for (int i = 0; i < 20 && refusal.status () != 503; i++)
    refusal = ask (*router);
  double seconds = atof (refusal.field ("retry-after").c_str ());
  EXPECT_GT (seconds, 0);
  EXPECT_LE (seconds, 2);
}

// A target that had just started states nothing before its first renewal.
TEST_F (ColdTargets, AreThoseThatHaveJustStarted)
{
  Target late ("i-9");
  std::string entry = late.entry ("engines");
  std::string born = "\"born\":1000";
  entry.replace (entry.find (born), born.size (),
                 "\"born\":" + std::to_string (time (nullptr) * 1000));
  store.put ("servers", late.id (), entry);
  EXPECT_TRUE (both_log ("CS1420 target=i-9 source=start"));
  store.put ("servers", "i-8", engine.entry ("engines"));
  EXPECT_TRUE (both_log ("CS1407 target=i-8"));
  EXPECT_EQ (router->log ().find ("CS1420 target=i-8"), std::string::npos);
}

// The targets of a data centre that is taken back may have turned cold just
// before, which their entries tell a second later: the idle targets would get
// most requests until then.
TEST_F (ColdTargets, TakenBackDataCentreIsColdBeforeItsEntriesSaySo)
{
  Router other ("r3", store.address (),
                "evacuation_ms = 2500\n" + extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] { return other.is_ready (); }));
  store.put ("evacuations", "a", "{}");
  ASSERT_TRUE (Router::eventually ([&] {
    return other.log ().find ("CS1430 data_centre=a") != std::string::npos;
  }));
  EXPECT_EQ (other.log ().find ("CS1420"), std::string::npos);
  store.remove ("evacuations", "a");
  ASSERT_TRUE (Router::eventually ([&] {
    return other.log ().find ("CS1420 target=i-1 source=evacuation")
           != std::string::npos;
  })) << other.log ();
}

}
