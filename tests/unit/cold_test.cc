// Requests for cold targets, shared by many routers without any message.

#include <algorithm>
#include <deque>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "common/hash.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/cold_limit.h"
#include "cranberrystile/outcomes.h"
#include "platform/headers.h"
#include "platform/store.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;
const cs_time_us_t MS = CS_US_PER_MS;

cs_cold_limit_t
cold (uint32_t permits, cs_time_us_t until)
{
  cs_cold_limit_t limit = {};
  limit.per_s = 18;
  limit.permits = permits;
  limit.until = until;
  return limit;
}

// Requests for one target from ROUTERS, each of which misses up to MISSING of
// the others in its list and has UNLISTED that don't exist any more.  Of the
// PER_S requests a second, a tenth of the routers get half.
struct Demand
{
  size_t routers;
  double per_s;
  size_t missing = 0;
  size_t unlisted = 0;
  cs_time_us_t jitter = 0; // from the decision to the arrival
};

struct Outcome
{
  size_t most_in_second = 0;
  double per_s = 0;
};

const uint32_t LIMIT = 18;

std::vector<cs_cold_limit_t>
share (const Demand &demand, cs_random_t *random)
{
  uint64_t incarnation = cs_random_u64 (random);
  std::vector<uint64_t> ids;
  for (size_t i = 0; i < demand.routers; i++)
    ids.push_back (cs_random_u64 (random));
  std::vector<cs_cold_limit_t> limits;
  for (size_t router = 0; router < demand.routers; router++)
    {
      std::vector<uint64_t> known = ids;
      known.erase (known.begin () + router);
      size_t missing = cs_random_u64 (random) % (demand.missing + 1);
      for (size_t i = 0; i < missing; i++)
        known.erase (known.begin () + cs_random_u64 (random) % known.size ());
      for (size_t i = 0; i < demand.unlisted; i++)
        known.push_back (cs_random_u64 (random));
      uint64_t own = cs_cold_score (ids[router], incarnation);
      size_t rank
          = std::count_if (known.begin (), known.end (), [&] (uint64_t id) {
              return cs_cold_score (id, incarnation) > own;
            });
      limits.push_back (cold (cs_cold_permits (LIMIT, rank, known.size () + 1),
                              1000 * SECOND));
    }
  return limits;
}

Outcome
run (const Demand &demand, uint64_t seed)
{
  cs_random_t random = { seed, 0 };
  auto limits = share (demand, &random);
  std::vector<cs_time_us_t> arrivals;
  cs_time_us_t start = 100 * SECOND;
  cs_time_us_t now = start;
  const cs_time_us_t length = 6 * SECOND;
  while (now < start + length)
    {
      now += 1
             + static_cast<cs_time_us_t> (
                 cs_random_exponential (&random, SECOND / demand.per_s));
      size_t busy = std::max<size_t> (1, demand.routers / 10);
      size_t router
          = cs_random_u64 (&random)
            % (cs_random_unit (&random) < 0.5 ? busy : demand.routers);
      if (!cs_cold_allows (&limits[router], now))
        continue;
      cs_cold_take (&limits[router], now);
      arrivals.push_back (
          now
          + static_cast<cs_time_us_t> (cs_random_unit (&random)
                                       * static_cast<double> (demand.jitter)));
    }
  std::sort (arrivals.begin (), arrivals.end ());
  Outcome out;
  for (size_t first = 0, last = 0; last < arrivals.size (); last++)
    {
      while (arrivals[first] + SECOND < arrivals[last])
        first++;
      out.most_in_second = std::max (out.most_in_second, last - first + 1);
    }
  out.per_s = static_cast<double> (arrivals.size ()) * SECOND / length;
  return out;
}

class ColdLimit : public testing::TestWithParam<Demand>
{
};

// Many routers, with a request each for an idle target that had just started,
// crashed it.  Their lists differ while routers are replaced, and requests
// wait for connections.
TEST_P (ColdLimit, IsKeptInEverySecond)
{
  for (uint64_t seed = 1; seed <= 200; seed++)
    EXPECT_LE (run (GetParam (), seed).most_in_second, LIMIT * 1.5 + 5)
        << seed;
}

INSTANTIATE_TEST_SUITE_P (
    Fleets, ColdLimit,
    testing::Values (Demand{ 1, 54 }, Demand{ 6, 54 }, Demand{ 6, 54, 1 },
                     Demand{ 18, 54, 2 }, Demand{ 82, 54, 6 },
                     Demand{ 82, 54, 6, 4 }, Demand{ 82, 2000, 6 },
                     Demand{ 82, 2000, 6, 0, 150 * MS }, Demand{ 300, 54, 20 },
                     Demand{ 300, 5000, 20 }));

// Without a difference between the lists, exactly the limit is dealt, and it
// is used where there are enough requests.
TEST (ColdLimit, IsDealtWholeAndUsed)
{
  cs_random_t random = { 7, 0 };
  for (size_t routers : { 1, 5, 18, 19, 82, 300 })
    {
      uint32_t sum = 0;
      for (auto &limit : share ({ routers, 1 }, &random))
        sum += limit.permits;
      EXPECT_EQ (sum, LIMIT) << routers;
    }
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      Outcome out = run ({ 82, 4000 }, seed);
      EXPECT_LE (out.most_in_second, LIMIT);
      EXPECT_GE (out.per_s, 0.8 * LIMIT);
    }
  EXPECT_GE (run ({ 6, 54 }, 1).per_s, 0.6 * LIMIT);
}

// A router that hadn't read the list of routers took itself for the only one.
TEST (ColdLimit, WithoutAListNothingIsSent)
{
  EXPECT_EQ (cs_cold_permits (LIMIT, 0, 0), 0U);
  cs_cold_limit_t limit = cold (0, 103 * SECOND);
  EXPECT_FALSE (cs_cold_allows (&limit, 100 * SECOND));
  EXPECT_EQ (cs_cold_allows_at (&limit, 100 * SECOND), 103 * SECOND);
  EXPECT_TRUE (cs_cold_allows (&limit, 103 * SECOND));
}

// Callers were told to come back before there was a permit, or long after.
TEST (ColdLimit, StatesTheTimeOfTheNextPermit)
{
  cs_cold_limit_t limit = cold (2, 200 * SECOND);
  cs_time_us_t now = 100 * SECOND + 7 * MS;
  cs_cold_take (&limit, now);
  cs_cold_take (&limit, now + 400 * MS);
  EXPECT_FALSE (cs_cold_allows (&limit, now + 400 * MS));
  cs_time_us_t at = cs_cold_allows_at (&limit, now + 400 * MS);
  EXPECT_GE (at, now + SECOND);
  EXPECT_LE (at, now + SECOND + SECOND / CS_COLD_PARTS);
  EXPECT_FALSE (cs_cold_allows (&limit, at - 1));
  EXPECT_TRUE (cs_cold_allows (&limit, at));
}

// Requests that were sent just before the target was known to be cold, or long
// ago, were counted wrongly.
TEST (ColdLimit, CountsTheSecondBeforeItAndNoMore)
{
  cs_cold_limit_t limit = cold (1, 0);
  cs_time_us_t now = 100 * SECOND;
  cs_cold_take (&limit, now);
  cs_cold_statement_t statement = { CS_COLD_ANSWER, 3 * SECOND };
  EXPECT_TRUE (cs_cold_record (&limit, &statement, now + 100 * MS));
  EXPECT_FALSE (cs_cold_allows (&limit, now + 200 * MS));
  EXPECT_TRUE (cs_cold_allows (&limit, now + 1100 * MS));
  cs_cold_take (&limit, now + 60 * SECOND);
  EXPECT_EQ (cs_cold_allows_at (&limit, now + 60 * SECOND), now + 60 * SECOND);
}

// Each renewal of a cold target's entry states a smaller remaining time, and
// each was passed on through the whole fleet; an old statement that came by a
// peer made a warm target cold again.
TEST (ColdLimit, IsNewsOnce)
{
  cs_cold_limit_t limit = cold (1, 0);
  cs_time_us_t now = 100 * SECOND;
  cs_cold_statement_t entry = { CS_COLD_ENTRY, 3 * SECOND };
  EXPECT_TRUE (cs_cold_record (&limit, &entry, now));
  entry.remaining_us = 1800 * MS;
  EXPECT_FALSE (cs_cold_record (&limit, &entry, now + 1300 * MS));
  EXPECT_EQ (limit.until, now + 3 * SECOND);
  cs_cold_statement_t peer = { CS_COLD_PEER, 200 * MS };
  EXPECT_FALSE (cs_cold_record (&limit, &peer, now + 3200 * MS));
  EXPECT_TRUE (cs_cold_allows (&limit, now + 3200 * MS));
  // The answer is what the target says now.
  cs_cold_statement_t answer = { CS_COLD_ANSWER, 0 };
  EXPECT_FALSE (cs_cold_record (&limit, &answer, now + 4 * SECOND));
  peer.remaining_us = 3 * SECOND;
  EXPECT_TRUE (cs_cold_record (&limit, &peer, now + 5 * SECOND));
}

// A target whose connections had failed came back cold, and got a flood before
// any router knew; or routers without a permit, which see no answer, left it
// idle for good.
TEST (ColdLimit, HoldsAfterFailures)
{
  cs_cold_limit_t limit = cold (1, 0);
  cs_time_us_t now = 100 * SECOND;
  cs_cold_failed (&limit, 3 * SECOND, now);
  cs_cold_take (&limit, now + 8 * SECOND);
  EXPECT_FALSE (cs_cold_allows (&limit, now + 8500 * MS));
  cs_cold_succeeded (&limit, 3 * SECOND, false, now + 9 * SECOND);
  EXPECT_EQ (limit.until, now + 12 * SECOND);
  EXPECT_EQ (cs_cold_stated_ms (&limit, now + 10 * SECOND), 0U);
  // Later answers don't extend it, and the entry that says otherwise ends it.
  cs_cold_succeeded (&limit, 3 * SECOND, false, now + 10 * SECOND);
  EXPECT_EQ (limit.until, now + 12 * SECOND);
  cs_cold_statement_t entry = { CS_COLD_ENTRY, 0 };
  cs_cold_record (&limit, &entry, now + 10 * SECOND);
  EXPECT_FALSE (cs_cold_is_in_force (&limit, now + 10 * SECOND));
  cs_cold_limit_t other = cold (0, 0);
  cs_cold_failed (&other, 3 * SECOND, now);
  // A report of what ended before the failure.
  cs_cold_succeeded (&other, 3 * SECOND, true, now + SECOND);
  EXPECT_FALSE (cs_cold_allows (&other, now + 19 * SECOND));
  EXPECT_TRUE (cs_cold_allows (&other, now + 20 * SECOND));
  cs_cold_succeeded (&other, 3 * SECOND, true, now + 2 * SECOND);
  EXPECT_TRUE (cs_cold_allows (&other, now + 5 * SECOND));
}

// 82 routers, one target that is away for AWAY and comes back cold for 3 s, of
// which nobody tells: no answer, no entry.  It gets 8 requests a second
// before, as each of its service, and three times the limit when it is back,
// as it looks idle.  Results reach the other routers 0.7 s late, in intervals
// of 0.3 s.
size_t
most_after_return (cs_time_us_t away, uint64_t seed)
{
  const cs_time_us_t start_us = 3 * SECOND;
  cs_random_t random = { seed, 0 };
  auto limits = share ({ 82, 1 }, &random);
  for (auto &limit : limits)
    limit.until = 0;
  std::deque<std::pair<cs_time_us_t, bool>> results;
  cs_outcomes_t outcomes = {};
  std::vector<cs_time_us_t> sent;
  cs_time_us_t now = 100 * SECOND;
  cs_time_us_t gone_at = now + 10 * SECOND;
  cs_time_us_t back_at = gone_at + away;
  cs_time_us_t next_report = now;
  size_t most = 0;
  for (size_t first = 0; now < back_at + start_us;)
    {
      double per_s = now < back_at ? 8 : 3 * LIMIT;
      now += 1
             + static_cast<cs_time_us_t> (
                 cs_random_exponential (&random, SECOND / per_s));
      if (now >= next_report)
        {
          double ended = 0;
          double failed = 0;
          next_report = now + 300 * MS;
          for (; !results.empty () && results[0].first + 700 * MS <= now;
               results.pop_front ())
            {
              ended++;
              failed += results[0].second;
            }
          cs_outcomes_add (&outcomes, ended, failed, now);
          for (auto &limit : limits)
            if (ended > failed)
              cs_cold_succeeded (&limit, start_us, true, now);
            else if (failed > 0 && cs_outcomes_is_away (&outcomes, now))
              cs_cold_failed (&limit, start_us, now);
        }
      auto &limit = limits[cs_random_u64 (&random) % limits.size ()];
      if (!cs_cold_allows (&limit, now))
        continue;
      cs_cold_take (&limit, now);
      bool fails = now >= gone_at && now < back_at;
      results.push_back ({ now, fails });
      if (fails)
        cs_cold_failed (&limit, start_us, now);
      else
        cs_cold_succeeded (&limit, start_us, false, now);
      if (now < back_at)
        continue;
      sent.push_back (now);
      while (sent[first] + SECOND < now)
        first++;
      most = std::max (most, sent.size () - first);
    }
  return most;
}

// A quarter of all engines came back together after an outage, looked idle,
// and crashed under the requests of routers that had not noticed.
TEST (ColdLimit, IsKeptWhenTargetsReturn)
{
  for (cs_time_us_t away : { 3, 10, 40 })
    for (uint64_t seed = 1; seed <= 100; seed++)
      EXPECT_LE (most_after_return (away * SECOND, seed), LIMIT * 1.5 + 5)
          << away << " s, seed " << seed;
}

// The last resort, in which ejected targets are used, ignored the limit; and
// callers waited where all targets are cold.
TEST (ColdLimit, HoldsInEveryChoice)
{
  cs_fleet_t *fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
  cs_choice_policy_t policy = cs_choice_policy_default ();
  cs_chooser_t *chooser = cs_chooser_create (&policy, 1);
  cs_time_us_t now = 100 * SECOND;
  cs_target_entry_t entry = {};
  bool added;
  entry.id = cs_str ("i-1");
  entry.service = cs_str ("engines");
  entry.data_centre = cs_str ("a");
  ASSERT_EQ (cs_fleet_put (fleet, &entry, now, &added), CS_OK);
  size_t count;
  cs_target_t *target = cs_fleet_targets (fleet, &count)[0];
  target->cold = cold (1, now + 10 * SECOND);
  target->eject.ejected_until = now + 10 * SECOND;
  cs_choice_request_t request = {};
  request.service = entry.service;
  request.data_centre = entry.data_centre;
  request.routers = 1;
  cs_choice_t choice;
  EXPECT_EQ (cs_chooser_choose (chooser, fleet, &request, now, &choice),
             CS_OK);
  EXPECT_FALSE (choice.avoided_cold);
  cs_cold_take (&target->cold, now);
  EXPECT_EQ (cs_chooser_choose (chooser, fleet, &request, now, &choice),
             CS_ERR_OVERLOADED);
  EXPECT_TRUE (choice.avoided_cold);
  EXPECT_GE (choice.available_at, now + SECOND);
  EXPECT_LE (choice.available_at, now + SECOND + SECOND / CS_COLD_PARTS);
  cs_chooser_destroy (chooser);
  cs_fleet_destroy (fleet);
}

// Milliseconds, perhaps with a fraction.  421 is of another target.
TEST (ColdTarget, StatesItInItsResponses)
{
  const struct
  {
    const char *text;
    int status;
    bool states_cold;
    cs_time_us_t cold_us;
  } cases[] = { { "1500", 200, true, 1500 * MS },
                { "1500", 503, true, 1500 * MS },
                { "0", 200, true, 0 },
                { "0.5", 200, true, 500 },
                { "1e12", 200, true, CS_COLD_MAX_US },
                { "1500", 421, false, 0 },
                { "-1", 200, false, 0 },
                { "soon", 200, false, 0 },
                { "", 200, false, 0 } };
  for (auto &one : cases)
    {
      cs_http_head_t head = {};
      cs_target_response_t response;
      cs_http_head_add (&head, cs_str ("x-cold-remaining"), cs_str (one.text));
      head.status = one.status;
      cs_headers_read_response (&head, &response);
      EXPECT_EQ (response.states_cold, one.states_cold) << one.text;
      EXPECT_EQ (one.states_cold ? response.cold_us : 0, one.cold_us)
          << one.text;
      cs_http_head_free (&head);
    }
}

// A limit below one request a second was read as none.
TEST (ColdTarget, LimitsAreReadFromTheConfiguration)
{
  const char text[]
      = "{\"version\":1,\"routes\":[],\"services\":["
        "{\"name\":\"a\",\"cold_start_s\":3.5,\"cold_per_s\":18},"
        "{\"name\":\"b\",\"engine\":{\"cold_start_s\":2,"
        "\"cold_per_s\":0.4}},{\"name\":\"c\",\"cold_per_s\":-1}]}";
  json_t *spec = json_loads (text, 0, nullptr);
  cs_routing_t *routing = nullptr;
  cs_buf_t reason = {};
  ASSERT_EQ (cs_store_read_routing (spec, &routing, &reason), CS_OK)
      << reason.data;
  EXPECT_EQ (routing->services[0].cold_start_s, 3.5);
  EXPECT_EQ (routing->services[0].cold_per_s, 18U);
  EXPECT_EQ (routing->services[1].cold_start_s, 2);
  EXPECT_EQ (routing->services[1].cold_per_s, 1U);
  EXPECT_EQ (routing->services[2].cold_per_s, 0U);
  cs_routing_release (routing);
  json_decref (spec);
}

// The data centre is taken back as its targets turn cold.  An entry that was
// written 50 ms before and is read 300 ms after it doesn't show that they are
// warm.  The first answers, which would, take half a second.
TEST (ColdLimit, EntryWrittenBeforeAnAssumptionDoesNotEndIt)
{
  const cs_time_us_t start = 100 * SECOND;
  size_t sent = 0;
  cs_cold_limit_t limit = {};
  limit.per_s = LIMIT;
  limit.permits = LIMIT;
  cs_cold_assume (&limit, start + 3 * SECOND, start);
  cs_cold_statement_t entry = { CS_COLD_ENTRY, 0 };
  cs_cold_record (&limit, &entry, start + 300 * MS);
  for (cs_time_us_t at = 300 * MS; at < 800 * MS; at += 10 * MS)
    if (cs_cold_allows (&limit, start + at))
      {
        cs_cold_take (&limit, start + at);
        sent++;
      }
  EXPECT_LE (sent, 32U);
}

// An assumption after a failed connection replaced what the target had said,
// so that the next success, or an older entry, ended its cold period.
TEST (ColdLimit, FailedConnectionDoesNotShortenAStatedPeriod)
{
  const cs_time_us_t now = 100 * SECOND;
  cs_cold_statement_t cold = { CS_COLD_ANSWER, 10 * SECOND };
  cs_cold_limit_t by_success = {};
  by_success.per_s = LIMIT;
  cs_cold_record (&by_success, &cold, now);
  cs_cold_limit_t by_entry = by_success;
  cs_cold_failed (&by_success, 3 * SECOND, now + SECOND);
  cs_cold_succeeded (&by_success, 3 * SECOND, false, now + SECOND + 200 * MS);
  EXPECT_TRUE (cs_cold_is_in_force (&by_success, now + 8 * SECOND));
  cs_cold_failed (&by_entry, 3 * SECOND, now + 100 * MS);
  cs_cold_statement_t entry = { CS_COLD_ENTRY, 0 };
  cs_cold_record (&by_entry, &entry, now + 300 * MS);
  EXPECT_TRUE (cs_cold_is_in_force (&by_entry, now + SECOND));
}

// It was cold, said that it no longer is, and has turned cold again before the
// end that peers were told of.  Those that heard that it was warm don't know.
TEST (ColdLimit, PeriodThatFollowsAnEarlyEndIsNews)
{
  cs_cold_limit_t limit = {};
  limit.per_s = LIMIT;
  cs_time_us_t now = 100 * SECOND;
  cs_cold_statement_t cold = { CS_COLD_ANSWER, 10 * SECOND };
  cs_cold_statement_t warm = { CS_COLD_ANSWER, 0 };
  cs_cold_statement_t again = { CS_COLD_ANSWER, 3 * SECOND };
  EXPECT_TRUE (cs_cold_record (&limit, &cold, now));
  EXPECT_FALSE (cs_cold_record (&limit, &warm, now + SECOND));
  EXPECT_TRUE (cs_cold_record (&limit, &again, now + 2 * SECOND));
}

// Two routers whose messages are 600 ms late, as over a busy link: what one
// says seems longer to the other, which tells it back.  The target was kept
// cold for as long as they went on; lists of targets don't count the hops.
TEST (ColdLimit, LateMessagesDontProlongThePeriodWithoutEnd)
{
  const cs_time_us_t start = 100 * SECOND;
  cs_cold_limit_t routers[2] = {};
  routers[0].per_s = routers[1].per_s = LIMIT;
  cs_cold_statement_t said = { CS_COLD_ANSWER, 3 * SECOND };
  cs_time_us_t now = start;
  bool is_news = cs_cold_record (&routers[0], &said, now);
  for (int i = 1; is_news && i <= 100; i++)
    {
      said = { CS_COLD_PEER,
               cs_cold_stated_ms (&routers[(i - 1) % 2], now) * MS };
      now += 600 * MS;
      is_news = cs_cold_record (&routers[i % 2], &said, now);
    }
  EXPECT_LE (routers[0].until, start + 5 * SECOND);
  EXPECT_LE (routers[1].until, start + 5 * SECOND);
}

// Lists of targets don't count hops: a period that came in one, and was passed
// on, could go round for good.  Notices still pass where a list came first,
// and those of a period that the target has prolonged.
TEST (ColdLimit, PeriodOfAListIsNotPassedOn)
{
  const cs_time_us_t now = 100 * SECOND;
  cs_cold_limit_t limit = cold (1, 0);
  cs_cold_statement_t list = { CS_COLD_LIST, 3 * SECOND };
  cs_cold_statement_t notice = { CS_COLD_PEER, 3 * SECOND };
  EXPECT_FALSE (cs_cold_record (&limit, &list, now));
  EXPECT_TRUE (cs_cold_is_in_force (&limit, now + 2 * SECOND));
  EXPECT_EQ (cs_cold_stated_ms (&limit, now), 0U);
  EXPECT_TRUE (cs_cold_record (&limit, &notice, now));
  EXPECT_EQ (cs_cold_stated_ms (&limit, now), 3000U);
  EXPECT_FALSE (cs_cold_record (&limit, &list, now + 2 * SECOND));
  EXPECT_EQ (limit.until, now + 3 * SECOND);
  EXPECT_TRUE (cs_cold_record (&limit, &notice, now + 2 * SECOND));
  EXPECT_EQ (limit.until, now + 5 * SECOND);
}

// A hub that had heard of a short prolongation by a peer, and had not passed
// it on, took the entry that confirms it for known: its members never heard of
// it.
TEST (ColdLimit, EntryPassesOnWhatAPeerProlonged)
{
  const cs_time_us_t now = 100 * SECOND;
  cs_cold_limit_t limit = cold (1, 0);
  cs_cold_statement_t peer = { CS_COLD_PEER, 3 * SECOND };
  cs_cold_statement_t entry = { CS_COLD_ENTRY, 2 * SECOND };
  EXPECT_TRUE (cs_cold_record (&limit, &peer, now));
  EXPECT_FALSE (cs_cold_record (&limit, &peer, now + SECOND));
  EXPECT_EQ (limit.until, now + 4 * SECOND);
  EXPECT_TRUE (cs_cold_record (&limit, &entry, now + 2 * SECOND));
  EXPECT_FALSE (cs_cold_record (&limit, &entry, now + 2 * SECOND));
}

// A target that was removed and listed again at once had an empty count of
// requests, and the end of its stated period was lost.
TEST (ColdTarget, KeepsItsStateWhenItIsListedAgain)
{
  cs_fleet_t *fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
  cs_time_us_t now = 100 * SECOND;
  cs_target_entry_t entry = {};
  bool added;
  size_t count;
  entry.id = cs_str ("i-1");
  entry.started_ms = 1;
  ASSERT_EQ (cs_fleet_put (fleet, &entry, now, &added), CS_OK);
  cs_cold_limit_t *limit = &cs_fleet_targets (fleet, &count)[0]->cold;
  *limit = cold (1, 0);
  cs_cold_statement_t statement = { CS_COLD_ANSWER, 3 * SECOND };
  cs_cold_record (limit, &statement, now);
  cs_cold_take (limit, now);
  for (uint64_t start : { 1, 2 })
    {
      entry.started_ms = start;
      EXPECT_TRUE (cs_fleet_remove (fleet, entry.id, 0, now));
      ASSERT_EQ (cs_fleet_put (fleet, &entry, now, &added), CS_OK);
      limit = &cs_fleet_targets (fleet, &count)[0]->cold;
      EXPECT_EQ (cs_cold_stated_ms (limit, now), start == 1 ? 3000U : 0U);
      EXPECT_EQ (cs_cold_allows (limit, now), start == 2);
    }
  cs_fleet_destroy (fleet);
}

}
