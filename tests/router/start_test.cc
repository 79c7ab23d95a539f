// Requests that arrive before a router that starts can serve them.

#include "fixture.h"

namespace
{

class Starting : public RouterTest
{
protected:
  using Socket = std::unique_ptr<wire::Socket>;

  void
  SetUp () override
  {
    store.put ("config", "main", config (1));
    store.put ("servers", desk.id (), desk.entry ("desk"));
    store.error_status = 503;
  }

  void
  start (int hold_ms, const std::string &extra = "")
  {
    std::string setting = "start_hold_ms = " + std::to_string (hold_ms);
    router = std::make_unique<Router> ("r1", store.address (),
                                       "[host]\n" + setting + "\n" + extra);
    ASSERT_TRUE (wait_for ("CS1001"));
  }

  // Waits for TEXT in the log or the metrics.
  bool
  wait_for (const std::string &text)
  {
    return Router::eventually ([&] {
      return (router->log () + router->metrics ()).find (text)
             != std::string::npos;
    });
  }

  Socket
  begin (const std::string &deadline_ms, const std::string &key = "k1",
         const std::string &body = "b")
  {
    Socket socket = std::make_unique<wire::Socket> (
        wire::Socket::connect_to (router->callers ()));
    std::string text = request ("POST", "/desk/x", "", body);
    text.replace (text.find ("k1"), 2, key);
    socket->send (text.replace (text.find ("4000"), 4, deadline_ms));
    return socket;
  }

  static void
  expect_refusal (const Socket &socket, const std::string &error)
  {
    wire::Message response = socket->read ();
    EXPECT_EQ (response.status (), 503);
    EXPECT_NE (response.body.find (error), std::string::npos);
    EXPECT_NE (response.field ("retry-after"), "");
  }
};

// All were refused.  The more urgent ones come last here, and the first caller
// sends another request behind its first.
TEST_F (Starting, RequestsAreServedMostUrgentFirstOnceTheStoreResponds)
{
  start (4000, "[log]\nlines_per_s = 2000\n");
  std::vector<Socket> sockets;
  int first = last_request_number + 1;
  for (int i = 0; i < 300; i++)
    {
      sockets.push_back (begin ("20000", i < 150 ? "k2" : "k1"));
      if (i == 0)
        sockets[0]->send (request ("GET", "/open/second"));
      ASSERT_TRUE (wait_for ("start_held_total "
                             + std::to_string (std::min (i + 1, 256)) + "\n"));
    }
  ASSERT_TRUE (wait_for ("start_beyond_total 44\n"));
  store.error_status = 0;
  for (int i = 0; i < 256; i++)
    EXPECT_EQ (sockets[i]->read ().status (), 200);
  expect_refusal (sockets[256], "not_ready");
  EXPECT_EQ (sockets[0]->read ().status (), 200);
  ASSERT_TRUE (wait_for ("CS1010 ready=1 held=256 run=256 refused=0"));
  std::string log = router->log ();
  std::string urgent = "CS1550 id=q" + std::to_string (first + 256) + " ";
  EXPECT_LT (log.find (urgent),
             log.find ("CS1550 id=q" + std::to_string (first) + " "));
}

TEST_F (Starting, RequestIsRefusedAtOnceOrWhenItsTimeIsOver)
{
  start (700);
  int64_t started = wire::now_ms ();
  Socket patient = begin ("0");
  expect_refusal (begin ("1600"), "not_ready");
  EXPECT_GE (wire::now_ms () - started, 190);
  EXPECT_LT (wire::now_ms () - started, 400);
  expect_refusal (patient, "not_ready");
  EXPECT_LT (wire::now_ms () - started, 900);
  EXPECT_TRUE (wait_for ("CS1010 ready=0 held=2 run=0 refused=2"));
  start (0);
  started = wire::now_ms ();
  expect_refusal (begin ("0"), "not_ready");
  EXPECT_LT (wire::now_ms () - started, 300) << "without the setting";
}

TEST_F (Starting, RouterThatStopsRefusesWhatItHolds)
{
  start (4000, "[stop]\ngrace_s = 2\nlame_duck_ms = 300\n");
  Socket caller = begin ("0");
  ASSERT_TRUE (wait_for ("start_held_total 1\n"));
  router->signal (SIGTERM);
  expect_refusal (caller, "stopping");
  EXPECT_EQ (router->exit_within (1500), 0);
}

// The configuration comes before the targets, shows that a route doesn't exist
// or that a held body is too large, and changes.  One caller leaves meanwhile.
TEST_F (Starting, RequestIsHeldUntilTheTargetsAreKnown)
{
  start (4000);
  Socket large = begin ("0", "k1", std::string (100001, 'x'));
  Socket leaves = begin ("0");
  ASSERT_TRUE (wait_for ("start_held_total 2\n"));
  leaves->close ();
  ASSERT_TRUE (wait_for ("start_left_total 1\n"));
  store.refuses_targets = true;
  store.error_status = 0;
  ASSERT_TRUE (wait_for ("CS1103 version=1"));
  EXPECT_EQ (send_request (request ("GET", "/none/x")).status (), 404);
  Socket caller = begin ("0");
  ASSERT_TRUE (wait_for ("start_held_total 3\n"));
  store.put ("config", "main", config (2));
  ASSERT_TRUE (wait_for ("CS1103 version=2"));
  store.refuses_targets = false;
  EXPECT_EQ (caller->read ().status (), 200);
  EXPECT_TRUE (wait_for ("route=desk organisation=acme version=2"));
  EXPECT_EQ (large->read ().status (), 413);
  EXPECT_EQ (desk.count (), 1U);
}

}
