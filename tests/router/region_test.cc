// Requests that are restricted to regions, with a real router process.

#include "fixture.h"

namespace
{

class Region : public RouterTest
{
protected:
  std::string
  extra_settings () override
  {
    return "[regions]\na = north\nb = south\n";
  }
};

// Both engines are in the router's own data centre, of another region.
TEST_F (Region, RestrictedRequestsReachNoTargetElsewhere)
{
  store.put ("config", "main",
             config (2, ","
                            + route ("here", "safe", "engines",
                                     ",\"timeout_ms\":1500,"
                                     "\"allowed_regions\":[\"south\"]")));
  ASSERT_TRUE (Router::eventually ([this] {
    return router->log ().find ("CS1103 version=2") != std::string::npos;
  }));
  wire::Message refused = send_request (request ("GET", "/here/x"));
  EXPECT_EQ (refused.status (), 503);
  EXPECT_NE (refused.body.find ("no_target"), std::string::npos);
  EXPECT_EQ (router->counter ("refused_regions"), 1);
  EXPECT_EQ (engine_request_count (), 0U);
  EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 200);
  size_t before = engine.count ();
  store.put ("servers", "i-2",
             second_engine.entry ("engines", "ready", "v1", "b"));
  EXPECT_TRUE (Router::eventually ([this] {
    return send_request (request ("GET", "/here/x")).status () == 200;
  }));
  for (int i = 0; i < 20; i++)
    EXPECT_EQ (send_request (request ("GET", "/here/x")).status (), 200);
  EXPECT_EQ (engine.count (), before);
}

}
