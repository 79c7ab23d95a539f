// The model of the inference engines, and the load balancing strategies that
// are compared on it.

#include <algorithm>
#include <map>
#include <tuple>

#include <gtest/gtest.h>

extern "C"
{
#include "prefix_cache.h"
#include "trial.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;
const cs_time_us_t MS = CS_US_PER_MS;

// Returns a request whose prompt has the shared part NUMBER, of 1000 tokens,
// and 100 tokens of its own.
engine_request_t
request (uint32_t id, uint64_t number, uint32_t output = 10)
{
  engine_request_t out = {};
  out.id = id;
  out.context.count = 1;
  out.context.chain[0] = number;
  out.context.tokens[0] = 1000;
  out.context.own_tokens = 100;
  out.output = output;
  return out;
}

class Engine : public testing::Test
{
protected:
  // Two slots; 1 ms per step; prompts are read at 100 tokens per ms, in chunks
  // of 500 per step.
  engine_setup_t setup = { 2, 2, 4000, 1000, 0, 100, 500, 200 };
  engine_t *engine = nullptr;
  cs_time_us_t now = SECOND;
  std::map<uint32_t, cs_time_us_t> first;
  std::map<uint32_t, cs_time_us_t> done;
  std::map<uint32_t, uint32_t> tokens;

  void
  SetUp () override
  {
    engine = create ();
  }

  void
  TearDown () override
  {
    engine_destroy (engine);
  }

  engine_t *
  create ()
  {
    return engine_create (&setup, on_event, this);
  }

  static void
  on_event (void *context, uint32_t id, engine_event_t event, cs_time_us_t at)
  {
    auto *self = static_cast<Engine *> (context);
    if (event == ENGINE_DONE)
      self->done[id] = at;
    else if (self->tokens[id]++ == 0)
      self->first[id] = at;
  }

  void
  run (engine_t *which, cs_time_us_t until = 100 * SECOND)
  {
    cs_time_us_t next;
    while ((next = engine_advance (which, now)) != 0 && next <= until)
      now = next;
  }

  bool
  submit (const engine_request_t &submitted, const engine_t *source = nullptr)
  {
    return engine_submit (engine, &submitted, source, now);
  }
};

TEST_F (Engine, ReadsThePromptInChunksBeforeTheFirstToken)
{
  cs_prompt_context_t context = request (1, 7).context;
  cs_time_us_t predicted = engine_predict_first_token_us (engine, &context);
  ASSERT_TRUE (submit (request (1, 7)));
  run (engine);
  // 500, 500 and 100 tokens in 5, 5 and 1 ms, and a step of 1 ms each.
  EXPECT_EQ (first[1], SECOND + 15 * MS);
  EXPECT_EQ (done[1], SECOND + 24 * MS);
  EXPECT_EQ (tokens[1], 10U);
  EXPECT_NEAR (predicted, 15 * MS, 1 * MS);
}

TEST_F (Engine, CachesSharedPartsForLaterRequests)
{
  submit (request (1, 7));
  run (engine);
  cs_time_us_t from = now;
  submit (request (2, 7));
  run (engine);
  EXPECT_EQ (first[2], from + 3 * MS) << "only its own 100 tokens are read";
  EXPECT_EQ (engine_counts (engine)->prefilled_shared, 1000U);
}

TEST_F (Engine, ConcurrentRequestsEachReadAnUncachedPart)
{
  submit (request (1, 7));
  submit (request (2, 7));
  run (engine);
  EXPECT_EQ (engine_counts (engine)->prefilled_shared, 2000U);
}

TEST_F (Engine, CopiesPartsCachedByAnotherEngine)
{
  engine_t *other = create ();
  engine_request_t earlier = request (1, 7);
  engine_submit (other, &earlier, nullptr, now);
  run (other);
  cs_time_us_t from = now;
  submit (request (2, 7), other);
  run (engine);
  EXPECT_EQ (first[2], from + 5 * MS + 3 * MS);
  EXPECT_EQ (engine_counts (engine)->copied, 1000U);
  EXPECT_EQ (engine_counts (engine)->prefilled_shared, 0U);
  engine_destroy (other);
}

TEST_F (Engine, RejectsRequestsOverItsQueueLimit)
{
  EXPECT_TRUE (submit (request (1, 1, 1000)));
  EXPECT_TRUE (submit (request (2, 2, 1000)));
  run (engine, now + 50 * MS);
  EXPECT_TRUE (submit (request (3, 3)));
  EXPECT_TRUE (submit (request (4, 4)));
  EXPECT_FALSE (submit (request (5, 5)));
  EXPECT_EQ (engine_running (engine), 2U);
  EXPECT_EQ (engine_waiting (engine), 2U);
  run (engine);
  EXPECT_EQ (done.size (), 4U);
}

TEST_F (Engine, RejectsRequestsOverItsMemory)
{
  EXPECT_FALSE (submit (request (1, 1, 3000)));
}

TEST_F (Engine, PreemptsTheNewestRequestWhenOutOfMemory)
{
  // Each grows to 1100 + 1500 tokens; both together need 5200 of 4000.
  submit (request (1, 1, 1500));
  submit (request (2, 2, 1500));
  run (engine);
  EXPECT_GE (engine_counts (engine)->preemptions, 1U);
  EXPECT_LT (done[1], done[2]);
  EXPECT_EQ (tokens[2], 1500U) << "it resumes where it was preempted";
}

TEST_F (Engine, ServesUrgentRequestsFirstAndPreemptsOthers)
{
  engine_request_t low = request (1, 1, 1000);
  low.priority = 2;
  submit (low);
  submit (request (2, 2, 1000));
  run (engine, now + 50 * MS);
  engine_request_t medium = request (3, 3);
  medium.priority = 1;
  submit (medium);
  submit (request (4, 4));
  run (engine, now + 100 * MS);
  EXPECT_EQ (done.count (4), 1U) << "it preempts the least urgent request";
  EXPECT_GE (engine_counts (engine)->preemptions, 1U);
  run (engine);
  EXPECT_LT (done[4], done[3]);
  EXPECT_LT (done[3], done[1]);
  EXPECT_EQ (tokens[1], 1000U);
}

TEST_F (Engine, CancelledRequestFreesItsSlot)
{
  submit (request (1, 1, 1000));
  submit (request (2, 2, 1000));
  engine_advance (engine, now);
  submit (request (3, 3));
  engine_cancel (engine, 1);
  run (engine, now + 100 * MS);
  EXPECT_EQ (done.count (3), 1U);
  EXPECT_EQ (done.count (1), 0U);
}

TEST (PrefixCache, LeastRecentlyUsedAreEvictedFirstButNotThoseInUse)
{
  prefix_cache_t cache = {};
  for (uint64_t number : { 1, 2, 3 })
    {
      cs_prompt_context_t context = request (0, number).context;
      prefix_cache_acquire (&cache, &context);
      prefix_cache_mark_ready (&cache, &context);
      if (number != 1)
        prefix_cache_release (&cache, &context);
    }
  EXPECT_TRUE (prefix_cache_evict (&cache, 2000));
  cs_prompt_context_t first = request (0, 1).context;
  cs_prompt_context_t second = request (0, 2).context;
  EXPECT_EQ (prefix_cache_ready_tokens (&cache, &first), 1000U);
  EXPECT_EQ (prefix_cache_ready_tokens (&cache, &second), 0U);
  EXPECT_FALSE (prefix_cache_evict (&cache, 0));
  EXPECT_EQ (prefix_cache_ready_tokens (&cache, &first), 1000U);
  prefix_cache_free (&cache);
}

trial_result_t
run_desk_trial (pattern_t pattern, strategy_t strategy, double scale,
                uint64_t seed = 1)
{
  trial_setup_t setup = {};
  trial_result_t result;
  setup.installation = installation_find ("desk");
  setup.pattern = pattern;
  setup.strategy = strategy;
  setup.policy = cs_choice_policy_default ();
  setup.scale = scale;
  setup.has_priorities = true;
  setup.seed = seed;
  EXPECT_EQ (trial_run (&setup, &result), 0);
  return result;
}

TEST (Trial, SameSeedGivesSameResult)
{
  trial_result_t a = run_desk_trial (PATTERN_HALF_LOST, STRATEGY_ROUTER, 1);
  trial_result_t b = run_desk_trial (PATTERN_HALF_LOST, STRATEGY_ROUTER, 1);
  EXPECT_EQ (a.requests, b.requests);
  EXPECT_EQ (a.served, b.served);
  EXPECT_EQ (a.first_event_p95_ms, b.first_event_p95_ms);
  EXPECT_EQ (a.shared_prefill_ratio, b.shared_prefill_ratio);
  EXPECT_NE (
      a.requests,
      run_desk_trial (PATTERN_HALF_LOST, STRATEGY_ROUTER, 1, 2).requests);
}

TEST (Trial, EveryRequestOfTheCalmPatternIsServed)
{
  for (int strategy = 0; strategy < STRATEGY_COUNT; strategy++)
    {
      trial_result_t result
          = run_desk_trial (PATTERN_CALM, (strategy_t)strategy, 1);
      // 175.7 requests per second for 50 s.
      EXPECT_NEAR (result.requests, 8785, 400)
          << strategy_name ((strategy_t)strategy);
      EXPECT_EQ (result.refused + result.failed + result.abandoned, 0U);
      EXPECT_GE (result.shared_prefill_ratio, 1);
      EXPECT_GE (result.load_skew_p50, 1);
    }
}

TEST (Trial, CrashedEnginesFailTheirRunningRequests)
{
  trial_result_t result
      = run_desk_trial (PATTERN_HALF_LOST, STRATEGY_ROUTER, 1);
  EXPECT_GT (result.failed, 0U);
  EXPECT_GT (result.retries, 0U);
  EXPECT_LT (result.min_second_on_time, 0.9);
}

TEST (Trial, RejectedCallersRetryInThePressingPattern)
{
  trial_result_t result
      = run_desk_trial (PATTERN_PRESSING, STRATEGY_LEAST_LOADED, 6);
  EXPECT_GT (result.refused, 0U);
  EXPECT_GT (result.retries, result.refused);
}

TEST (Load, PatternsChangeTheRateWhileTheyAreActive)
{
  const installation_t *desk = installation_find ("desk");
  for (int pattern = 0; pattern < PATTERN_COUNT; pattern++)
    {
      load_t load = { desk, (pattern_t)pattern, 1, true, { 1, 0 } };
      double before = 0;
      double during = 0;
      for (int i = 0; i < 2000; i++)
        {
          before += load_next_arrival_us (&load, 1, 0);
          during += load_next_arrival_us (&load, 1, PATTERN_START_US);
        }
      double factor = before / during;
      double expected = pattern == PATTERN_BURST              ? 5
                        : pattern == PATTERN_HOT_ORGANISATION ? 1.9
                        : pattern == PATTERN_PRESSING         ? 1.5
                                                              : 1;
      EXPECT_NEAR (factor, expected, 0.1 * expected)
          << pattern_name ((pattern_t)pattern);
    }
}

TEST (Load, HotContextHasHalfOfTheLongestPrompts)
{
  load_t load
      = { installation_find ("desk"), PATTERN_HOT_CONTEXT, 1, true, { 1, 0 } };
  std::map<uint64_t, int> contexts;
  engine_request_t drawn;
  for (int i = 0; i < 2000; i++)
    {
      load_draw_request (&load, 0, PATTERN_START_US, &drawn);
      contexts[cs_prompt_context_key (&drawn.context)]++;
    }
  int most = 0;
  for (auto &entry : contexts)
    most = std::max (most, entry.second);
  EXPECT_GT (most, 1000);
}

// The router must serve at least 0.9 times as many requests on time as the
// clairvoyant strategy, which sees the true state of all engines.
class Patterns : public testing::TestWithParam<std::tuple<int, int>>
{
};

TEST_P (Patterns, AreServedNearlyAsWellAsByClairvoyant)
{
  auto pattern = (pattern_t)std::get<0> (GetParam ());
  double scale = std::get<1> (GetParam ());
  trial_result_t router = run_desk_trial (pattern, STRATEGY_ROUTER, scale);
  trial_result_t clairvoyant
      = run_desk_trial (pattern, STRATEGY_CLAIRVOYANT, scale);
  EXPECT_GE (router.on_time, 0.9 * clairvoyant.on_time);
  /* The users consider a kind of request starved when its rate of service is
     less than a quarter of the overall rate.  */
  EXPECT_GE (router.min_kind_served, 0.25);
}

INSTANTIATE_TEST_SUITE_P (
    Load, Patterns,
    testing::Combine (testing::Range (0, (int)PATTERN_COUNT),
                      testing::Values (1, 2, 3, 4)),
    [] (const auto &info) {
      std::string name = pattern_name ((pattern_t)std::get<0> (info.param));
      std::replace (name.begin (), name.end (), '-', '_');
      return name + "_x" + std::to_string (std::get<1> (info.param));
    });

// The home engines of a hot organisation must not queue requests while other
// engines are free.
TEST (Homes, HotOrganisationAtTwiceTheLoadIsServed)
{
  trial_result_t router
      = run_desk_trial (PATTERN_HOT_ORGANISATION, STRATEGY_ROUTER, 2);
  trial_result_t two_choices
      = run_desk_trial (PATTERN_HOT_ORGANISATION, STRATEGY_TWO_CHOICES, 2);
  EXPECT_GE (router.on_time, two_choices.on_time);
  EXPECT_EQ (router.refused, 0U);
}

}
