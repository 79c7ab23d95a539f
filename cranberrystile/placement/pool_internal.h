/* The parts of a pool, shared by the files of this folder only.  */

#ifndef CS_POOL_INTERNAL_H
#define CS_POOL_INTERNAL_H

#include <uthash.h>

#include "cranberrystile/pool.h"
#include "cranberrystile/rank.h"
#include "placement/rate.h"
#include "placement/spill.h"

typedef struct
{
  uint64_t router;
  uint64_t call;
} call_key_t;

typedef struct call
{
  call_key_t key;
  uint64_t organisation;
  uint64_t target;
  cs_time_us_t granted;
  bool settled;      /* counted in the mean */
  bool doubted;      /* never counted in the mean again */
  struct call *prev; /* in order of grants, among the unsettled */
  struct call *next;
  UT_hash_handle hh;
} call_t;

typedef struct
{
  uint64_t id;
  uint32_t in_flight;
  UT_hash_handle hh;
} tenant_t;

typedef struct
{
  uint64_t id;
  uint32_t index;
  UT_hash_handle hh;
} target_index_t;

struct cs_pool
{
  cs_pool_policy_t policy;
  cs_random_t random;
  /* Parallel arrays, one entry a target.  */
  cs_pool_target_t *targets;
  cs_rank_member_t *members;
  cs_time_us_t *joined;
  uint32_t *settled_load;
  size_t count;
  size_t capacity;
  target_index_t *index;
  call_t *calls;
  call_t *unsettled;
  tenant_t *tenants;
  uint32_t believed;
  uint32_t in_flight;
  uint64_t slots_total;
  uint32_t round_robin;
  bool ramping;        /* some member may have a weight below 1 */
  double mean_context; /* moving mean of the context of returning chats */
  cs_rate_t releases;
  cs_spill_t *spill;
};

/* Number of targets that the mean is taken over.  */
uint32_t cs_pool_mean_targets (const cs_pool_t *pool);

/* Counts the calls granted long enough before NOW in the mean.  */
void cs_pool_settle (cs_pool_t *pool, cs_time_us_t now);

/* Lower bound on the calls that the live targets carry just now: settled calls
   less those that may have ended without our knowing yet.  */
uint32_t cs_pool_sure_load (cs_pool_t *pool, cs_time_us_t now);

/* The same without the margin for chance.  The least loaded target is judged
   by this: it is at most at the mean, so that one more call is within the cap
   unless several releases are under way at once.  With the margin a pool of a
   few targets at one call each could never reach two.  */
uint32_t cs_pool_likely_load (cs_pool_t *pool, cs_time_us_t now);

/* Cap of one target for FACTOR, the call to be placed included in the mean. */
uint32_t cs_pool_cap_for (cs_pool_t *pool, double factor, uint32_t sure_load);

/* Chooses an index into targets by the policy's way, or returns an error.  */
int cs_pool_choose (cs_pool_t *pool, const cs_placement_request_t *ask,
                    cs_time_us_t now, uint32_t *index,
                    cs_placement_reason_t *why);

/* Brings the weights of ramping targets up to NOW.  */
void cs_pool_update_weights (cs_pool_t *pool, cs_time_us_t now);

#endif
