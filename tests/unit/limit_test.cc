// Limits that targets name, kept by many routers whose views lag.

#include <deque>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "common/hash.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/limit_weights.h"
#include "cranberrystile/load_table.h"
#include "cranberrystile/named_limit.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;
const cs_time_us_t MS = CS_US_PER_MS;

cs_limit_statement_t
limited (double per_s, cs_time_us_t at, uint32_t hops = 0)
{
  return { true, per_s, at, hops };
}

cs_limit_statement_t
unlimited (cs_time_us_t at, uint32_t hops = 0)
{
  return { false, 0, at, hops };
}

// Requests for one target at PER_S a second, FACTOR times as many from second
// 20 to 30.  SKEW of them come to a tenth of the routers.  Reports arrive LAG
// late, so that views are 0.7 s old on average.
struct Demand
{
  int routers;
  double limit;
  double per_s;
  double factor = 1;
  double skew = 0.1;
  cs_time_us_t lag = 550 * CS_US_PER_MS;
  bool reports = true;
};

struct Outcome
{
  int most_in_window = 0; // of 4 s, from second 3 on
  double per_s = 0;       // in seconds 5 to 20
};

Outcome
run (const Demand &demand, uint64_t seed)
{
  std::vector<cs_named_limit_t> limits (demand.routers);
  std::deque<std::pair<cs_time_us_t, std::vector<uint32_t>>> history;
  std::vector<cs_time_us_t> sent;
  cs_random_t random = { seed, 0 };
  cs_time_us_t now = 100 * SECOND;
  cs_time_us_t start = now;
  cs_time_us_t next_report = now;
  cs_time_us_t next_confirmation = now;
  Outcome out;
  size_t first = 0;
  while (now < start + 40 * SECOND)
    {
      bool burst = now >= start + 20 * SECOND && now < start + 30 * SECOND;
      double rate = demand.per_s * (burst ? demand.factor : 1);
      now += static_cast<cs_time_us_t> (
          cs_random_exponential (&random, SECOND / rate));
      if (now >= next_confirmation)
        {
          next_confirmation = now + 3 * SECOND;
          cs_limit_statement_t statement = limited (demand.limit, now);
          for (auto &limit : limits)
            cs_named_limit_record (&limit, &statement,
                                   cs_random_unit (&random), now);
        }
      if (demand.reports && now >= next_report)
        {
          next_report = now + 300 * MS;
          std::vector<uint32_t> counts;
          for (auto &limit : limits)
            counts.push_back (limit.sent);
          history.push_back ({ now, counts });
          while (history.size () > 1 && history[1].first + demand.lag <= now)
            history.pop_front ();
          uint32_t total = 0;
          for (uint32_t count : history[0].second)
            total += count;
          for (int i = 0; i < demand.routers; i++)
            cs_named_limit_set_peers_sent (
                &limits[i], total - history[0].second[i], demand.routers, now);
        }
      int busy = demand.routers < 10 ? 1 : demand.routers / 10;
      int router = cs_random_unit (&random) < demand.skew
                       ? cs_random_u64 (&random) % busy
                       : cs_random_u64 (&random) % demand.routers;
      if (!cs_named_limit_allows (&limits[router], demand.routers, now))
        continue;
      cs_named_limit_take (&limits[router], demand.routers, now);
      // Routers have a few seconds to learn of a limit.
      if (now < start + 3 * SECOND)
        continue;
      sent.push_back (now);
      while (sent[first] + 4 * SECOND < now)
        first++;
      out.most_in_window
          = std::max<int> (out.most_in_window, sent.size () - first);
      if (now >= start + 5 * SECOND && now < start + 20 * SECOND)
        out.per_s += 1.0 / 15;
    }
  return out;
}

int
allowed (double limit)
{
  return static_cast<int> (1.5 * 4 * limit + 5);
}

// Small and large fleets, with limits below what a target usually gets.
class NamedLimits : public testing::TestWithParam<Demand>
{
};

// All routers together sent a target several times what it had named, or next
// to nothing of it.
TEST_P (NamedLimits, AreKeptAndUsed)
{
  const int runs = 20;
  double per_s = 0;
  for (uint64_t seed = 1; seed <= runs; seed++)
    {
      Outcome out = run (GetParam (), seed);
      EXPECT_LE (out.most_in_window, allowed (GetParam ().limit)) << seed;
      per_s += out.per_s / runs;
    }
  EXPECT_GE (per_s, 0.4 * std::min (GetParam ().limit, GetParam ().per_s));
}

INSTANTIATE_TEST_SUITE_P (
    Fleets, NamedLimits,
    testing::Values (Demand{ 1, 5, 11, 7 }, Demand{ 6, 5, 11 },
                     Demand{ 6, 5, 11, 7, 0.5 }, Demand{ 6, 1, 11, 7 },
                     Demand{ 70, 5, 11 }, Demand{ 70, 5, 11, 3, 0.3 },
                     Demand{ 70, 1, 11, 1 }, Demand{ 300, 5, 11 },
                     Demand{ 300, 5, 11, 3 }, Demand{ 300, 20, 40, 3 },
                     Demand{ 350, 0.4, 0.77, 3 }));

// Routers that are cut off from all others sent as much as all together.
TEST (NamedLimit, WithoutReportsAnEqualPartAndAHalfIsSent)
{
  Demand demand = { 6, 5, 30 };
  demand.reports = false;
  EXPECT_LE (run (demand, 1).per_s, 1.5 * demand.limit + 0.2);
}

// A limit that was no longer named stayed, or one that still was did not.
TEST (NamedLimit, EndsWithTheFirstAnswerThatNamesNone)
{
  cs_named_limit_t limit = {};
  cs_time_us_t now = 100 * SECOND;
  cs_limit_statement_t statement = limited (0, now);
  EXPECT_EQ (cs_named_limit_record (&limit, &statement, 0.5, now),
             CS_LIMIT_CHANGED);
  EXPECT_FALSE (cs_named_limit_allows (&limit, 1, now));
  statement = unlimited (now + MS);
  EXPECT_EQ (cs_named_limit_record (&limit, &statement, 0.5, now + MS),
             CS_LIMIT_CHANGED);
  EXPECT_TRUE (cs_named_limit_allows (&limit, 1, now + MS));
}

// A target that names 0 gets no requests in whose answers it could name none.
TEST (NamedLimit, LapsesWithoutAStatement)
{
  cs_named_limit_t limit = {};
  cs_time_us_t now = 100 * SECOND;
  cs_limit_statement_t statement = limited (0, now);
  cs_named_limit_record (&limit, &statement, 0.5, now);
  EXPECT_EQ (cs_named_limit_allows_at (&limit, 6, now), now + 10 * SECOND);
  EXPECT_FALSE (cs_named_limit_lapse (&limit, now + 9 * SECOND));
  EXPECT_FALSE (cs_named_limit_allows (&limit, 6, now + 9 * SECOND));
  EXPECT_TRUE (cs_named_limit_allows (&limit, 6, now + 10 * SECOND));
  EXPECT_TRUE (cs_named_limit_lapse (&limit, now + 10 * SECOND));
  EXPECT_FALSE (cs_named_limit_lapse (&limit, now + 10 * SECOND));
}

// Two routers told each other of a limit and of its end for ever.
TEST (NamedLimit, StatementsOfPeersDoNotCirculate)
{
  cs_named_limit_t a = {};
  cs_named_limit_t b = {};
  cs_time_us_t now = 100 * SECOND;
  cs_limit_statement_t first = limited (5, now);
  cs_named_limit_record (&a, &first, 0, now);
  cs_limit_statement_t second = limited (1, now + 10 * MS);
  cs_named_limit_record (&b, &second, 0, now + 10 * MS);
  int believed = 0;
  for (int i = 1; i < 50; i++)
    {
      // Each is dated by its arrival, 40 ms late.
      cs_limit_statement_t from_b
          = limited (b.per_s, b.stated_at + 40 * MS, 1);
      cs_limit_statement_t from_a
          = limited (a.per_s, a.stated_at + 40 * MS, 1);
      now += 40 * MS;
      believed
          += cs_named_limit_record (&a, &from_b, 0, now) != CS_LIMIT_KNOWN;
      believed
          += cs_named_limit_record (&b, &from_a, 0, now) != CS_LIMIT_KNOWN;
    }
  EXPECT_LE (believed, 2);
}

// A late report of a limit brought it back after its end, or a report of its
// end was not believed.
TEST (NamedLimit, TheLaterStatementOfAPeerCounts)
{
  cs_named_limit_t limit = {};
  cs_time_us_t now = 100 * SECOND;
  cs_limit_statement_t statement = limited (5, now, 1);
  EXPECT_EQ (cs_named_limit_record (&limit, &statement, 0, now),
             CS_LIMIT_CHANGED);
  statement = unlimited (now + SECOND, 2);
  EXPECT_EQ (cs_named_limit_record (&limit, &statement, 0, now + SECOND),
             CS_LIMIT_CHANGED);
  statement = limited (5, now + SECOND / 2, 1);
  EXPECT_EQ (cs_named_limit_record (&limit, &statement, 0, now + 2 * SECOND),
             CS_LIMIT_KNOWN);
  EXPECT_TRUE (cs_named_limit_allows (&limit, 1, now + 2 * SECOND));
}

// Peers let a limit lapse that this router still got in each answer.
TEST (NamedLimit, IsAnnouncedAgainWhileItIsNamed)
{
  cs_named_limit_t limit = {};
  cs_time_us_t now = 100 * SECOND;
  int announced = 0;
  for (int i = 0; i < 120; i++)
    {
      cs_limit_statement_t statement = limited (5 + i % 2 * 0.1, now);
      announced += cs_named_limit_record (&limit, &statement, 0, now)
                   != CS_LIMIT_KNOWN;
      now += 100 * MS;
    }
  EXPECT_GE (announced, 4);
  EXPECT_LE (announced, 5);
}

// Peers that had missed the end went on as if the limit were in force.
TEST (NamedLimit, ItsEndIsRepeated)
{
  cs_named_limit_t limit = {};
  cs_time_us_t now = 100 * SECOND;
  cs_limit_statement_t statement = limited (5, now);
  cs_named_limit_record (&limit, &statement, 0, now);
  int announced = 0;
  for (int i = 0; i < 300; i++)
    {
      now += 100 * MS;
      statement = unlimited (now);
      announced += cs_named_limit_record (&limit, &statement, 0, now)
                   != CS_LIMIT_KNOWN;
    }
  EXPECT_GE (announced, 4);
  EXPECT_LE (announced, 5);
}

// Twelve targets that end 128 calls a second.  The first eight name 4.2.
class LimitedPlacement : public testing::Test
{
protected:
  LimitedPlacement ()
  {
    cs_choice_policy_t policy = cs_choice_policy_default ();
    chooser = cs_chooser_create (&policy, 1);
    fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    for (int i = 0; i < 12; i++)
      {
        bool added;
        std::string id = "t" + std::to_string (i);
        cs_target_entry_t entry = {};
        entry.id = cs_str (id.c_str ());
        entry.service = cs_str ("engines");
        entry.data_centre = cs_str ("a");
        entry.slots = 64;
        cs_fleet_put (fleet, &entry, now, &added);
        cs_limit_statement_t statement = limited (4.2, now);
        if (i < 8)
          cs_named_limit_record (&target (i)->named_limit, &statement, 1, now);
      }
    // Each takes another request now.
    now += SECOND;
    // A rate of 128 / 12 calls a second, with the half-life of a second.
    for (int i = 0; i < 12; i++)
      cs_outcomes_add (&target (i)->outcomes, 128 / 12.0 / 0.693, 0, now);
  }

  ~LimitedPlacement () override
  {
    cs_chooser_destroy (chooser);
    cs_fleet_destroy (fleet);
  }

  cs_target_t *
  target (int index)
  {
    size_t count;
    return cs_fleet_targets (fleet, &count)[index];
  }

  // Returns how many of 1,000 calls, which all have a different context or
  // none, are placed at limited targets.  Loads are as the rates allow.
  int
  count_at_limited (bool with_context)
  {
    int count = 0;
    for (int i = 0; i < 12; i++)
      target (i)->in_flight = i < 8 ? 1 : 6;
    for (int i = 0; i < 1000; i++)
      {
        cs_prompt_context_t context
            = { { cs_hash_pair (7, i) }, { 1000 }, 1, 100 };
        cs_choice_request_t request = {};
        request.service = cs_str ("engines");
        request.data_centre = cs_str ("a");
        request.context = with_context ? &context : nullptr;
        request.routers = 1;
        cs_choice_t choice;
        EXPECT_EQ (cs_chooser_choose (chooser, fleet, &request, now, &choice),
                   CS_OK);
        count += choice.target->named_limit.is_limited;
      }
    return count;
  }

  cs_time_us_t now = 100 * SECOND;
  cs_fleet_t *fleet;
  cs_chooser_t *chooser;
};

// Of 128 calls a second the limited targets are to get 8 * 4.2, 262 of 1,000.
// Their homes had most of the calls, as they looked idle beside the others:
// the limit then sent them elsewhere, and contexts were read at one target
// after another.
TEST_F (LimitedPlacement, ContextsGoWhereTheirTargetTakesThem)
{
  cs_limit_weights_update (fleet, now);
  EXPECT_NEAR (target (0)->weight, 4.2 / ((128 - 8 * 4.2) / 4), 0.01);
  EXPECT_EQ (target (8)->weight, 1);
  EXPECT_LE (count_at_limited (true), 340);
  // Without a context two targets are drawn; a limited one wins if its load is
  // lower in proportion to its weight: at most half of the pairs have one.
  EXPECT_LE (count_at_limited (false), 550);
  EXPECT_GE (count_at_limited (true), 180);
}

// Targets whose limits had ended went on getting fewer calls.
TEST_F (LimitedPlacement, WeightsEndWithTheLimits)
{
  cs_limit_weights_update (fleet, now);
  cs_limit_statement_t statement = unlimited (now);
  for (int i = 0; i < 8; i++)
    cs_named_limit_record (&target (i)->named_limit, &statement, 1, now);
  cs_limit_weights_update (fleet, now);
  for (int i = 0; i < 12; i++)
    EXPECT_EQ (target (i)->weight, 1);
}

// Where all targets name a limit and there are more calls, they are placed in
// proportion to the limits.
TEST_F (LimitedPlacement, AllLimited)
{
  for (int i = 0; i < 12; i++)
    {
      cs_limit_statement_t statement = limited (i < 6 ? 2 : 4, now);
      cs_named_limit_record (&target (i)->named_limit, &statement, 1, now);
    }
  cs_limit_weights_update (fleet, now);
  EXPECT_GT (target (0)->weight, 0);
  EXPECT_NEAR (target (0)->weight * 2, target (11)->weight, 0.02);
}

// Targets of several services come in any order: each service is worked out by
// itself, once.
TEST (LimitWeights, ServicesDoNotMix)
{
  cs_time_us_t now = 100 * SECOND;
  cs_fleet_t *fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
  size_t count;
  for (int i = 0; i < 3000; i++)
    {
      bool added;
      std::string id = "t" + std::to_string (i);
      std::string service = "s" + std::to_string (i % 3);
      cs_target_entry_t entry = {};
      entry.id = cs_str (id.c_str ());
      entry.service = cs_str (service.c_str ());
      cs_fleet_put (fleet, &entry, now, &added);
      cs_target_t *target = cs_fleet_targets (fleet, &count)[i];
      cs_limit_statement_t statement = limited (i % 3 + 1, now);
      if (i % 2 == 0)
        cs_named_limit_record (&target->named_limit, &statement, 1, now);
      cs_outcomes_add (&target->outcomes, 10 / 0.693, 0, now);
    }
  cs_limit_weights_update (fleet, now);
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (int i = 0; i < 3000; i++)
    {
      // Half of the targets take the limit, the others 20 less that.
      double limit = i % 3 + 1;
      double expected = i % 2 == 0 ? limit / (20 - limit) : 1;
      EXPECT_NEAR (targets[i]->weight, expected, 0.02) << i;
    }
  cs_fleet_destroy (fleet);
}

// Loads of targets with limits were left out of reports as too small.
TEST (LoadTable, RequestsToALimitedTargetAreReported)
{
  cs_load_t reported = { 1, 40, 1000, 3, 7 };
  cs_load_t load = reported;
  EXPECT_FALSE (cs_load_should_report (&load, &reported, 24));
  load.sent++;
  EXPECT_TRUE (cs_load_should_report (&load, &reported, 24));
}

}
