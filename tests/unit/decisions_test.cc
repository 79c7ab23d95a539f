// Decisions of libcranberrystile: retries, claims, leases, target state,
// ejection, rate limits and placement.

#include <gtest/gtest.h>

extern "C"
{
#include "common/hash.h"
#include "cranberrystile/claim.h"
#include "cranberrystile/eject.h"
#include "cranberrystile/error_response.h"
#include "cranberrystile/hosts.h"
#include "cranberrystile/lease.h"
#include "cranberrystile/pool.h"
#include "cranberrystile/rank.h"
#include "cranberrystile/rate_limit.h"
#include "cranberrystile/retry.h"
#include "cranberrystile/target_view.h"
}

static cs_name_t
name_of (const char *text)
{
  cs_name_t name;
  cs_name_set (&name, cs_str (text));
  return name;
}

TEST (ErrorResponse, NotExecutedIsReportedOnlyWhenCertain)
{
  for (int error :
       { CS_ERR_SILENT, CS_ERR_CUT, CS_ERR_WRONG_ANSWER, CS_ERR_IN_PROGRESS,
         CS_ERR_OUTCOME_UNKNOWN, CS_ERR_CALLER_GONE, CS_ERR_INTERNAL })
    EXPECT_EQ (cs_error_response_for (error)->ran, CS_RAN_UNKNOWN) << error;
  for (int error : { CS_ERR_CONNECT, CS_ERR_REFUSED, CS_ERR_OVERLOADED,
                     CS_ERR_PLATFORM_DOWN, CS_ERR_DEADLINE })
    EXPECT_EQ (cs_error_response_for (error)->ran, CS_RAN_NO) << error;
}

TEST (ErrorResponse, EveryErrorHasAResponse)
{
  for (int code = 1; code < CS_ERROR_COUNT; code++)
    {
      EXPECT_GE (cs_error_response_for (-code)->status, 400) << code;
      EXPECT_STRNE (cs_error_response_for (-code)->message, "") << code;
      EXPECT_STRNE (cs_error_name (-code), "unknown") << code;
    }
  EXPECT_EQ (cs_error_response_for (-999),
             cs_error_response_for (CS_ERR_INTERNAL));
}

TEST (ErrorResponse, RetryAfterHasJitterAndIsNeverZero)
{
  cs_random_t random = { 1, 0 };
  for (int i = 0; i < 1000; i++)
    {
      uint32_t seconds = cs_error_response_retry_after_s (4, &random);
      EXPECT_GE (seconds, 4u);
      EXPECT_LE (seconds, 8u);
      EXPECT_GE (cs_error_response_retry_after_s (0, &random), 1u);
    }
}

TEST (Retry, NonRetryableRequestsAreAttemptedOnce)
{
  for (int error = -1; error > -CS_ERROR_COUNT; error--)
    {
      cs_retry_state_t state = { error, false, false, false, false, 1, 3 };
      EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_GIVE_UP) << error;
    }
}

TEST (Retry, CutStreamsAreResumedThenContinued)
{
  cs_retry_state_t state = { CS_ERR_CUT, true, true, true, true, 1, 3 };
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_RESUME);
  state.tries = 2;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_CONTINUE);
  state.tries = 3;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_GIVE_UP);
  state.tries = 1;
  state.resumable = false;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_CONTINUE);
  state.streaming = false;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_GIVE_UP);
  state.response_started = false;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_OTHER_TARGET);
  state.error = CS_ERR_OVERLOADED;
  EXPECT_EQ (cs_retry_decide (&state), CS_RETRY_GIVE_UP);
}

TEST (Retry, BudgetIsATenthOfFirstAttempts)
{
  cs_retry_budget_t budget;
  int retries = 0;
  cs_retry_budget_init (&budget, 0.1, 3, 20);
  for (int i = 0; i < 1000; i++)
    {
      cs_retry_budget_first_attempt (&budget);
      while (cs_retry_budget_take (&budget))
        retries++;
    }
  EXPECT_LE (retries, 103);
  EXPECT_GE (retries, 100);
  for (int i = 0; i < 100000; i++)
    cs_retry_budget_first_attempt (&budget);
  for (retries = 0; cs_retry_budget_take (&budget); retries++)
    continue;
  EXPECT_LE (retries, 20);
}

class ClaimTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    memset (&claim, 0, sizeof claim);
    memset (claim.request_sha256, 'a', 64);
    claim.attempt = name_of ("one");
    claim.deadline_wall_ms = 1000;
  }
  cs_claim_step_t
  decide (const char *attempt, uint64_t now)
  {
    return cs_claim_decide (&claim, cs_str (attempt), claim.request_sha256,
                            now, &error);
  }
  cs_claim_t claim;
  int error = 0;
};

TEST_F (ClaimTest, OnlyTheAttemptThatCreatedTheClaimRuns)
{
  EXPECT_EQ (decide ("one", 10), CS_CLAIM_RUN);
  EXPECT_EQ (decide ("two", 10), CS_CLAIM_FAIL);
  EXPECT_EQ (error, CS_ERR_IN_PROGRESS);
  EXPECT_EQ (decide ("two", 2000), CS_CLAIM_FAIL);
  EXPECT_EQ (error, CS_ERR_OUTCOME_UNKNOWN);
}

TEST_F (ClaimTest, StateOfAnEndedClaimDecidesTheNextAttempt)
{
  claim.state = CS_CLAIM_DONE;
  EXPECT_EQ (decide ("two", 10), CS_CLAIM_REPLAY);
  claim.state = CS_CLAIM_NOT_RUN;
  EXPECT_EQ (decide ("two", 10), CS_CLAIM_TAKE_OVER);
  claim.state = CS_CLAIM_UNKNOWN;
  EXPECT_EQ (decide ("two", 10), CS_CLAIM_FAIL);
  EXPECT_EQ (error, CS_ERR_OUTCOME_UNKNOWN);
}

TEST_F (ClaimTest, KeyOfAnotherRequestIsRejected)
{
  char other[65];
  memset (other, 'b', 64);
  other[64] = '\0';
  claim.state = CS_CLAIM_DONE;
  EXPECT_EQ (cs_claim_decide (&claim, cs_str ("two"), other, 10, &error),
             CS_CLAIM_FAIL);
  EXPECT_EQ (error, CS_ERR_KEY_REUSED);
}

TEST_F (ClaimTest, RoundTripsThroughJson)
{
  for (size_t len : { 0, 1, 2, 3, 4, 5, 300 })
    {
      std::string body;
      for (size_t i = 0; i < len; i++)
        body.push_back (static_cast<char> (i * 7));
      cs_str_t bytes = { body.data (), body.size () };
      claim.state = CS_CLAIM_DONE;
      claim.status = 201;
      cs_buf_clear (&claim.body);
      cs_buf_append (&claim.body, bytes);
      json_t *spec = cs_claim_to_json (&claim);
      cs_claim_t read;
      ASSERT_EQ (cs_claim_from_json (spec, &read), 0);
      EXPECT_EQ (std::string (read.body.data == nullptr ? "" : read.body.data,
                              read.body.len),
                 body);
      EXPECT_EQ (read.status, 201);
      cs_claim_free (&read);
      json_decref (spec);
    }
  cs_claim_free (&claim);
}

TEST (Lease, ExpiryOfAnotherHolderIsTimedByTheLocalClock)
{
  cs_lease_t lease = {};
  cs_lease_record_t record = { name_of ("other"), 4, 17, 6 };
  cs_str_t self = cs_str ("self");
  EXPECT_EQ (cs_lease_next (&lease, self, 1), CS_LEASE_WAIT);
  cs_lease_observe (&lease, &record, self, 1000000);
  EXPECT_EQ (cs_lease_next (&lease, self, 6999999), CS_LEASE_WAIT);
  EXPECT_EQ (cs_lease_next (&lease, self, 7000000), CS_LEASE_ACQUIRE);
  // A renewal restarts the wait.
  record.version = 18;
  cs_lease_observe (&lease, &record, self, 6000000);
  EXPECT_EQ (cs_lease_next (&lease, self, 7000000), CS_LEASE_WAIT);
}

TEST (Lease, HolderStopsBeforeExpiryAndNewHolderWaits)
{
  cs_lease_t lease = {};
  cs_str_t self = cs_str ("self");
  cs_lease_record_t record = { name_of ("self"), 5, 20, 6 };
  cs_lease_written (&lease, &record, 1000000, 2000000);
  EXPECT_TRUE (cs_lease_is_valid (&lease, 1500000));
  // Orders of the previous holder may still be in flight.
  EXPECT_FALSE (cs_lease_may_order (&lease, false, 500000, 2900000));
  EXPECT_TRUE (cs_lease_may_order (&lease, true, 500000, 2900000));
  EXPECT_TRUE (cs_lease_may_order (&lease, false, 500000, 3000000));
  // An order must end before the lease expires.
  EXPECT_FALSE (cs_lease_may_order (&lease, true, 3000000, 4000001));
  EXPECT_FALSE (cs_lease_is_valid (&lease, 5800000));
  EXPECT_EQ (cs_lease_next (&lease, self, 3100000), CS_LEASE_RENEW);
  // A renewal keeps the waiting period for orders; only a newly acquired lease
  // starts another.
  cs_lease_written (&lease, &record, 3100000, 2000000);
  EXPECT_TRUE (cs_lease_may_order (&lease, false, 500000, 3200000));
  // Another host acquired the lease while this process was paused.
  cs_lease_record_t other = { name_of ("other"), 6, 30, 6 };
  cs_lease_observe (&lease, &other, self, 3300000);
  EXPECT_FALSE (cs_lease_may_order (&lease, true, 1, 3400000));
}

TEST (TargetView, LeavingIsPermanentForAnInstance)
{
  cs_target_view_t view = {};
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i1"), false),
             CS_VIEW_UNCHANGED);
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i1"), true),
             CS_VIEW_LEAVING);
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i1"), false),
             CS_VIEW_UNCHANGED);
  EXPECT_TRUE (view.leaving);
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i2"), false),
             CS_VIEW_STARTED);
  EXPECT_FALSE (view.leaving);
  // A stale list still names the instance that has left.
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i1"), false),
             CS_VIEW_UNCHANGED);
  EXPECT_STREQ (view.instance.text, "i2");
  EXPECT_EQ (cs_target_view_update (&view, cs_str ("i1"), true),
             CS_VIEW_UNCHANGED);
  EXPECT_FALSE (view.leaving);
}

TEST (Eject, ConsecutiveFailuresEjectForLongerEachTime)
{
  cs_eject_policy_t policy = cs_eject_policy_default ();
  cs_eject_t eject = {};
  EXPECT_FALSE (cs_eject_failure (&eject, &policy, 0, 9, 10));
  EXPECT_FALSE (cs_eject_failure (&eject, &policy, 0, 9, 11));
  EXPECT_TRUE (cs_eject_failure (&eject, &policy, 0, 9, 12));
  EXPECT_TRUE (
      cs_eject_is_ejected (&eject, 12 + policy.initial_ejection_us - 1));
  EXPECT_FALSE (cs_eject_is_ejected (&eject, 12 + policy.initial_ejection_us));
  // After an ejection one failure is enough, and ejects for twice the time.
  cs_time_us_t later = 12 + policy.initial_ejection_us;
  EXPECT_TRUE (cs_eject_failure (&eject, &policy, 0, 9, later));
  EXPECT_TRUE (cs_eject_is_ejected (
      &eject, later + 2 * policy.initial_ejection_us - 1));
  // At most a third of the targets are ejected at a time.
  cs_eject_t other = {};
  for (int i = 0; i < 10; i++)
    EXPECT_FALSE (cs_eject_failure (&other, &policy, 3, 9, 100));
}

TEST (RateLimit, TokenBucketRefillsAndReturnsRetryAfter)
{
  cs_rate_limit_t limit = {};
  EXPECT_TRUE (cs_rate_limit_take (&limit, 2, 2, 1000000));
  EXPECT_TRUE (cs_rate_limit_take (&limit, 2, 2, 1000000));
  EXPECT_FALSE (cs_rate_limit_take (&limit, 2, 2, 1000000));
  EXPECT_EQ (cs_rate_limit_retry_after_s (&limit, 2), 1u);
  EXPECT_TRUE (cs_rate_limit_take (&limit, 2, 2, 1500000));
  EXPECT_TRUE (cs_rate_limit_take (&limit, 0, 0, 1500000));
}

TEST (Rank, SharesFollowWeightsAndFewKeysMove)
{
  cs_rank_member_t members[10];
  int first[10] = {};
  int moved = 0;
  for (uint64_t i = 0; i < 10; i++)
    members[i] = { cs_hash_pair (i, 5), i == 0 ? 0.5 : 1.0 };
  for (uint64_t key = 0; key < 20000; key++)
    {
      size_t with = cs_rank_first (key, members, 10);
      first[with]++;
      // Removing the last member must move only the keys that it had.
      size_t without = cs_rank_first (key, members, 9);
      if (with != 9 && with != without)
        moved++;
    }
  EXPECT_EQ (moved, 0);
  EXPECT_NEAR (first[0], 20000 * 0.5 / 9.5, 150);
  EXPECT_NEAR (first[5], 20000 / 9.5, 200);
}

TEST (Hosts, OwnerIsAliveNearbyAndNotLeaving)
{
  cs_host_t self = {};
  self.id = 1;
  self.name = name_of ("a");
  self.data_centre = name_of ("north");
  cs_hosts_t *hosts = cs_hosts_create (&self);
  cs_host_t other = self;
  other.id = 2;
  uint64_t key = 0;
  cs_hosts_mark_seen (hosts, &other, 1000);
  while (cs_hosts_owner (hosts, key, 1001) != 2)
    key++;
  EXPECT_EQ (cs_hosts_owner (hosts, key, 1000 + CS_HOST_TIMEOUT_US), 1u);
  // A host of another data centre owns nothing here, unless that data centre
  // is configured as near.
  other.data_centre = name_of ("south");
  cs_hosts_mark_seen (hosts, &other, 1002);
  EXPECT_EQ (cs_hosts_owner (hosts, key, 1003), 1u);
  cs_name_t near[] = { name_of ("south") };
  cs_hosts_set_region (hosts, near, 1);
  EXPECT_EQ (cs_hosts_owner (hosts, key, 1003), 2u);
  // Leaving is permanent: a delayed heartbeat without it changes nothing.
  other.leaving = true;
  cs_hosts_mark_seen (hosts, &other, 1004);
  other.leaving = false;
  cs_hosts_mark_seen (hosts, &other, 1005);
  EXPECT_EQ (cs_hosts_owner (hosts, key, 1006), 1u);
  cs_hosts_destroy (hosts);
}

TEST (Pool, ReportsAddOnlyExternalCalls)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  cs_pool_t *pool = cs_pool_create (&policy, 1);
  cs_pool_grant_t grant;
  cs_placement_request_t request = { 1, 1, 1, 5, 100, { { 0 }, 0 } };
  size_t count;
  cs_pool_set_target (pool, 7, 8, CS_TARGET_LIVE, false, 1);
  ASSERT_EQ (cs_pool_place (pool, &request, 1000000, &grant), 0);
  // Taken before the grant, so the report cannot include the call.
  cs_pool_apply_load_report (pool, 7, 0, 999999);
  EXPECT_EQ (cs_pool_targets (pool, &count)->load, 1u);
  cs_pool_apply_load_report (pool, 7, 3, 2000000);
  EXPECT_EQ (cs_pool_targets (pool, &count)->external, 2u);
  EXPECT_EQ (cs_pool_targets (pool, &count)->load, 3u);
  cs_pool_apply_load_report (pool, 7, 1, 3000000);
  EXPECT_EQ (cs_pool_targets (pool, &count)->load, 1u);
  EXPECT_TRUE (cs_pool_release (pool, 1, 1, 3000001));
  EXPECT_FALSE (cs_pool_release (pool, 1, 1, 3000001));
  EXPECT_EQ (cs_pool_targets (pool, &count)->load, 0u);
  cs_pool_destroy (pool);
}

TEST (Pool, OnlyTargetIsUsedEvenIfAvoided)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  cs_pool_t *pool = cs_pool_create (&policy, 1);
  cs_pool_grant_t grant;
  cs_placement_request_t request = { 1, 1, 1, 5, 100, { { 7 }, 1 } };
  EXPECT_EQ (cs_pool_place (pool, &request, 1000000, &grant),
             CS_ERR_NO_TARGET);
  cs_pool_set_target (pool, 7, 8, CS_TARGET_LIVE, false, 1);
  ASSERT_EQ (cs_pool_place (pool, &request, 1000000, &grant), 0);
  EXPECT_EQ (grant.target, 7u);
  cs_pool_set_target (pool, 8, 8, CS_TARGET_LIVE, false, 1);
  request.call = 2;
  ASSERT_EQ (cs_pool_place (pool, &request, 2000000, &grant), 0);
  EXPECT_EQ (grant.target, 8u);
  cs_pool_destroy (pool);
}

TEST (Pool, UntriedTargetIsPreferredToFailedOnes)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  cs_pool_t *pool = cs_pool_create (&policy, 1);
  cs_pool_grant_t grant;
  for (uint64_t id = 7; id <= 9; id++)
    cs_pool_set_target (pool, id, 8, CS_TARGET_LIVE, false, 1);
  for (uint64_t key = 0; key < 32; key++)
    {
      cs_placement_request_t request
          = { 1, key * 2, 1, key, 100, { { 7, 8 }, 2 } };
      ASSERT_EQ (cs_pool_place (pool, &request, 1000000, &grant), 0);
      EXPECT_EQ (grant.target, 9u);
      cs_pool_release (pool, 1, request.call, 1000000);
      /* With all targets on the avoid list, any but the last one added
         is used.  */
      request.call++;
      cs_avoid_list_add (&request.avoid, 9);
      ASSERT_EQ (cs_pool_place (pool, &request, 1000000, &grant), 0);
      EXPECT_NE (grant.target, 9u);
      cs_pool_release (pool, 1, request.call, 1000000);
    }
  cs_pool_destroy (pool);
}

TEST (Pool, FullAvoidListDropsItsOldestEntry)
{
  cs_avoid_list_t list = { { 0 }, 0 };
  for (uint64_t id = 1; id <= CS_MAX_AVOIDED_TARGETS + 1; id++)
    cs_avoid_list_add (&list, id);
  EXPECT_EQ (list.count, (uint32_t)CS_MAX_AVOIDED_TARGETS);
  EXPECT_FALSE (cs_avoid_list_has (&list, 1));
  EXPECT_TRUE (cs_avoid_list_has (&list, CS_MAX_AVOIDED_TARGETS + 1));
}

TEST (Pool, UnconfirmedCallsCountForTheTargetButNotTheMean)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  cs_pool_t *pool = cs_pool_create (&policy, 1);
  for (uint64_t id = 1; id <= 2; id++)
    cs_pool_set_target (pool, id, 64, CS_TARGET_LIVE, false, 1);
  for (uint64_t call = 1; call <= 40; call++)
    cs_pool_adopt (pool, 9, call, 1, call % 2 + 1, 1000000);
  uint32_t before = cs_pool_cap (pool, 2000000);
  cs_pool_exclude_router_from_mean (pool, 9);
  EXPECT_LT (cs_pool_cap (pool, 2000000), before);
  EXPECT_EQ (cs_pool_in_flight (pool), 40u);
  EXPECT_EQ (cs_pool_drop_router (pool, 9, 2000000), 40u);
  EXPECT_EQ (cs_pool_in_flight (pool), 0u);
  cs_pool_destroy (pool);
}
