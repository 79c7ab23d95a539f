// Targets that name in their answers how many requests a second they take from
// all routers together.

#include <algorithm>

#include "fixture.h"

namespace
{

// Two routers that are peers, with two targets of one service.
class NamedLimit : public RouterTest
{
protected:
  static constexpr double per_s = 4.2;

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
    ASSERT_TRUE (Router::eventually ([&] {
      return peer->is_ready ()
             && peer->log ().find ("CS1301") != std::string::npos
             && peer->counter ("directory_lists") >= 2;
    }));
    wait_for_directory ();
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
  respond_with_fields (Target &target, std::vector<int64_t> &arrivals,
                       const std::string &fields,
                       const std::string &status = "200 OK")
  {
    target.set ([this, &arrivals, fields,
                 status] (wire::Socket &socket, const wire::Message &message) {
      {
        std::lock_guard<std::mutex> lock (mutex);
        arrivals.push_back (wire::now_ms ());
      }
      std::string all = fields + Target::with_length ("hello");
      return socket.send (Target::signed_head (message, status, all));
    });
  }

  static std::string
  limit_field (double limit)
  {
    return "Server-Limit: " + std::to_string (limit) + "\r\n";
  }

  wire::Message
  ask (Router &one)
  {
    wire::Socket socket (wire::Socket::connect_to (one.callers ()));
    socket.send (request ("GET", "/safe/x"));
    return socket.read (3000);
  }

  // Sends requests to both routers in turn for MS, PER_S a second.  Returns
  // how many were answered with each status.
  std::map<int, int>
  send_for (int ms, int requests_per_s)
  {
    std::map<int, int> statuses;
    int64_t start = wire::now_ms ();
    for (int i = 0; wire::now_ms () < start + ms; i++)
      {
        statuses[ask (i % 2 == 0 ? *router : *peer).status ()]++;
        int64_t next = start + (i + 1) * 1000 / requests_per_s;
        if (next > wire::now_ms ())
          std::this_thread::sleep_for (
              std::chrono::milliseconds (next - wire::now_ms ()));
      }
    return statuses;
  }

  // The most arrivals in 4 s, from SINCE on.
  size_t
  most_in_window (const std::vector<int64_t> &arrivals, int64_t since)
  {
    std::lock_guard<std::mutex> lock (mutex);
    size_t most = 0;
    for (size_t i = 0; i < arrivals.size (); i++)
      if (arrivals[i] >= since)
        {
          auto end = std::lower_bound (arrivals.begin (), arrivals.end (),
                                       arrivals[i] + 4000);
          most = std::max<size_t> (most, end - arrivals.begin () - i);
        }
    return most;
  }

  size_t
  count_since (const std::vector<int64_t> &arrivals, int64_t since)
  {
    std::lock_guard<std::mutex> lock (mutex);
    return arrivals.end ()
           - std::lower_bound (arrivals.begin (), arrivals.end (), since);
  }

  // Sends requests until the first engine has named its limit.
  void
  let_engine_name_limit (double limit)
  {
    respond_with_fields (engine, arrivals, limit_field (limit));
    ASSERT_TRUE (Router::eventually ([this] {
      ask (*router);
      return engine.count () > 0;
    }));
  }

  static constexpr size_t allowed = static_cast<size_t> (1.5 * 4 * per_s + 5);
  std::mutex mutex;
  std::vector<int64_t> arrivals; // at the first engine
  std::vector<int64_t> second_arrivals;
  std::unique_ptr<Router> peer;
};

// Each router went on sending all that it chose to a target that had named a
// limit, and the target got several times as much.
TEST_F (NamedLimit, IsKeptByAllRoutersTogether)
{
  let_engine_name_limit (per_s);
  int64_t since = wire::now_ms () + 500;
  std::map<int, int> statuses = send_for (6000, 60);
  EXPECT_LE (most_in_window (arrivals, since), allowed);
  // The target is used as far as it allows, and others take the rest.
  EXPECT_GE (count_since (arrivals, since), 5.5 * per_s / 2);
  EXPECT_EQ (statuses.size (), 1U);
  EXPECT_EQ (statuses.begin ()->first, 200);
}

// A router that gets most of the callers was kept to an equal share.
TEST_F (NamedLimit, GoesToTheRouterThatHasTheCallers)
{
  let_engine_name_limit (per_s);
  int64_t since = wire::now_ms () + 500;
  while (wire::now_ms () < since + 6000)
    {
      EXPECT_EQ (ask (*router).status (), 200);
      std::this_thread::sleep_for (std::chrono::milliseconds (15));
    }
  EXPECT_LE (most_in_window (arrivals, since), allowed);
  EXPECT_GE (count_since (arrivals, since), 6 * per_s * 0.6);
}

// Callers waited, or targets were sent more than they take, where no target of
// the service takes another request.
TEST_F (NamedLimit, CallersAreRefusedAtOnceWhereAllTargetsNameOne)
{
  respond_with_fields (engine, arrivals, limit_field (per_s));
  respond_with_fields (second_engine, second_arrivals, limit_field (per_s));
  send_for (500, 40);
  int64_t since = wire::now_ms ();
  std::map<int, int> statuses = send_for (5000, 40);
  EXPECT_LE (most_in_window (arrivals, since), allowed);
  EXPECT_LE (most_in_window (second_arrivals, since), allowed);
  EXPECT_GT (statuses[200], 5 * per_s);
  EXPECT_GT (statuses[503], 100);
  wire::Message refusal;
  for (int i = 0; i < 40 && refusal.status () != 503; i++)
    refusal = ask (*router);
  EXPECT_GT (atof (refusal.field ("retry-after").c_str ()), 0);
}

// The target's share did not come back when it named no limit any more.
TEST_F (NamedLimit, EndsWhenItIsNoLongerNamed)
{
  let_engine_name_limit (1);
  send_for (1500, 40);
  respond_with_fields (engine, arrivals, "");
  ASSERT_TRUE (Router::eventually ([this] {
    size_t before = engine.count ();
    send_for (500, 40);
    return engine.count () >= before + 5;
  }));
  int64_t since = wire::now_ms ();
  size_t before = second_engine.count ();
  send_for (2000, 40);
  EXPECT_GE (count_since (arrivals, since) * 3,
             second_engine.count () - before);
}

// A target that takes none was never asked again.
TEST_F (NamedLimit, OfNothingEndsToo)
{
  let_engine_name_limit (0);
  int64_t since = wire::now_ms () + 500;
  send_for (4500, 40);
  EXPECT_LE (most_in_window (arrivals, since), 5U);
  respond_with_fields (engine, arrivals, "");
  size_t before = engine.count ();
  EXPECT_TRUE (Router::eventually (
      [&] {
        send_for (500, 40);
        return engine.count () >= before + 10;
      },
      20000));
}

// Each router learnt the limit from its own answers alone, seconds later.
TEST_F (NamedLimit, PeersKnowItAtOnce)
{
  let_engine_name_limit (per_s);
  EXPECT_TRUE (Router::eventually (
      [&] {
        return peer->log ().find ("CS1412 target=i-1 source=peer")
               != std::string::npos;
      },
      250));
  EXPECT_NE (router->log ().find ("CS1412 target=i-1 source=response"),
             std::string::npos);
}

// A router that had just started sent a limited target as much as the others
// together.
TEST_F (NamedLimit, IsKnownToARouterThatStarts)
{
  let_engine_name_limit (per_s);
  Router late ("r3", store.address (), extra_settings ());
  EXPECT_TRUE (Router::eventually ([&] {
    return late.log ().find ("CS1412 target=i-1 source=peer")
           != std::string::npos;
  }));
}

// 421 comes from another instance at the same address.
TEST_F (NamedLimit, OfAnotherInstanceDoesNotCount)
{
  engine.set ([] (wire::Socket &socket, const wire::Message &message) {
    return socket.send (
        Target::head (message, "421 Misdirected Request",
                      "Server-Limit: 1\r\nContent-Length: 0\r\n\r\n"));
  });
  ASSERT_TRUE (Router::eventually ([this] {
    ask (*router);
    return engine.count () > 0;
  }));
  EXPECT_EQ (router->log ().find ("CS1412"), std::string::npos);
}

}
