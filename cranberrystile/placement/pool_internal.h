/* Internals of the pool, private to this folder.  */

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
  bool settled;      /* old enough to be included in the mean */
  bool excluded;     /* permanently excluded from the mean */
  struct call *prev; /* list of unsettled calls, oldest grant first */
  struct call *next;
  UT_hash_handle hh;
} call_t;

typedef struct
{
  uint64_t id;
  uint32_t in_flight;
  UT_hash_handle hh;
} organisation_usage_t;

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
  /* Parallel arrays with one entry for each target.  */
  cs_pool_target_t *targets;
  cs_rank_member_t *members;
  cs_time_us_t *joined;
  uint32_t *settled_load;
  size_t count;
  size_t capacity;
  target_index_t *index;
  call_t *calls;
  call_t *unsettled;
  organisation_usage_t *organisations;
  uint32_t reported_targets;
  uint32_t in_flight;
  uint64_t slots_total;
  uint32_t round_robin;
  bool ramping; /* some targets may not have full weight yet */
  /* Moving average of the nonzero context lengths of requests, in tokens.  */
  double mean_context;
  cs_rate_t releases;
  cs_spill_t *spill;
};

/* Returns the number of targets over which the mean load is taken.  */
uint32_t cs_pool_mean_target_count (const cs_pool_t *pool);

/* Includes the calls granted at least settle_us before NOW in the mean.  */
void cs_pool_settle (cs_pool_t *pool, cs_time_us_t now);

/* Returns a lower bound on the calls in flight at the live targets: the
   settled calls less those that may have ended and whose release has not
   arrived.  */
uint32_t cs_pool_min_load (cs_pool_t *pool, cs_time_us_t now);

/* Like cs_pool_min_load, but subtracts only the expected number of releases in
   flight, without the margin for chance.  Used for the cap of the least loaded
   target: its load is at most the mean, so one more call stays within the cap
   unless several releases are in flight at once.  With the margin, a pool of a
   few targets with one call each could never place a second call on any.  */
uint32_t cs_pool_expected_load (cs_pool_t *pool, cs_time_us_t now);

/* Returns the cap on a target's load for FACTOR, given the pool's load.  The
   call to be placed is included in the mean.  */
uint32_t cs_pool_cap_for (cs_pool_t *pool, double factor,
                          uint32_t load_estimate);

/* Chooses a target by the policy's algorithm and writes its position in the
   array to INDEX.  Returns 0 or CS_ERR_OVERLOADED.  */
int cs_pool_choose (cs_pool_t *pool, const cs_placement_request_t *request,
                    cs_time_us_t now, uint32_t *index,
                    cs_placement_reason_t *reason);

/* Updates the weights of ramping targets for the time NOW.  */
void cs_pool_update_weights (cs_pool_t *pool, cs_time_us_t now);

#endif
