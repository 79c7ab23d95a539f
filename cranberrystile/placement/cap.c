/* Judges the cap on exact counts.  The owner's table runs ahead of the targets
   by calls that were granted and have not arrived, and by calls that ended and
   whose release is still under way.  Both would raise the mean above the true
   one, so they are left out of it.  */

#include <math.h>

#include <utlist.h>

#include "placement/pool_internal.h"

/* Standard deviations of a Poisson count that the margin for releases under
   way covers.  */
#define RELEASE_SIGMA 4.0

uint32_t
cs_pool_mean_targets (const cs_pool_t *pool)
{
  uint32_t own = 0;
  for (size_t i = 0; i < pool->count; i++)
    if (pool->targets[i].state == CS_TARGET_LIVE)
      own++;
  return own > pool->believed ? own : pool->believed;
}

static target_index_t *
find_index (const cs_pool_t *pool, uint64_t id)
{
  target_index_t *found = NULL;
  HASH_FIND (hh, pool->index, &id, sizeof id, found);
  return found;
}

void
cs_pool_settle (cs_pool_t *pool, cs_time_us_t now)
{
  while (pool->unsettled != NULL
         && pool->unsettled->granted + pool->policy.settle_us <= now)
    {
      call_t *call = pool->unsettled;
      DL_DELETE (pool->unsettled, call);
      call->settled = true;
      const target_index_t *at = find_index (pool, call->target);
      if (at != NULL)
        pool->settled_load[at->index]++;
    }
}

static uint32_t
settled_load (cs_pool_t *pool, cs_time_us_t now)
{
  uint32_t settled = 0;
  cs_pool_settle (pool, now);
  for (size_t i = 0; i < pool->count; i++)
    if (pool->targets[i].state == CS_TARGET_LIVE)
      settled += pool->settled_load[i];
  return settled;
}

/* Releases that are expected to be under way.  */
static double
releases_under_way (const cs_pool_t *pool, cs_time_us_t now)
{
  return cs_rate_value (&pool->releases, now) * (double)pool->policy.settle_us
         / (double)CS_US_PER_S;
}

static uint32_t
less (uint32_t load, uint32_t margin)
{
  return load > margin ? load - margin : 0;
}

uint32_t
cs_pool_sure_load (cs_pool_t *pool, cs_time_us_t now)
{
  double under_way = releases_under_way (pool, now);
  double margin = 1 + ceil (under_way + RELEASE_SIGMA * sqrt (under_way));
  return less (settled_load (pool, now), (uint32_t)margin);
}

uint32_t
cs_pool_likely_load (cs_pool_t *pool, cs_time_us_t now)
{
  return less (settled_load (pool, now),
               (uint32_t)releases_under_way (pool, now));
}

uint32_t
cs_pool_cap_for (cs_pool_t *pool, double factor, uint32_t sure_load)
{
  uint32_t targets = cs_pool_mean_targets (pool);
  if (targets == 0)
    return 0;
  /* A single target always carries just the mean.  */
  if (targets == 1)
    return UINT32_MAX;
  double mean = (double)(sure_load + 1) / (double)targets;
  return (uint32_t)ceil (factor * mean);
}

uint32_t
cs_pool_cap (cs_pool_t *pool, cs_time_us_t now)
{
  return cs_pool_cap_for (pool, pool->policy.cap_factor,
                          cs_pool_sure_load (pool, now));
}
