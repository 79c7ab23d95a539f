// Requests that are restricted to regions.

#include <string>

#include <gtest/gtest.h>
#include <jansson.h>

extern "C"
{
#include "common/error.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/regions.h"
#include "platform/store.h"
#include "router/settings.h"
}

namespace
{

// The start of a settings file with the data centres "a" and "b" in one region
// and "c" in another.
const char *const SETTINGS
    = "[host]\nname = r\ndata_centre = a\n[listen]\ncallers = 127.0.0.1:1\n"
      "readiness = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"
      "[regions]\na = north\nb = north\nc = south\n";

int
read_settings (const std::string &text, cs_router_settings_t *out)
{
  cs_buf_t reason = {};
  int rc = cs_router_settings_parse ("f", text.c_str (), out, &reason);
  cs_buf_free (&reason);
  return rc;
}

// Returns the routing with a route and an organisation that have these
// members, or NULL if it is refused.
cs_routing_t *
read_routing (const std::string &route, const std::string &organisation)
{
  std::string text
      = "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":"
        "\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"service\":\"s\""
        + route + "}],\"tenants\":[{\"name\":\"o\"" + organisation + "}]}";
  json_t *spec = json_loads (text.c_str (), 0, nullptr);
  cs_routing_t *routing = nullptr;
  cs_buf_t reason = {};
  int rc = cs_store_read_routing (spec, &routing, &reason);
  cs_buf_free (&reason);
  json_decref (spec);
  return rc == CS_OK ? routing : nullptr;
}

class Regions : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_EQ (read_settings (SETTINGS, &settings), CS_OK);
    fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    cs_choice_policy_t policy = cs_choice_policy_default ();
    chooser = cs_chooser_create (&policy, 7);
    for (const char *data_centre : { "a", "b", "c", "unknown" })
      put (data_centre);
  }

  void
  TearDown () override
  {
    cs_chooser_destroy (chooser);
    cs_fleet_destroy (fleet);
  }

  void
  put (const char *data_centre)
  {
    cs_target_entry_t entry = {};
    bool added;
    entry.id = cs_str (data_centre);
    entry.service = cs_str ("s");
    entry.data_centre = cs_str (data_centre);
    entry.slots = 8;
    entry.revision = { 1, 1 };
    cs_fleet_put (fleet, &entry, 0, &added);
  }

  // Returns the ids of the targets that get requests, of which ROUTE and
  // ORGANISATION are members of the configuration.
  std::string
  chosen (const std::string &route, const std::string &organisation = "")
  {
    cs_routing_t *routing = read_routing (route, organisation);
    if (routing == nullptr)
      return "refused";
    cs_choice_request_t request = {};
    request.service = cs_str ("s");
    request.data_centre = cs_str ("c");
    request.regions = &settings.regions;
    request.route_regions = &routing->routes[0].allowed_regions;
    request.organisation_regions = &routing->organisations[0].allowed_regions;
    std::string ids;
    for (request.avoid_count = 0; request.avoid_count < 4;)
      {
        cs_choice_t choice;
        if (cs_chooser_choose (chooser, fleet, &request, CS_US_PER_S, &choice)
            != CS_OK)
          break;
        request.avoid[request.avoid_count++] = choice.target;
      }
    for (const char *id : { "a", "b", "c", "unknown" })
      for (uint32_t i = 0; i < request.avoid_count; i++)
        if (std::string (request.avoid[i]->id.text) == id)
          ids += std::string (id) + " ";
    cs_routing_release (routing);
    return ids;
  }

  cs_router_settings_t settings = {};
  cs_fleet_t *fleet = nullptr;
  cs_chooser_t *chooser = nullptr;
};

// All attempts of a request, until no target is left.
TEST_F (Regions, RequestsGoOnlyToTargetsInAllowedRegions)
{
  const std::string north = ",\"allowed_regions\":[\"north\"]";
  const std::string both = ",\"allowed_regions\":[\"south\",\"north\"]";
  EXPECT_EQ (chosen (""), "a b c unknown ") << "not restricted";
  EXPECT_EQ (chosen (north), "a b ");
  EXPECT_EQ (chosen ("", north), "a b ");
  EXPECT_EQ (chosen (both), "a b c ") << "not where the region is unknown";
  EXPECT_EQ (chosen (both, north), "a b ");
  EXPECT_EQ (chosen (north, ",\"allowed_regions\":[\"south\"]"), "");
  EXPECT_EQ (chosen (",\"allowed_regions\":[]"), "");
}

// A restriction that is left out because it can't be read lets requests leave
// their region.
TEST_F (Regions, RestrictionThatCannotBeReadIsRefused)
{
  EXPECT_EQ (chosen (",\"allowed_regions\":\"north\""), "refused");
  EXPECT_EQ (chosen ("", ",\"allowed_regions\":[\"north\",7]"), "refused");
}

// A copy of a cached context is made by a request to the other target.
TEST_F (Regions, ContextsAreNotCopiedFromOtherRegions)
{
  cs_routing_t *routing
      = read_routing (",\"allowed_regions\":[\"north\"]", "");
  cs_prompt_context_t context = { { 42 }, { 0 }, 1, 0 };
  cs_choice_request_t request = {};
  request.service = cs_str ("s");
  request.data_centre = cs_str ("c");
  request.context = &context;
  request.can_fetch = true;
  request.regions = &settings.regions;
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  targets[0]->leaving = targets[1]->leaving = true;
  cs_choice_t choice;
  ASSERT_EQ (
      cs_chooser_choose (chooser, fleet, &request, CS_US_PER_S, &choice),
      CS_OK);
  targets[0]->leaving = targets[1]->leaving = false;
  targets[2]->leaving = targets[3]->leaving = true;
  request.route_regions = &routing->routes[0].allowed_regions;
  for (int i = 0; i < 20; i++)
    {
      ASSERT_EQ (
          cs_chooser_choose (chooser, fleet, &request, CS_US_PER_S, &choice),
          CS_OK);
      if (choice.source != nullptr)
        {
          EXPECT_TRUE (choice.source == targets[0]
                       || choice.source == targets[1]);
        }
    }
  cs_routing_release (routing);
}

TEST_F (Regions, EachDataCentreIsInOneRegion)
{
  EXPECT_NE (read_settings (std::string (SETTINGS) + "a = south\n", &settings),
             CS_OK);
}

}
