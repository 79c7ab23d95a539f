// Engines whose first events come after the route's objective.

#include "fixture.h"

namespace
{

class LateEngines : public RouterTest
{
protected:
  // Together 16 slots.  The objective of route "quick" is far below the time
  // after which a target counts as silent.
  static constexpr int first_ms = 400;
  static constexpr int pause_ms = 100;

  void
  SetUp () override
  {
    RouterTest::SetUp ();
    store.put ("config", "main",
               config (2, ",{\"name\":\"quick\",\"host\":\"h.example\","
                          "\"path_prefix\":\"/quick/\",\"kind\":\"streaming\","
                          "\"service\":\"engines\",\"target_latency_ms\":100,"
                          "\"max_attempts\":1,\"timeout_ms\":9000,"
                          "\"session_affinity\":true}"));
    ASSERT_TRUE (Router::eventually ([this] {
      return router->log ().find ("CS1103 version=2") != std::string::npos;
    }));
  }

  // Streams COUNT events, the first after FIRST_MS.
  static Target::Script
  stream (int count)
  {
    return [=] (wire::Socket &socket, const wire::Message &message) {
      std::this_thread::sleep_for (std::chrono::milliseconds (first_ms));
      return Target::stream (count, 0, pause_ms) (socket, message);
    };
  }

  std::unique_ptr<wire::Socket>
  start_chat ()
  {
    auto socket = std::make_unique<wire::Socket> (
        wire::Socket::connect_to (router->callers ()));
    socket->send (request ("POST", "/quick/x", "", "b"));
    return socket;
  }
};

// Engines that have lost their caches answered everybody late as long as all
// of their slots were in use: the more requests, the later.
TEST_F (LateEngines, GetFewerRequestsUntilTheyAreOnTimeAgain)
{
  set_engine_scripts (stream (30));
  std::vector<std::unique_ptr<wire::Socket>> chats;
  for (int i = 0; i < 14; i++)
    chats.push_back (start_chat ());
  ASSERT_TRUE (
      Router::eventually ([this] { return engine_request_count () == 14; }));
  ASSERT_TRUE (Router::eventually ([this] {
    return router->log ().find ("CS1414 service=engines") != std::string::npos;
  }));
  int64_t asked_at = wire::now_ms ();
  wire::Message refusal = start_chat ()->read (3000);
  EXPECT_EQ (refusal.status (), 503);
  EXPECT_LT (wire::now_ms () - asked_at, first_ms) << "refused at once";
  EXPECT_NE (refusal.body.find ("overloaded"), std::string::npos);
  EXPECT_FALSE (refusal.field ("retry-after").empty ());
  EXPECT_EQ (engine_request_count (), 14);
  for (auto &chat : chats)
    EXPECT_EQ (chat->read (5000).status (), 200) << "has begun, so it ends";
  EXPECT_EQ (start_chat ()->read (5000).status (), 200) << "slots are free";
}

}
