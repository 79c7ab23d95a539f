// Routers' decisions about their peers: hubs, load reports, outlier detection
// and the expiry of routers' entries.

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/hash.h"
#include "cranberrystile/hub_plan.h"
#include "cranberrystile/load_table.h"
#include "cranberrystile/outcomes.h"
#include "cranberrystile/renewal.h"
#include "cranberrystile/start_wait.h"
#include "router/peer/internal.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;

// Members 1 to 4 of data centre 1 and 11 to 13 of data centre 2, except SELF.
std::vector<cs_hub_member_t>
members_without (uint64_t self)
{
  std::vector<cs_hub_member_t> all;
  for (uint64_t id : { 1, 2, 3, 4, 11, 12, 13 })
    if (id != self)
      all.push_back ({ id, 0, id > 10 ? 2U : 1U, false, false });
  return all;
}

struct Plan
{
  cs_hub_role_t role;
  std::vector<uint64_t> dialled;
};

Plan
plan (uint64_t self, const std::vector<cs_hub_member_t> &members,
      uint32_t capacity = 0)
{
  Plan out = {};
  bool dial[16];
  cs_hub_member_t me = { self, capacity, self > 10 ? 2U : 1U, false, false };
  cs_hub_plan (&me, members.data (), members.size (), &out.role, dial);
  for (size_t i = 0; i < members.size (); i++)
    if (dial[i])
      out.dialled.push_back (members[i].id);
  return out;
}

// All 300 hosts of a fleet start at the same time: 50 in each of 6 data
// centres.  Each knows the others by a list of entries of earlier starts.
TEST (StartWait, OfAllHostsLeavesTheListsToTwoHubsADataCentre)
{
  const cs_time_us_t listed_at = SECOND / 20;
  int reading = 0;
  for (uint64_t self = 1; self <= 300; self++)
    {
      std::vector<cs_hub_member_t> members;
      std::vector<char> dial (300);
      for (uint64_t id = 1; id <= 300; id++)
        if (id != self)
          members.push_back ({ id, 0, id % 6, false, false });
      cs_hub_member_t me = { self, 0, self % 6, false, false };
      cs_hub_role_t role;
      cs_hub_plan (&me, members.data (), members.size (), &role,
                   reinterpret_cast<bool *> (dial.data ()));
      cs_start_t start = { 0, false, true, true };
      EXPECT_TRUE (cs_start_waits (&start, listed_at));
      start = { 0, true, role.is_hub, role.is_preferred_hub };
      reading += !cs_start_waits (&start, listed_at);
    }
  EXPECT_EQ (reading, 2 * 6);
}

// Whatever store and hubs do, the wait leaves most of a recovery time of 4 s.
TEST (StartWait, Ends)
{
  cs_start_t start = { 5 * SECOND, false, true, true };
  EXPECT_FALSE (cs_start_waits (&start, 6 * SECOND)) << "no directory";
  start = { 5 * SECOND, true, true, false };
  EXPECT_TRUE (cs_start_waits (&start, 6 * SECOND)) << "hubs don't listen yet";
  EXPECT_FALSE (cs_start_waits (&start, 7 * SECOND)) << "hubs are gone";
  start = { 5 * SECOND, true, false, false };
  EXPECT_TRUE (cs_start_waits (&start, 6 * SECOND)) << "hubs are reading";
  EXPECT_FALSE (cs_start_waits (&start, 7 * SECOND)) << "no hub sends any";
}

TEST (HubPlan, FirstTwoMembersOfADataCentreAreHubs)
{
  EXPECT_TRUE (plan (1, members_without (1)).role.is_first);
  EXPECT_TRUE (plan (2, members_without (2)).role.is_hub);
  EXPECT_FALSE (plan (2, members_without (2)).role.is_first);
  EXPECT_FALSE (plan (3, members_without (3)).role.is_hub);
  EXPECT_TRUE (plan (11, members_without (11)).role.is_first);
}

TEST (HubPlan, MembersDialHubsAndFirstHubsDialEachOther)
{
  EXPECT_EQ (plan (4, members_without (4)).dialled,
             (std::vector<uint64_t>{ 1, 2 }));
  EXPECT_EQ (plan (2, members_without (2)).dialled,
             (std::vector<uint64_t>{ 1 }));
  EXPECT_EQ (plan (1, members_without (1)).dialled, (std::vector<uint64_t>{}));
  EXPECT_EQ (plan (11, members_without (11)).dialled,
             (std::vector<uint64_t>{ 1 }))
      << "only one side of each pair dials";
}

// Routers that restarted while the platform was away were never dialled.
TEST (HubPlan, HubsDialAbsentMembersAndFirstHubs)
{
  auto all_absent = [] (uint64_t self) {
    auto members = members_without (self);
    for (auto &member : members)
      member.is_absent = true;
    return members;
  };
  EXPECT_EQ (plan (1, all_absent (1)).dialled,
             (std::vector<uint64_t>{ 2, 3, 4, 11 }));
  EXPECT_EQ (plan (2, all_absent (2)).dialled,
             (std::vector<uint64_t>{ 1, 3, 4 }));
  EXPECT_EQ (plan (4, all_absent (4)).dialled,
             (std::vector<uint64_t>{ 1, 2 }));
}

// A configuration for fifty members takes a host with a small link a second to
// send, during which it can't serve callers.
TEST (HubPlan, HostsWithMoreCapacityAreHubsFirst)
{
  auto members = members_without (4);
  EXPECT_TRUE (plan (4, members, 50).role.is_first);
  members[2].capacity = 50; // 3
  members[1].capacity = 80; // 2
  EXPECT_TRUE (plan (4, members, 100).role.is_first);
  EXPECT_FALSE (plan (4, members, 50).role.is_hub);
  EXPECT_EQ (plan (4, members, 50).dialled, (std::vector<uint64_t>{ 2, 3 }));
  members[1].is_unreachable = true;
  EXPECT_TRUE (plan (4, members, 50).role.is_hub);
}

TEST (HubPlan, NextMemberReplacesAFailedHub)
{
  auto members = members_without (3);
  members[0].is_unreachable = true;
  EXPECT_TRUE (plan (3, members).role.is_hub);
  members[1].is_unreachable = true;
  EXPECT_TRUE (plan (3, members).role.is_first);
}

TEST (HubPlan, SingleRouterIsFirstHub)
{
  EXPECT_TRUE (plan (7, {}).role.is_first);
}

TEST (LoadTable, KeepsEntriesSorted)
{
  cs_load_table_t table = {};
  for (uint32_t i = 0; i < 500; i++)
    {
      cs_load_t load = { i * 7919 % 500, i, 2 * i, 0, 0 };
      ASSERT_EQ (cs_load_table_set (&table, &load), 0);
    }
  EXPECT_EQ (table.count, 500U);
  for (uint32_t i = 0; i < 500; i++)
    EXPECT_EQ (cs_load_table_get (&table, i * 7919 % 500).ended, 2 * i);
  EXPECT_EQ (cs_load_table_get (&table, 1000).calls, 0U);
  cs_load_table_free (&table);
}

TEST (LoadTable, SmallChangesOfBusyTargetsAreNotReported)
{
  cs_load_t reported = { 1, 40, 1000, 3, 0 };
  cs_load_t load = reported;
  EXPECT_FALSE (cs_load_should_report (&load, &reported, 0));
  load.calls = 44;
  EXPECT_FALSE (cs_load_should_report (&load, &reported, 0));
  load.calls = 46;
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 0));
  load = reported;
  load.failed++;
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 0));
  load = { 1, 0, 0, 0, 0 };
  reported = { 1, 1, 0, 0, 0 };
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 0));
}

// The limit that users set leaves room for three calls, so one is not missed.
TEST (LoadTable, SingleCallsAtLargeTargetsAreNotReported)
{
  cs_load_t reported = { 1, 0, 0, 0, 0 };
  cs_load_t load = { 1, 1, 0, 0, 0 };
  EXPECT_FALSE (cs_load_should_report (&load, &reported, 24));
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 6));
  load.calls = 2;
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 24));
  reported.calls = 1;
  load.calls = 0;
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 24));
}

// 300 hosts send 2,000 calls a second to 3,000 targets, which take 0.5 s each.
// A hub's heartbeats carry less than a third of the loads that changed.
TEST (LoadTable, HeartbeatsOfACalmLargeFleetAreShort)
{
  const int targets = 3000;
  std::vector<cs_load_t> exact (targets), coarse (targets), now (targets);
  cs_random_t random = { 9, 0 };
  int exact_reports = 0, coarse_reports = 0;
  uint32_t worst = 0;
  for (int beat = 0; beat < 100; beat++)
    for (int i = 0; i < targets; i++)
      {
        for (uint32_t c = now[i].calls; c > 0; c--)
          now[i].calls -= cs_random_unit (&random) < 0.45;
        now[i].calls += cs_random_unit (&random) < 0.2;
        now[i].target = i;
        if (cs_load_should_report (&now[i], &exact[i], 0))
          {
            exact[i] = now[i];
            exact_reports++;
          }
        if (cs_load_should_report (&now[i], &coarse[i], 24))
          {
            coarse[i] = now[i];
            coarse_reports++;
          }
        if (now[i].calls > coarse[i].calls)
          worst = std::max (worst, now[i].calls - coarse[i].calls);
      }
  EXPECT_LT (coarse_reports, exact_reports / 3);
  EXPECT_EQ (worst, 1U);
}

// A peer that was disconnected while a target was removed reports it as
// lapsed, at a newer revision.  A router that saw the removal must not add the
// target again; a router that never knew the target adds it.
TEST (TargetSync, RemovedTargetIsNotAddedAgainAsLapsed)
{
  static cs_router_t router;
  cs_mesh_t mesh = {};
  cs_link_t link = {};
  bool added;
  size_t count;
  router.loop = cs_loop_create ();
  router.fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
  mesh.router = &router;
  link.mesh = &mesh;
  cs_target_entry_t entry = {};
  entry.id = cs_str ("left");
  entry.service = cs_str ("engines");
  entry.data_centre = cs_str ("a");
  cs_fleet_set_revision (router.fleet, { 0, 10 });
  cs_fleet_put (router.fleet, &entry, 1, &added);
  cs_fleet_remove (router.fleet, cs_str ("left"), 0, 1);

  Cs__Router__Target lapsed[2];
  Cs__Router__Target *list[2];
  const char *ids[2] = { "left", "unknown" };
  for (int i = 0; i < 2; i++)
    {
      cs__router__target__init (&lapsed[i]);
      lapsed[i].id = const_cast<char *> (ids[i]);
      lapsed[i].service = const_cast<char *> ("engines");
      lapsed[i].data_centre = const_cast<char *> ("a");
      lapsed[i].kept_ms = 2000;
      list[i] = &lapsed[i];
    }
  Cs__Router__Targets targets = CS__ROUTER__TARGETS__INIT;
  targets.revision = 20;
  targets.targets = list;
  targets.n_targets = 2;
  cs_sync_read_targets (&link, &targets, 1000);
  cs_target_t *const *known = cs_fleet_targets (router.fleet, &count);
  ASSERT_EQ (count, 1U);
  EXPECT_STREQ (known[0]->id.text, "unknown");
  cs_fleet_destroy (router.fleet);
  cs_loop_destroy (router.loop);
}

// A heartbeat outside of the interval, for a notice or a new link, follows
// changes of the fleet that the sums of the loads don't reflect.
TEST (Loads, SumsAreUsedOnlyForTheFleetThatTheyWereMadeOf)
{
  static cs_router_t router;
  static cs_mesh_t mesh;
  static cs_link_t link;
  bool added;
  Cs__Router__Beat beat = CS__ROUTER__BEAT__INIT;
  router.fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
  mesh.router = &router;
  mesh.links = &link;
  mesh.role.is_hub = true;
  link.mesh = &mesh;
  link.hello_received = true;
  for (int i = 0; i < 40; i++)
    {
      std::string id = "t" + std::to_string (i);
      cs_target_entry_t entry = {};
      entry.id = cs_str (id.c_str ());
      entry.service = cs_str ("engines");
      entry.data_centre = cs_str ("a");
      cs_fleet_put (router.fleet, &entry, 1, &added);
      if (i == 0)
        cs_loads_update_sums (&mesh);
    }
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (router.fleet, &count);
  for (size_t i = 0; i < count; i++)
    targets[i]->in_flight = 5;
  cs_loads_fill_heartbeat (&link, &beat);
  EXPECT_EQ (beat.n_own, 0U);
  EXPECT_EQ (beat.n_others, 0U);
  cs_loads_update_sums (&mesh);
  cs_loads_fill_heartbeat (&link, &beat);
  EXPECT_EQ (beat.n_own, 40U);
  cs_loads_discard_sums (&mesh);
  targets[0]->in_flight = 50;
  Cs__Router__Beat extra = CS__ROUTER__BEAT__INIT;
  cs_loads_fill_heartbeat (&link, &extra);
  EXPECT_EQ (extra.n_own, 0U);
  free (mesh.sums);
  cs_load_table_free (&link.sent_own);
  cs_load_table_free (&link.sent_others);
  cs_fleet_destroy (router.fleet);
}

// A router with two targets at revision 50 of era 1, and a link to a peer.
class PeerEra : public testing::Test
{
protected:
  void
  SetUp () override
  {
    router.loop = cs_loop_create ();
    router.fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    cs_fleet_set_hold (router.fleet, 4 * SECOND);
    router.store_era = 1;
    router.fleet_synced = true;
    router.settings.lapse_ms = 2000;
    cs_fleet_set_revision (router.fleet, { 1, 50 });
    put ("a");
    put ("b");
    mesh.router = &router;
    link.mesh = &mesh;
  }

  void
  TearDown () override
  {
    cs_fleet_destroy (router.fleet);
    cs_loop_destroy (router.loop);
  }

  void
  put (const char *id)
  {
    bool added;
    cs_target_entry_t entry = {};
    entry.id = cs_str (id);
    entry.service = cs_str ("engines");
    entry.data_centre = cs_str ("a");
    entry.address.sin_family = AF_INET;
    entry.revision = cs_fleet_revision (router.fleet);
    cs_fleet_put (router.fleet, &entry, SECOND, &added);
  }

  cs_target_t *
  find (const char *id)
  {
    sockaddr_in address = {};
    return cs_fleet_find_incarnation (router.fleet, cs_str (id), 0, &address);
  }

  // Reads a frame with the complete list of IDS, or the changes since SINCE.
  void
  read_targets (uint64_t era, uint64_t revision, uint64_t since,
                std::vector<const char *> ids, cs_time_us_t now)
  {
    std::vector<Cs__Router__Target> entries (ids.size ());
    std::vector<Cs__Router__Target *> list;
    for (size_t i = 0; i < ids.size (); i++)
      {
        cs__router__target__init (&entries[i]);
        entries[i].id = const_cast<char *> (ids[i]);
        entries[i].service = const_cast<char *> ("engines");
        entries[i].data_centre = const_cast<char *> ("a");
        list.push_back (&entries[i]);
      }
    Cs__Router__Targets targets = CS__ROUTER__TARGETS__INIT;
    targets.era = era;
    targets.revision = revision;
    targets.since = since;
    targets.targets = list.data ();
    targets.n_targets = list.size ();
    cs_sync_read_targets (&link, &targets, now);
  }

  cs_router_t router = {};
  cs_mesh_t mesh = {};
  cs_link_t link = {};
};

TEST_F (PeerEra, ListOfANewEraIsAppliedAtALowerRevision)
{
  read_targets (2, 40, 0, { "a", "c" }, 2 * SECOND);
  EXPECT_NE (find ("c"), nullptr);
  EXPECT_EQ (cs_fleet_revision (router.fleet).era, 2U);
  EXPECT_EQ (router.store_era, 2U);
  ASSERT_NE (find ("b"), nullptr)
      << "it may have registered after the copy was taken";
  cs_fleet_remove_expired (router.fleet, 5 * SECOND);
  EXPECT_EQ (find ("b"), nullptr);
}

TEST_F (PeerEra, ChangesFromABaseInAnotherEraAreIgnored)
{
  read_targets (2, 60, 45, { "c" }, 2 * SECOND);
  EXPECT_EQ (find ("c"), nullptr);
  EXPECT_EQ (cs_fleet_revision (router.fleet).era, 1U);
}

TEST_F (PeerEra, PeerInAnEarlierEraChangesNothing)
{
  read_targets (2, 40, 0, { "a", "b" }, 2 * SECOND);
  read_targets (1, 90, 0, { "d" }, 3 * SECOND);
  EXPECT_EQ (find ("d"), nullptr);
  EXPECT_NE (find ("a"), nullptr);
}

// A router of an earlier version.
TEST_F (PeerEra, FrameWithoutEraBelongsToTheOwnEra)
{
  read_targets (0, 60, 50, { "c" }, 2 * SECOND);
  EXPECT_NE (find ("c"), nullptr);
  EXPECT_EQ (cs_fleet_revision (router.fleet).era, 1U);
  EXPECT_EQ (cs_fleet_revision (router.fleet).number, 60U);
}

TEST_F (PeerEra, TargetThatWasGoneIsHeldWhenTheCopyListsIt)
{
  cs_fleet_remove (router.fleet, cs_str ("b"), 0, 2 * SECOND);
  read_targets (2, 40, 0, { "a", "b" }, 2 * SECOND);
  ASSERT_NE (find ("b"), nullptr);
  EXPECT_GT (find ("b")->held_until, cs_loop_now (router.loop) + 3 * SECOND);
  EXPECT_EQ (find ("a")->held_until, 0U);
}

TEST (Outcomes, TargetThatFailsAloneStandsOut)
{
  cs_outcomes_t target = {};
  cs_outcomes_t service = {};
  cs_outcomes_add (&target, 6, 4, SECOND);
  cs_outcomes_add (&service, 100, 6, SECOND);
  EXPECT_TRUE (cs_outcomes_is_outlier (&target, &service));
}

TEST (Outcomes, NoTargetStandsOutWhenTheWholeServiceFails)
{
  cs_outcomes_t target = {};
  cs_outcomes_t service = {};
  cs_outcomes_add (&target, 10, 5, SECOND);
  cs_outcomes_add (&service, 100, 45, SECOND);
  EXPECT_FALSE (cs_outcomes_is_outlier (&target, &service));
}

TEST (Outcomes, FewOrOldFailuresAreIgnored)
{
  cs_outcomes_t target = {};
  cs_outcomes_t service = {};
  cs_outcomes_add (&service, 100, 2, SECOND);
  cs_outcomes_add (&target, 2, 2, SECOND);
  EXPECT_FALSE (cs_outcomes_is_outlier (&target, &service));
  cs_outcomes_add (&target, 2, 2, SECOND);
  EXPECT_TRUE (cs_outcomes_is_outlier (&target, &service));
  cs_outcomes_add (&target, 0, 0, 3 * SECOND);
  EXPECT_FALSE (cs_outcomes_is_outlier (&target, &service));
}

TEST (Renewal, EntryExpiresAfterThreeMissedRenewals)
{
  // Renewed every 300 s and checked every 10 s: 30 checks per renewal.
  cs_renewal_t renewal = {};
  for (int check = 0; check < 90; check++)
    cs_renewal_record_read (&renewal, { 1, 7 });
  EXPECT_FALSE (cs_renewal_has_stopped (&renewal, 300, 10));
  for (int check = 0; check < 10; check++)
    cs_renewal_record_read (&renewal, { 1, 7 });
  EXPECT_TRUE (cs_renewal_has_stopped (&renewal, 300, 10));
  cs_renewal_record_read (&renewal, { 1, 8 });
  EXPECT_FALSE (cs_renewal_has_stopped (&renewal, 300, 10));
}

// In a restored store the same number belongs to another write.
TEST (Renewal, SameNumberInANewEraIsARenewal)
{
  cs_renewal_t renewal = {};
  for (int check = 0; check < 100; check++)
    cs_renewal_record_read (&renewal, { 1, 7 });
  EXPECT_TRUE (cs_renewal_has_stopped (&renewal, 300, 10));
  cs_renewal_record_read (&renewal, { 2, 7 });
  EXPECT_FALSE (cs_renewal_has_stopped (&renewal, 300, 10));
}

TEST (Renewal, InfrequentChecksStillAllowSeveralRenewals)
{
  cs_renewal_t renewal = {};
  for (int check = 0; check < 4; check++)
    cs_renewal_record_read (&renewal, { 1, 7 });
  EXPECT_FALSE (cs_renewal_has_stopped (&renewal, 1, 3600));
  cs_renewal_record_read (&renewal, { 1, 7 });
  cs_renewal_record_read (&renewal, { 1, 7 });
  EXPECT_TRUE (cs_renewal_has_stopped (&renewal, 1, 3600));
}

}
