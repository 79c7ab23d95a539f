// Placement by many routers whose views of the loads lag, judged by the true
// loads.

#include <cmath>
#include <deque>
#include <memory>
#include <queue>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "common/hash.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/load_shedder.h"
#include "cranberrystile/popularity.h"
#include "cranberrystile/stale_load.h"
#include "cranberrystile/surge.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;

const int TARGETS = 160;
const cs_time_us_t VIEW_INTERVAL = 300 * CS_US_PER_MS;

// One router's view of the targets.
struct View
{
  View (uint64_t seed, uint32_t slots)
  {
    cs_choice_policy_t policy = cs_choice_policy_default ();
    fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    chooser = cs_chooser_create (&policy, seed);
    for (int i = 0; i < TARGETS; i++)
      {
        bool added;
        std::string id = "t" + std::to_string (i);
        cs_target_entry_t entry = {};
        entry.id = cs_str (id.c_str ());
        entry.service = cs_str ("engines");
        entry.data_centre = cs_str ("a");
        entry.slots = slots;
        cs_fleet_put (fleet, &entry, 0, &added);
      }
  }

  ~View ()
  {
    cs_chooser_destroy (chooser);
    cs_fleet_destroy (fleet);
  }

  cs_target_t *
  target (int index) const
  {
    size_t count;
    return cs_fleet_targets (fleet, &count)[index];
  }

  cs_fleet_t *fleet;
  cs_chooser_t *chooser;
  cs_load_shedder_t shedder = {};
};

struct End
{
  cs_time_us_t at;
  int router;
  int target;

  bool
  operator> (const End &other) const
  {
    return at > other.at;
  }
};

// What one run of the fleet counted.
struct Outcome
{
  int calls = 0;
  int over = 0; // sent to a target above 2 * mean + 3
  int homes = 0;
  int refused = 0;
  double least_mean = 1e9; // from second 4 on
  double greatest_mean = 0;
};

// Requests at PER_S a second from all callers, which last SECONDS on average.
// From second 2 on they are FACTOR times as many, and HOT_SHARE of them are of
// one organisation, which asks for HOT_CONTEXTS contexts.
struct Load
{
  double factor;
  double hot_share;
  int routers = 200;
  int hot_contexts = 1;
  double calm_hot_share = 0; // before second 2
  double per_s = 1200;
  double seconds = 1;
  uint32_t slots = 24;
  int contexts = 400;
  // From second 2 on the rate rises and falls by this share of its mean, as
  // refused callers return together.
  double wave = 0;
  double wave_s = 2.5;
  // Ranks of the requests; the load shedder refuses some.  0: it isn't asked.
  // In the burst this share is of rank 4.
  uint32_t ranks = 0;
  double same_rank_share = 0;
  bool waits = false; // calls beyond the slots of a target wait there
};

// Each router learns the loads at the others LAG late.
Outcome
run (cs_time_us_t lag, const Load &load, uint64_t seed)
{
  std::vector<std::unique_ptr<View>> views;
  for (int i = 0; i < load.routers; i++)
    views.push_back (std::make_unique<View> (seed + i, load.slots));
  std::vector<int> loads (TARGETS);
  std::deque<std::pair<cs_time_us_t, std::vector<int>>> history;
  std::priority_queue<End, std::vector<End>, std::greater<End>> ends;
  cs_random_t random = { seed, 0 };
  std::vector<std::deque<int>> waiting (TARGETS); // routers of the calls
  cs_time_us_t now = 0;
  cs_time_us_t next_view = 0;
  auto duration = [&] {
    return static_cast<cs_time_us_t> (
        cs_random_exponential (&random, SECOND * load.seconds));
  };
  int in_flight = 0;
  Outcome out;
  while (now < 7 * SECOND)
    {
      bool burst = now >= 2 * SECOND;
      double rate = load.per_s * (burst ? load.factor : 1);
      if (burst)
        rate *= 1
                + load.wave
                      * std::sin (2 * M_PI * static_cast<double> (now)
                                  / (load.wave_s * SECOND));
      now += static_cast<cs_time_us_t> (
          cs_random_exponential (&random, SECOND / rate));
      while (!ends.empty () && ends.top ().at <= now)
        {
          End end = ends.top ();
          ends.pop ();
          views[end.router]->target (end.target)->in_flight--;
          loads[end.target]--;
          in_flight--;
          std::deque<int> &queue = waiting[end.target];
          if (queue.empty ())
            continue;
          ends.push ({ end.at + duration (), queue.front (), end.target });
          queue.pop_front ();
        }
      if (now >= next_view)
        {
          next_view = now + VIEW_INTERVAL;
          history.push_back ({ now, loads });
          while (history.size () > 1 && history[1].first + lag <= now)
            history.pop_front ();
          for (auto &view : views)
            for (int i = 0; i < TARGETS; i++)
              {
                view->target (i)->peer_calls = history[0].second[i];
                view->target (i)->peer_calls_at = now;
              }
        }
      double hot_share = burst ? load.hot_share : load.calm_hot_share;
      bool hot = (burst || load.calm_hot_share > 0)
                 && cs_random_unit (&random) < hot_share;
      uint64_t key = 0;
      if (!hot)
        key = 1 + cs_random_u64 (&random) % load.contexts;
      else if (load.hot_contexts > 1)
        key = 1000 + cs_random_u64 (&random) % load.hot_contexts;
      cs_prompt_context_t context
          = { { cs_hash_pair (7, key) }, { 1000 }, 1, 100 };
      cs_choice_request_t request = {};
      request.service = cs_str ("engines");
      request.data_centre = cs_str ("a");
      request.context = &context;
      request.peers = load.routers - 1;
      if (load.hot_contexts > 1)
        request.organisation = hot ? 1 : 2 + key % 40;
      int router = cs_random_u64 (&random) % load.routers;
      cs_choice_t choice;
      EXPECT_EQ (cs_chooser_choose (views[router]->chooser,
                                    views[router]->fleet, &request, now,
                                    &choice),
                 CS_OK);
      if (load.ranks > 0)
        {
          uint32_t rank = cs_random_u64 (&random) % load.ranks;
          if (burst && cs_random_unit (&random) < load.same_rank_share)
            rank = 4;
          cs_load_shedder_record (&views[router]->shedder, rank, now);
          if (!cs_load_shedder_admits (&views[router]->shedder, rank, &choice,
                                       now))
            {
              out.refused += burst;
              continue;
            }
        }
      int target = std::atoi (choice.target->id.text + 1);
      double mean = static_cast<double> (in_flight) / TARGETS;
      if (now >= 4 * SECOND)
        {
          out.least_mean = std::min (out.least_mean, mean);
          out.greatest_mean = std::max (out.greatest_mean, mean);
        }
      if (burst)
        {
          out.calls++;
          out.over += loads[target] > 2 * mean + 3;
          out.homes += choice.reason == CS_CHOICE_HOME;
        }
      choice.target->in_flight++;
      loads[target]++;
      in_flight++;
      if (load.waits && loads[target] > static_cast<int> (load.slots))
        waiting[target].push_back (router);
      else
        ends.push ({ now + duration (), router, target });
    }
  return out;
}

class LaggingViews : public testing::TestWithParam<int>
{
};

// The users allow 3 of 100 in five seconds.
TEST_P (LaggingViews, HotContextInABurstOverloadsNoTarget)
{
  Outcome out = run (GetParam () * CS_US_PER_MS, { 2.5, 0.15 }, 11);
  EXPECT_LE (out.over, 0.03 * out.calls) << out.calls;
  RecordProperty ("over", out.over);
}

TEST_P (LaggingViews, BurstOfAllContextsOverloadsNoTarget)
{
  Outcome out = run (GetParam () * CS_US_PER_MS, { 2.5, 0 }, 12);
  EXPECT_LE (out.over, 0.03 * out.calls) << out.calls;
  RecordProperty ("over", out.over);
  EXPECT_GE (out.homes, 0.9 * out.calls)
      << "contexts stay at their homes while these have room";
}

INSTANTIATE_TEST_SUITE_P (Ms, LaggingViews, testing::Values (300, 1000, 2000),
                          [] (const auto &info) {
                            return std::to_string (info.param);
                          });

// One organisation sends 40 times its usual: 63 of 100 calls, for 30 contexts.
// The lags are those seen on a site of 295 hosts and half of that.
class SurgeOfAnOrganisation : public testing::TestWithParam<int>
{
};

TEST_P (SurgeOfAnOrganisation, OverloadsNoTarget)
{
  Load load = { 2.8, 0.63 };
  load.routers = 295;
  load.hot_contexts = 30;
  load.calm_hot_share = 2.8 * 0.63 / 40;
  load.per_s = 1400;
  load.seconds = 0.65;
  Outcome out = run (GetParam () * CS_US_PER_MS, load, 13);
  EXPECT_LE (out.over, 0.03 * out.calls) << out.calls;
  RecordProperty ("over", out.over);
}

INSTANTIATE_TEST_SUITE_P (Ms, SurgeOfAnOrganisation,
                          testing::Values (300, 600), [] (const auto &info) {
                            return std::to_string (info.param);
                          });

// The targets are full when the calls come in waves, for about as many
// contexts as there are targets, as on a day of engines that are full: the
// contexts that share a home by chance exceed twice the mean, and where loads
// have fallen, all contexts with a home there would go to it at once.
class WavesOfRetries : public testing::TestWithParam<int>
{
};

TEST_P (WavesOfRetries, OverloadNoTarget)
{
  Load load = { 2.6, 0 };
  load.routers = 295;
  load.per_s = 1700;
  load.seconds = 1.2;
  load.slots = 24;
  load.contexts = 150;
  load.wave = 0.5;
  Outcome out = run (GetParam () * CS_US_PER_MS, load, 23);
  EXPECT_LE (out.over, 0.03 * out.calls) << out.calls;
  RecordProperty ("over", out.over);
}

INSTANTIATE_TEST_SUITE_P (Ms, WavesOfRetries, testing::Values (300, 600, 900),
                          [] (const auto &info) {
                            return std::to_string (info.param);
                          });

// Twice as many calls as all slots serve, most of one kind.  The load shedder
// refuses about a half: it must not admit just those whose targets showed
// little load some time ago.
class ShedBurst : public testing::TestWithParam<int>
{
};

Load
shed_burst ()
{
  Load load = { 6, 0 };
  load.routers = 295;
  load.per_s = 1200;
  load.seconds = 0.8;
  load.contexts = 1000;
  load.ranks = 6;
  load.same_rank_share = 0.85;
  load.waits = true;
  return load;
}

TEST_P (ShedBurst, OverloadsNoTarget)
{
  Load load = shed_burst ();
  load.wave = 0.4;
  Outcome out = run (GetParam () * CS_US_PER_MS, load, 29);
  EXPECT_LE (out.over, 0.03 * out.calls) << out.calls;
  RecordProperty ("over", out.over);
  RecordProperty ("refused", out.refused);
  RecordProperty ("calls", out.calls);
}

INSTANTIATE_TEST_SUITE_P (Ms, ShedBurst, testing::Values (300, 600, 900),
                          [] (const auto &info) {
                            return std::to_string (info.param);
                          });

// Without the waves: the routers admit as much as the targets serve, and not
// all or nothing in turns, by which targets would be idle at times.
TEST_P (ShedBurst, KeepsTheSlotsInUse)
{
  Outcome out = run (GetParam () * CS_US_PER_MS, shed_burst (), 31);
  EXPECT_GE (out.least_mean, 0.9 * 24);
  EXPECT_LE (out.greatest_mean, 1.5 * 24);
  RecordProperty ("least_mean", static_cast<int> (out.least_mean));
  RecordProperty ("greatest_mean", static_cast<int> (out.greatest_mean));
}

// 13 requests a second of 40 organisations, of which one becomes 20 times as
// frequent.
TEST (Surge, IsSeenWithinHalfASecondAndEnds)
{
  auto surge = std::make_unique<cs_surge_t> ();
  cs_random_t random = { 17, 0 };
  int calm = 0, calm_seen = 0, early_seen = 0, late_seen = 0;
  cs_time_us_t now = 0;
  while (now < 400 * SECOND)
    {
      now += static_cast<cs_time_us_t> (
          cs_random_exponential (&random, SECOND / 13.));
      cs_surge_record_request (surge.get (), now);
      bool seen = cs_surge_record (surge.get (),
                                   1 + cs_random_u64 (&random) % 40, 2, now);
      calm++;
      calm_seen += seen;
    }
  EXPECT_LT (calm_seen, 0.02 * calm);
  for (int i = 0; i < 70; i++)
    {
      now += SECOND / 7;
      cs_surge_record_request (surge.get (), now);
      bool seen = cs_surge_record (surge.get (), 5, 2, now);
      if (i >= 4 && i < 8)
        early_seen += seen;
      if (i >= 50)
        late_seen += seen;
    }
  EXPECT_EQ (early_seen, 4);
  EXPECT_EQ (late_seen, 0);
}

// 100 requests a second at one of few hosts.  One of 40 organisations sends
// its requests in pairs, as somebody does who asks two things at once.
TEST (Surge, PairsOfRequestsAtABusyHostAreNone)
{
  auto surge = std::make_unique<cs_surge_t> ();
  cs_random_t random = { 19, 0 };
  int seen = 0;
  cs_time_us_t now = 0;
  for (int i = 0; i < 20000; i++)
    {
      now += static_cast<cs_time_us_t> (
          cs_random_exponential (&random, SECOND / 100.));
      uint64_t key = 1 + cs_random_u64 (&random) % 40;
      for (int j = 0; j < (key == 1 ? 2 : 1); j++)
        {
          cs_surge_record_request (surge.get (), now);
          seen += cs_surge_record (surge.get (), key, 2, now);
        }
    }
  EXPECT_LE (seen, 20);
}

// Few slots taken: the usual homes, so that contexts stay where they are
// cached.
TEST (ChoicePolicy, SpreadsEachContextOfABusyService)
{
  cs_choice_policy_t policy = cs_choice_policy_default ();
  cs_choice_service_t service = { 160, 11.9, 24, 0, 11.9 };
  EXPECT_EQ (cs_choice_homes_needed (&policy, &service, 0, false),
             policy.homes);
  service.mean = 12;
  EXPECT_EQ (cs_choice_homes_needed (&policy, &service, 0, false),
             policy.busy_homes);
  service.mean_slots = 0; // unknown
  EXPECT_EQ (cs_choice_homes_needed (&policy, &service, 0, false),
             policy.homes);
}

// A busy service of few targets kept each context at half of them: memory of
// prompts was moved and parts were read again that the engines had no time
// for.
TEST (ChoicePolicy, KeepsTheHomesOfABusyServiceWithFewTargets)
{
  cs_choice_policy_t policy = cs_choice_policy_default ();
  for (size_t count : { 6, 12, 18, 40 })
    {
      cs_choice_service_t service = { count, 20, 24, 0, 20 };
      EXPECT_EQ (cs_choice_homes_needed (&policy, &service, 0, false),
                 policy.homes)
          << count;
    }
}

TEST (StaleLoad, FillsUpToACommonLevel)
{
  const double loads[] = { 2, 10, 4, 6 };
  EXPECT_DOUBLE_EQ (cs_stale_load_level (loads, 4, 3), 4.5);
  EXPECT_DOUBLE_EQ (cs_stale_load_level (loads, 4, 18), 10);
  EXPECT_DOUBLE_EQ (cs_stale_load_level (loads, 4, 22), 11);
}

// A burst of 40,000 calls arrives before any report of the loads: no target
// gets more than its share, and none that is above the level gets any.
TEST (StaleLoad, BurstBetweenTwoReportsLevelsTheLoads)
{
  const double loads[] = { 0, 3000, 9000, 90000 };
  double after[] = { 0, 3000, 9000, 90000 };
  cs_random_t random = { 5, 0 };
  for (int i = 0; i < 40000; i++)
    after[cs_stale_load_select (loads, 4, 40000, cs_random_unit (&random))]++;
  for (int i = 0; i < 3; i++)
    EXPECT_NEAR (after[i], 52000 / 3., 500);
  EXPECT_EQ (after[3], 90000);
}

// Few calls since the report: the least loaded one gets them.
TEST (StaleLoad, FreshReportNamesTheLeastLoaded)
{
  const double loads[] = { 5, 2, 2.5 };
  for (double unit : { 0., 0.3, 0.999 })
    EXPECT_EQ (cs_stale_load_select (loads, 3, 0.5, unit), 1U);
  EXPECT_EQ (cs_stale_load_select (loads + 1, 1, 1, 0.5), 0U);
}

TEST (Popularity, ShareOfAHotContextIsFoundWithinSeconds)
{
  cs_popularity_t popularity = {};
  cs_random_t random = { 3, 0 };
  double sum = 0;
  int samples = 0;
  for (int i = 0; i < 600; i++)
    {
      cs_time_us_t now = i * SECOND / 6;
      bool hot = cs_random_unit (&random) < 0.2;
      uint64_t key = hot ? 1 : 2 + cs_random_u64 (&random) % 1000;
      double share = cs_popularity_record (&popularity, key, now).share;
      if (hot && i > 18)
        {
          sum += share;
          samples++;
        }
    }
  EXPECT_NEAR (sum / samples, 0.2, 0.05);
}

TEST (Popularity, FadesWithTime)
{
  cs_popularity_t popularity = {};
  for (int i = 0; i < 10; i++)
    cs_popularity_record (&popularity, 1, i * SECOND / 10);
  for (int i = 0; i < 60; i++)
    cs_popularity_record (&popularity, 2 + i, SECOND + i * SECOND / 6);
  EXPECT_LT (cs_popularity_record (&popularity, 1, 11 * SECOND).share, 0.02);
}

}
