/* Computes the cap from the owner's counts.  These include calls that were
   granted but have not reached their target, and calls that have ended but
   whose release has not arrived.  Both would raise the mean above its true
   value, so they are excluded from it.  */

#include <math.h>

#include <utlist.h>

#include "placement/pool_internal.h"

/* Margin for releases in flight, in standard deviations of a Poisson count. */
#define RELEASE_SIGMA 4.0

uint32_t
cs_pool_mean_target_count (const cs_pool_t *pool)
{
  uint32_t live = 0;
  for (size_t i = 0; i < pool->count; i++)
    if (pool->targets[i].state == CS_TARGET_LIVE)
      live++;
  return live > pool->reported_targets ? live : pool->reported_targets;
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

/* Returns the expected number of releases in flight.  */
static double
releases_in_flight (const cs_pool_t *pool, cs_time_us_t now)
{
  return cs_rate_value (&pool->releases, now) * (double)pool->policy.settle_us
         / (double)CS_US_PER_S;
}

static uint32_t
subtract_margin (uint32_t load, uint32_t margin)
{
  return load > margin ? load - margin : 0;
}

uint32_t
cs_pool_min_load (cs_pool_t *pool, cs_time_us_t now)
{
  double expected = releases_in_flight (pool, now);
  double margin = 1 + ceil (expected + RELEASE_SIGMA * sqrt (expected));
  return subtract_margin (settled_load (pool, now), (uint32_t)margin);
}

uint32_t
cs_pool_expected_load (cs_pool_t *pool, cs_time_us_t now)
{
  return subtract_margin (settled_load (pool, now),
                          (uint32_t)releases_in_flight (pool, now));
}

uint32_t
cs_pool_cap_for (cs_pool_t *pool, double factor, uint32_t load_estimate)
{
  uint32_t targets = cs_pool_mean_target_count (pool);
  if (targets == 0)
    return 0;
  /* The load of a single target always equals the mean.  */
  if (targets == 1)
    return UINT32_MAX;
  double mean = (double)(load_estimate + 1) / (double)targets;
  return (uint32_t)ceil (factor * mean);
}

uint32_t
cs_pool_cap (cs_pool_t *pool, cs_time_us_t now)
{
  return cs_pool_cap_for (pool, pool->policy.cap_factor,
                          cs_pool_min_load (pool, now));
}
