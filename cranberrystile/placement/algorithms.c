/* Placement algorithms: bounded load, and the baselines.  */

#include <math.h>

#include "placement/pool_internal.h"

#define MAX_RANKS 16

/* Parameters of one choice, shared by all algorithms.  */
typedef struct
{
  cs_pool_t *pool;
  const cs_placement_request_t *request;
  uint32_t hard_cap;  /* maximum load including the new call */
  uint32_t least_cap; /* the same, if the target is the least loaded one */
  uint32_t soft_cap;  /* the same, for the target that the chat prefers */
  bool reserve_slots; /* the organisation may not use the last slots */
} choice_t;

static uint32_t
usable_slots (const choice_t *choice, const cs_pool_target_t *target)
{
  if (!choice->reserve_slots)
    return target->slots;
  double withheld
      = (double)target->slots * choice->pool->policy.surge_headroom;
  return target->slots - (uint32_t)ceil (withheld);
}

/* Returns whether target I can take one more call without exceeding CAP.  */
static bool
fits (const choice_t *choice, size_t i, uint32_t cap)
{
  const cs_pool_target_t *target = &choice->pool->targets[i];
  if (target->state != CS_TARGET_LIVE
      || cs_avoid_list_has (&choice->request->avoid, target->id))
    return false;
  if (target->load + 1 > usable_slots (choice, target))
    return false;
  return target->load + 1 <= cap;
}

static int
choose_least_loaded (const choice_t *choice, uint32_t *index)
{
  const cs_pool_t *pool = choice->pool;
  size_t best = pool->count;
  /* Start at a position that depends on the key, so that not all chats choose
     the same of several equally loaded targets.  */
  size_t start = pool->count == 0 ? 0 : choice->request->key % pool->count;
  for (size_t n = 0; n < pool->count; n++)
    {
      size_t i = (start + n) % pool->count;
      if (!fits (choice, i, choice->least_cap))
        continue;
      if (best == pool->count
          || pool->targets[i].load < pool->targets[best].load)
        best = i;
    }
  if (best == pool->count)
    return CS_ERR_OVERLOADED;
  *index = (uint32_t)best;
  return 0;
}

static bool
choose_kept_spill (const choice_t *choice, cs_time_us_t now, uint32_t *index)
{
  const cs_pool_t *pool = choice->pool;
  target_index_t *at = NULL;
  uint64_t id = cs_spill_find (pool->spill, choice->request->key, now);
  if (id == 0)
    return false;
  HASH_FIND (hh, pool->index, &id, sizeof id, at);
  if (at == NULL || !fits (choice, at->index, choice->soft_cap))
    return false;
  *index = at->index;
  return true;
}

static bool
choose_next_ranked (const choice_t *choice, const uint32_t *ranked,
                    size_t ranked_count, uint32_t *index)
{
  const cs_pool_target_t *targets = choice->pool->targets;
  bool found = false;
  for (size_t i = 1; i < ranked_count; i++)
    {
      if (!fits (choice, ranked[i], choice->hard_cap))
        continue;
      if (found && targets[ranked[i]].load >= targets[*index].load)
        continue;
      *index = ranked[i];
      found = true;
    }
  return found;
}

static int
choose_bounded (const choice_t *choice, cs_time_us_t now, uint32_t *index,
                cs_placement_reason_t *reason)
{
  cs_pool_t *pool = choice->pool;
  uint32_t ranked[MAX_RANKS];
  uint32_t rank_count = pool->policy.spill_ranks + 1;
  if (rank_count > MAX_RANKS)
    rank_count = MAX_RANKS;
  cs_pool_update_weights (pool, now);
  size_t count = cs_rank (choice->request->key, pool->members, pool->count,
                          ranked, rank_count);
  if (choose_kept_spill (choice, now, index))
    {
      *reason = CS_REASON_SPILL_KEPT;
      cs_spill_put (pool->spill, choice->request->key,
                    pool->targets[*index].id, now);
      return 0;
    }
  if (count > 0 && fits (choice, ranked[0], choice->soft_cap))
    {
      *reason = CS_REASON_FIRST_RANKED;
      *index = ranked[0];
      cs_spill_remove (pool->spill, choice->request->key);
      return 0;
    }
  *reason = CS_REASON_SPILL;
  if (!choose_next_ranked (choice, ranked, count, index))
    {
      *reason = CS_REASON_LEAST_LOADED;
      int rc = choose_least_loaded (choice, index);
      if (rc != 0)
        return rc;
    }
  cs_spill_put (pool->spill, choice->request->key, pool->targets[*index].id,
                now);
  return 0;
}

static int
choose_rendezvous (const choice_t *choice, cs_time_us_t now, uint32_t *index)
{
  const cs_pool_t *pool = choice->pool;
  cs_pool_update_weights (choice->pool, now);
  size_t first
      = cs_rank_first (choice->request->key, pool->members, pool->count);
  if (first == pool->count || !fits (choice, first, UINT32_MAX))
    return CS_ERR_OVERLOADED;
  *index = (uint32_t)first;
  return 0;
}

static int
choose_two_choices (const choice_t *choice, uint32_t *index)
{
  cs_pool_t *pool = choice->pool;
  uint32_t draws = 0;
  uint32_t found = 0;
  while (found < 2 && draws++ < 16)
    {
      uint32_t i = (uint32_t)(cs_random_u64 (&pool->random) % pool->count);
      if (!fits (choice, i, UINT32_MAX) || (found == 1 && i == *index))
        continue;
      if (found == 0 || pool->targets[i].load < pool->targets[*index].load)
        *index = i;
      found++;
    }
  return found == 0 ? CS_ERR_OVERLOADED : 0;
}

static int
choose_round_robin (const choice_t *choice, uint32_t *index)
{
  cs_pool_t *pool = choice->pool;
  for (size_t n = 0; n < pool->count; n++)
    {
      uint32_t i = pool->round_robin++ % (uint32_t)pool->count;
      if (!fits (choice, i, UINT32_MAX))
        continue;
      *index = i;
      return 0;
    }
  return CS_ERR_OVERLOADED;
}

/* Returns the load factor above which a chat leaves its preferred target.  It
   is lower for chats with little context to reuse, so that short chats even
   out the load that long ones leave unbalanced.  */
static double
threshold_factor (const cs_pool_policy_t *policy, double mean_tokens,
                  uint32_t context_tokens)
{
  double long_tokens = policy->long_share * mean_tokens;
  double context_ratio
      = long_tokens > 0 ? (double)context_tokens / long_tokens : 1.0;
  if (context_ratio > 1.0)
    context_ratio = 1.0;
  return policy->short_factor
         + (policy->cap_factor - policy->short_factor) * context_ratio;
}

/* Returns whether the next call would take ORGANISATION above an equal share
   of all slots among the active organisations.  */
static bool
is_surging (const cs_pool_t *pool, uint64_t organisation)
{
  uint64_t active = HASH_COUNT (pool->organisations);
  uint64_t own = cs_pool_in_flight_of (pool, organisation);
  if (own == 0)
    active++;
  return (own + 1) * active > pool->slots_total;
}

int
cs_pool_choose (cs_pool_t *pool, const cs_placement_request_t *request,
                cs_time_us_t now, uint32_t *index,
                cs_placement_reason_t *reason)
{
  const cs_pool_policy_t *policy = &pool->policy;
  choice_t choice
      = { pool, request, UINT32_MAX, UINT32_MAX, UINT32_MAX, false };
  choice.reserve_slots = is_surging (pool, request->organisation);
  *reason = CS_REASON_BASELINE;
  switch (policy->placement_algorithm)
    {
    case CS_PLACE_RENDEZVOUS:
      return choose_rendezvous (&choice, now, index);
    case CS_PLACE_LEAST_LOADED:
      return choose_least_loaded (&choice, index);
    case CS_PLACE_TWO_CHOICES:
      return choose_two_choices (&choice, index);
    case CS_PLACE_ROUND_ROBIN:
      return choose_round_robin (&choice, index);
    case CS_PLACE_BOUNDED:
      break;
    }
  uint32_t min_load = cs_pool_min_load (pool, now);
  double factor
      = threshold_factor (policy, pool->mean_context, request->context_tokens);
  choice.hard_cap = cs_pool_cap_for (pool, policy->cap_factor, min_load);
  choice.least_cap = cs_pool_cap_for (pool, policy->cap_factor,
                                      cs_pool_expected_load (pool, now));
  choice.soft_cap = cs_pool_cap_for (pool, factor, min_load);
  return choose_bounded (&choice, now, index, reason);
}
