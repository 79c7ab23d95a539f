// Data centres that are evacuated, or in regions that a request may not
// reach.

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <jansson.h>

extern "C"
{
#include "common/error.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/evacuations.h"
#include "cranberrystile/fleet.h"
#include "platform/store.h"
#include "router/settings.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;

// A fleet from which targets are chosen.
class DataCentres : public testing::Test
{
protected:
  void
  SetUp () override
  {
    fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    cs_choice_policy_t policy = cs_choice_policy_default ();
    chooser = cs_chooser_create (&policy, 7);
    request.service = cs_str ("engines");
    request.data_centre = cs_str ("a");
    request.peers = 1;
  }

  void
  TearDown () override
  {
    cs_chooser_destroy (chooser);
    cs_fleet_destroy (fleet);
  }

  void
  put (const char *id, const char *data_centre, uint64_t revision = 1,
       uint64_t started_ms = 1)
  {
    cs_target_entry_t entry = {};
    bool added;
    entry.id = cs_str (id);
    entry.service = cs_str ("engines");
    entry.data_centre = cs_str (data_centre);
    entry.started_ms = started_ms;
    entry.slots = 8;
    entry.revision = { 1, revision };
    cs_fleet_put (fleet, &entry, 0, &added);
  }

  cs_target_t *
  target (size_t at)
  {
    size_t count;
    return cs_fleet_targets (fleet, &count)[at];
  }

  int
  choose ()
  {
    return cs_chooser_choose (chooser, fleet, &request, SECOND, &choice);
  }

  cs_fleet_t *fleet = nullptr;
  cs_chooser_t *chooser = nullptr;
  cs_prompt_context_t context = { { 42 }, { 0 }, 1, 0 };
  cs_choice_request_t request = {};
  cs_choice_t choice = {};
};

class Evacuations : public DataCentres
{
protected:
  void
  SetUp () override
  {
    DataCentres::SetUp ();
    set = cs_evacuations_create (record, this);
    request.evacuations = set;
  }

  void
  TearDown () override
  {
    cs_evacuations_destroy (set);
    DataCentres::TearDown ();
  }

  static void
  record (void *context, const cs_name_t *name, bool is_evacuated)
  {
    static_cast<Evacuations *> (context)->changes
        += (is_evacuated ? "+" : "-") + std::string (name->text);
  }

  void
  replace (const std::vector<std::string> &names, cs_revision_t revision,
           cs_time_us_t kept_until = 0)
  {
    std::vector<cs_name_t> list (names.size ());
    for (size_t i = 0; i < names.size (); i++)
      cs_name_set (&list[i], cs_str (names[i].c_str ()));
    EXPECT_EQ (cs_evacuations_replace (set, list.data (), list.size (),
                                       revision, kept_until),
               CS_OK);
  }

  void
  change (const char *name, bool is_evacuated, cs_revision_t revision)
  {
    EXPECT_EQ (
        cs_evacuations_change (set, cs_str (name), is_evacuated, revision),
        CS_OK);
  }

  bool
  has (const char *name) const
  {
    cs_name_t text;
    cs_name_set (&text, cs_str (name));
    return cs_evacuations_has (set, &text);
  }

  std::string changes;
  cs_evacuations_t *set = nullptr;
};

// A peer that is late would end an evacuation, or begin one again.
TEST_F (Evacuations, OlderSetsAndChangesAreIgnored)
{
  replace ({ "a" }, { 1, 10 });
  change ("b", true, { 1, 12 });
  change ("a", false, { 1, 14 });
  replace ({ "a" }, { 1, 13 });
  change ("b", false, { 1, 11 });
  change ("c", true, { 1, 9 });
  EXPECT_EQ (changes, "+a+b-a");
  EXPECT_EQ (cs_evacuations_revision (set).number, 14U);
  replace ({ "c" }, { 1, 20 });
  EXPECT_EQ (changes, "+a+b-a+c-b");
}

// The changes of one watch need not be in the order of their revisions.
TEST_F (Evacuations, ChangesOfSeveralNamesComeInAnyOrder)
{
  replace ({}, { 1, 10 });
  change ("b", true, { 1, 14 });
  change ("a", true, { 1, 12 });
  EXPECT_TRUE (has ("a") && has ("b"));
}

// A restored store lacks what was written after the copy was taken; the
// operator writes it again.
TEST_F (Evacuations, NamesThatARestoredStoreLacksStayForAWhile)
{
  replace ({ "a", "b", "c" }, { 1, 90 });
  replace ({ "c" }, { 2, 50 }, 5 * SECOND);
  EXPECT_TRUE (has ("a") && has ("b") && has ("c"));
  EXPECT_STREQ (cs_evacuations_listed_at (set, 0)->text, "c");
  EXPECT_EQ (cs_evacuations_listed_at (set, 1), nullptr)
      << "a peer would keep it for good";
  replace ({ "c" }, { 2, 51 });
  change ("a", true, { 2, 52 });
  cs_evacuations_expire (set, 5 * SECOND - 1);
  EXPECT_TRUE (has ("b"));
  cs_evacuations_expire (set, 5 * SECOND);
  EXPECT_TRUE (has ("a") && !has ("b") && has ("c"));
  EXPECT_EQ (changes, "+a+b+c-b");
}

// Passes on what FROM keeps at NOW, which arrives after DELAY.
void
pass_kept (const cs_evacuations_t *from, cs_evacuations_t *to,
           cs_time_us_t now, cs_time_us_t delay)
{
  cs_evacuation_kept_t kept;
  for (size_t i = 0; cs_evacuations_kept_at (from, i, now, &kept); i++)
    {
      kept.until += delay;
      kept.hops++;
      cs_evacuations_keep (to, &kept, cs_evacuations_revision (from),
                           now + delay);
    }
}

// A router that started after the store was restored sent requests to data
// centres that the others still kept evacuated; and routers that pass a name
// on must not keep it for good, also when they restart one after another.
TEST_F (Evacuations, KeptNamesAreLearntForTheTimeThatIsLeft)
{
  const cs_time_us_t tenth = SECOND / 10;
  const cs_time_us_t lapse = 5 * SECOND;
  auto start = [&] (cs_time_us_t now) {
    cs_evacuations_t *one = cs_evacuations_create (
        [] (void *, const cs_name_t *, bool) {}, nullptr);
    cs_evacuations_replace (one, nullptr, 0, { 2, 51 }, now + lapse);
    return one;
  };
  cs_name_t name;
  cs_name_set (&name, cs_str ("a"));
  replace ({ "a", "b" }, { 1, 90 });
  replace ({}, { 2, 50 }, lapse);
  change ("b", true, { 2, 52 });
  cs_evacuations_t *late = start (4 * SECOND);
  pass_kept (set, late, 4 * SECOND, tenth);
  EXPECT_TRUE (cs_evacuations_has (late, &name));
  EXPECT_EQ (cs_evacuations_count (late), 1U) << "b is in the store";
  for (cs_time_us_t now = 4 * SECOND; now < 9 * SECOND; now += tenth)
    {
      for (auto *one : { set, late })
        cs_evacuations_expire (one, now);
      EXPECT_EQ (cs_evacuations_has (late, &name), now < lapse + tenth);
      EXPECT_EQ (has ("a"), now < lapse);
      pass_kept (set, late, now, tenth);
      pass_kept (late, set, now, tenth);
    }
  // What comes from a router that was cut off for long.
  cs_evacuation_kept_t stale = { &name, 20 * SECOND, 1 };
  cs_evacuations_t *running = start (0);
  cs_evacuations_keep (running, &stale, { 2, 51 }, 10 * SECOND);
  EXPECT_EQ (cs_evacuations_count (running), 0U);
  cs_evacuations_destroy (running);
  size_t restarts = 0;
  for (cs_time_us_t now = 10 * SECOND; restarts < 100; now += tenth)
    {
      cs_evacuations_t *next = start (now);
      if (restarts++ == 0)
        cs_evacuations_keep (next, &stale, { 2, 51 }, now);
      else
        pass_kept (late, next, now, tenth);
      cs_evacuations_destroy (late);
      late = next;
      if (!cs_evacuations_has (late, &name))
        break;
    }
  EXPECT_EQ (restarts, 4U);
  cs_evacuations_destroy (late);
}

// A negative revision counted as 2^64-1: every later change was ignored, here
// and by the peers that were sent the set, until the store was restored.
TEST_F (Evacuations, ImpossibleRevisionDoesNotHideLaterChanges)
{
  uint64_t number = 10;
  replace ({}, { 1, number });
  for (const char *revision : { "-1", "900", "null", "1e3" })
    {
      std::string text = "{\"events\":[{\"object\":{\"metadata\":{\"name\":"
                         "\"a\",\"revision\":"
                         + std::string (revision) + "}}}],\"current_rev\":"
                         + std::to_string (++number) + "}";
      cs_store_page_t page;
      cs_store_object_t object;
      ASSERT_EQ (
          cs_store_read_watch ({ text.data (), text.size () }, 1, &page),
          CS_OK);
      ASSERT_TRUE (cs_store_next_object (&page, &object));
      cs_evacuations_change (set, object.name, true, object.revision);
      EXPECT_TRUE (has ("a")) << revision;
      change ("a", false, { 1, ++number });
      EXPECT_FALSE (has ("a")) << revision;
      cs_store_page_release (&page);
    }
}

// A set that a peer sends between two pages must not become part of the list.
TEST_F (Evacuations, SetOfAPeerDoesNotDisturbAListInProgress)
{
  cs_evacuations_list_begin (set);
  cs_evacuations_list_add (set, cs_str ("a"));
  replace ({ "z" }, { 1, 5 });
  cs_evacuations_list_add (set, cs_str ("b"));
  cs_evacuations_list_end (set, { 1, 10 }, 0);
  EXPECT_TRUE (has ("a") && has ("b") && !has ("z"));
}

TEST_F (Evacuations, StartingRouterWaitsForTheSetForALimitedTime)
{
  EXPECT_FALSE (cs_evacuations_wait (set, false, SECOND, 1 * SECOND));
  EXPECT_FALSE (cs_evacuations_wait (set, true, SECOND, 9 * SECOND));
  EXPECT_FALSE (cs_evacuations_wait (set, true, SECOND, 10 * SECOND - 1));
  EXPECT_FALSE (cs_evacuations_may_serve (set));
  EXPECT_TRUE (cs_evacuations_wait (set, true, SECOND, 10 * SECOND));
  EXPECT_FALSE (cs_evacuations_wait (set, true, SECOND, 11 * SECOND));
  EXPECT_TRUE (cs_evacuations_may_serve (set));
  EXPECT_TRUE (cs_evacuations_may_serve (nullptr));
}

// Also where all others are ejected, so that the last resort is tried.
TEST_F (Evacuations, TargetsThereGetNothing)
{
  for (const char *id : { "t1", "t2", "t3" })
    put (id, "b");
  put ("t4", "c");
  replace ({ "b" }, { 1, 10 });
  cs_eject_policy_t policy = cs_eject_policy_default ();
  cs_eject_now (&target (3)->eject, &policy, SECOND);
  for (int i = 0; i < 100; i++)
    {
      ASSERT_EQ (choose (), CS_OK);
      ASSERT_STREQ (choice.target->id.text, "t4");
    }
  EXPECT_EQ (choice.reason, CS_CHOICE_LAST_RESORT);
}

// A target that asked for a pause would have the request wait for it.
TEST_F (Evacuations, RequestIsRefusedAtOnceIfAllTargetsAreThere)
{
  put ("t1", "b");
  put ("t2", "b");
  target (0)->paused_until = 2 * SECOND;
  replace ({ "b" }, { 1, 10 });
  EXPECT_EQ (choose (), CS_ERR_NO_TARGET);
  EXPECT_TRUE (choice.is_evacuated);
  EXPECT_EQ (choice.available_at, 0U);
  replace ({}, { 1, 11 });
  EXPECT_EQ (choose (), CS_OK) << "taken back";
}

// Registered again with a later start, and moved without one.
TEST_F (Evacuations, TargetThatJoinsOrMovesIsJudgedByItsDataCentre)
{
  replace ({ "b" }, { 1, 10 });
  put ("t1", "b", 11);
  EXPECT_EQ (choose (), CS_ERR_NO_TARGET);
  put ("t1", "c", 12);
  EXPECT_EQ (choose (), CS_OK);
  put ("t1", "b", 11);
  EXPECT_EQ (choose (), CS_OK) << "an older entry";
  put ("t1", "b", 13);
  EXPECT_EQ (choose (), CS_ERR_NO_TARGET);
  put ("t1", "b", 14, 2);
  EXPECT_EQ (choose (), CS_ERR_NO_TARGET);
}

// All contexts of an evacuated data centre would be computed again.
TEST_F (Evacuations, ContextsAreStillCopiedFromThere)
{
  put ("t1", "b");
  request.context = &context;
  request.can_fetch = true;
  ASSERT_EQ (choose (), CS_OK);
  put ("t2", "c");
  replace ({ "b" }, { 1, 10 });
  ASSERT_EQ (choose (), CS_OK);
  EXPECT_STREQ (choice.target->id.text, "t2");
  ASSERT_NE (choice.source, nullptr);
  EXPECT_STREQ (choice.source->id.text, "t1");
}

// A watch may be lost on a dead connection, which shows half a second after
// its wait; another call has to fit into the bound.
TEST (EvacuationSettings, LostWatchLeavesTimeForAnother)
{
  cs_router_settings_t settings = {};
  settings.evacuation_ms = 5000;
  settings.call_timeout_ms = 800;
  cs_time_us_t max_age = cs_router_settings_evacuation_age_us (&settings);
  for (cs_time_us_t age = 0; age <= max_age; age += 50 * CS_US_PER_MS)
    {
      uint32_t wait_ms
          = cs_router_settings_evacuation_watch_ms (&settings, age);
      EXPECT_LE (age / CS_US_PER_MS + wait_ms + 500, 5000U - 700U);
    }
  EXPECT_EQ (cs_router_settings_evacuation_watch_ms (&settings, 0), 2500U);
  EXPECT_LE (cs_router_settings_evacuation_watch_ms (&settings, 60 * SECOND),
             100U);
}

// Data centres "a" and "b" are in one region and "c" in another.
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

class Regions : public DataCentres
{
protected:
  void
  SetUp () override
  {
    DataCentres::SetUp ();
    ASSERT_EQ (read_settings (SETTINGS, &settings), CS_OK);
    for (const char *data_centre : { "a", "b", "c", "unknown" })
      put (data_centre, data_centre);
    request.regions = &settings.regions;
  }

  void
  TearDown () override
  {
    cs_routing_release (routing);
    DataCentres::TearDown ();
  }

  // Restricts the request by these members of a route and an organisation.
  int
  restrict_to (const std::string &route, const std::string &organisation = "")
  {
    std::string text
        = "{\"version\":1,\"services\":[{\"name\":\"s\"}],\"routes\":["
          "{\"service\":\"s\""
          + route + "}],\"tenants\":[{\"name\":\"o\"" + organisation + "}]}";
    json_t *spec = json_loads (text.c_str (), 0, nullptr);
    cs_buf_t reason = {};
    cs_routing_release (routing);
    routing = nullptr;
    int rc = cs_store_read_routing (spec, &routing, &reason);
    cs_buf_free (&reason);
    json_decref (spec);
    if (rc != CS_OK)
      return rc;
    request.route_regions = &routing->routes[0].regions;
    request.organisation_regions = &routing->organisations[0].regions;
    return CS_OK;
  }

  // Returns the data centres of all attempts, until no target is left.
  std::string
  chosen (const std::string &route, const std::string &organisation = "")
  {
    std::set<std::string> ids;
    EXPECT_EQ (restrict_to (route, organisation), CS_OK);
    request.avoid_count = 0;
    while (request.avoid_count < 4 && choose () == CS_OK)
      {
        request.avoid[request.avoid_count++] = choice.target;
        ids.insert (choice.target->id.text);
      }
    std::string text;
    for (auto &id : ids)
      text += id + " ";
    return text;
  }

  cs_router_settings_t settings = {};
  cs_routing_t *routing = nullptr;
};

TEST_F (Regions, AllAttemptsGoToTargetsInAllowedRegions)
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
// their region, as does a data centre with a second region.
TEST_F (Regions, RestrictionsThatAreNotClearAreRefused)
{
  EXPECT_EQ (restrict_to (",\"allowed_regions\":\"north\""),
             CS_ERR_BAD_RELEASE);
  EXPECT_EQ (restrict_to ("", ",\"allowed_regions\":[\"north\",7]"),
             CS_ERR_BAD_RELEASE);
  EXPECT_NE (read_settings (std::string (SETTINGS) + "a = south\n", &settings),
             CS_OK);
}

// A copy of a cached context is made by a request to the other target.
TEST_F (Regions, ContextsAreNotCopiedFromOtherRegions)
{
  request.context = &context;
  request.can_fetch = true;
  target (0)->leaving = target (1)->leaving = true;
  ASSERT_EQ (choose (), CS_OK) << "at a target outside";
  target (0)->leaving = false;
  target (2)->leaving = target (3)->leaving = true;
  ASSERT_EQ (choose (), CS_OK);
  EXPECT_TRUE (choice.source == target (2) || choice.source == target (3));
  target (1)->leaving = false;
  ASSERT_EQ (restrict_to (",\"allowed_regions\":[\"north\"]"), CS_OK);
  for (int i = 0; i < 20; i++)
    {
      ASSERT_EQ (choose (), CS_OK);
      EXPECT_NE (choice.source, target (2));
      EXPECT_NE (choice.source, target (3));
    }
}

// deploy/settings.ini lists the zones of every deployment.  One without a
// region, or of which there are many, must not keep a router that restricts
// nothing from starting.
TEST (RegionSettings, DataCentreWithoutRegionDoesNotPreventTheStart)
{
  cs_router_settings_t settings;
  std::string text = SETTINGS;
  EXPECT_EQ (read_settings (text + "d =\n", &settings), CS_OK);
  for (int i = 0; i < 70; i++)
    text += "z" + std::to_string (i) + " = north\n";
  EXPECT_EQ (read_settings (text, &settings), CS_OK);
}

}
