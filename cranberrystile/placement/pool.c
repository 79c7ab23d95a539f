#include "cranberrystile/pool.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "placement/pool_internal.h"

/* Time constant of the smoothed release rate.  */
#define RELEASE_WINDOW_US (2 * CS_US_PER_S)

/* Mean service time that a new owner assumes before it has seen calls end.  It
   is short so that the number of releases in flight is over- rather than
   underestimated.  */
#define ASSUMED_SERVICE_S 4.0

/* Initial weight of a target that has joined.  */
#define RAMP_START_WEIGHT 0.2

cs_pool_policy_t
cs_pool_policy_default (void)
{
  cs_pool_policy_t policy = {
    .placement_algorithm = CS_PLACE_BOUNDED,
    .cap_factor = 1.25,
    .short_factor = 0.9,
    .long_share = 0.7,
    .spill_ranks = 4,
    .settle_us = 5 * CS_US_PER_MS,
    .ramp_us = 20 * CS_US_PER_S,
    .spill_entries = 65536,
    .spill_ttl_us = 1800 * CS_US_PER_S,
    .surge_headroom = 0.1,
  };
  return policy;
}

cs_pool_t *
cs_pool_create (const cs_pool_policy_t *policy, uint64_t seed)
{
  cs_pool_t *pool = calloc (1, sizeof *pool);
  if (pool == NULL)
    return NULL;
  pool->policy = *policy;
  pool->random.seed = seed;
  cs_rate_init (&pool->releases, RELEASE_WINDOW_US);
  pool->spill = cs_spill_create (policy->spill_entries, policy->spill_ttl_us);
  if (pool->spill == NULL)
    {
      free (pool);
      return NULL;
    }
  return pool;
}

void
cs_pool_destroy (cs_pool_t *pool)
{
  call_t *call, *next_call;
  organisation_usage_t *usage, *next_usage;
  target_index_t *at, *next_at;
  if (pool == NULL)
    return;
  HASH_ITER (hh, pool->calls, call, next_call)
  {
    HASH_DEL (pool->calls, call);
    free (call);
  }
  HASH_ITER (hh, pool->organisations, usage, next_usage)
  {
    HASH_DEL (pool->organisations, usage);
    free (usage);
  }
  HASH_ITER (hh, pool->index, at, next_at)
  {
    HASH_DEL (pool->index, at);
    free (at);
  }
  cs_spill_destroy (pool->spill);
  free (pool->targets);
  free (pool->members);
  free (pool->joined);
  free (pool->settled_load);
  free (pool);
}

void
cs_pool_set_policy (cs_pool_t *pool, const cs_pool_policy_t *policy)
{
  pool->policy = *policy;
}

static int
grow_array (void **array, size_t size, size_t capacity)
{
  void *grown = realloc (*array, size * capacity);
  if (grown == NULL)
    return CS_ERR_NO_MEMORY;
  *array = grown;
  return 0;
}

static int
grow_targets (cs_pool_t *pool)
{
  size_t capacity = pool->capacity == 0 ? 16 : pool->capacity * 2;
  if (pool->count < pool->capacity)
    return 0;
  if (grow_array ((void **)&pool->targets, sizeof *pool->targets, capacity)
          != 0
      || grow_array ((void **)&pool->members, sizeof *pool->members, capacity)
             != 0
      || grow_array ((void **)&pool->joined, sizeof *pool->joined, capacity)
             != 0
      || grow_array ((void **)&pool->settled_load, sizeof *pool->settled_load,
                     capacity)
             != 0)
    return CS_ERR_NO_MEMORY;
  pool->capacity = capacity;
  return 0;
}

static target_index_t *
find_target (const cs_pool_t *pool, uint64_t id)
{
  target_index_t *found = NULL;
  HASH_FIND (hh, pool->index, &id, sizeof id, found);
  return found;
}

/* Adds the calls of target I that are already in the pool to its load.  Calls
   may be adopted before their target is added.  */
static void
count_existing_calls (cs_pool_t *pool, size_t i)
{
  const call_t *call;
  for (call = pool->calls; call != NULL; call = call->hh.next)
    if (call->target == pool->targets[i].id)
      {
        pool->targets[i].load++;
        if (call->settled)
          pool->settled_load[i]++;
      }
}

static int
add_target (cs_pool_t *pool, uint64_t id, target_index_t **out)
{
  if (grow_targets (pool) != 0)
    return CS_ERR_NO_MEMORY;
  target_index_t *at = calloc (1, sizeof *at);
  if (at == NULL)
    return CS_ERR_NO_MEMORY;
  size_t i = pool->count++;
  memset (&pool->targets[i], 0, sizeof pool->targets[i]);
  pool->targets[i].id = id;
  pool->members[i].id = id;
  pool->members[i].weight = 1.0;
  pool->joined[i] = 0;
  pool->settled_load[i] = 0;
  count_existing_calls (pool, i);
  at->id = id;
  at->index = (uint32_t)i;
  HASH_ADD (hh, pool->index, id, sizeof at->id, at);
  *out = at;
  return 0;
}

int
cs_pool_set_target (cs_pool_t *pool, uint64_t id, uint32_t slots,
                    cs_target_state_t state, bool joined, cs_time_us_t now)
{
  target_index_t *at = find_target (pool, id);
  if (at == NULL && add_target (pool, id, &at) != 0)
    return CS_ERR_NO_MEMORY;
  cs_pool_target_t *target = &pool->targets[at->index];
  pool->slots_total += slots;
  pool->slots_total -= target->slots;
  target->slots = slots;
  target->state = state;
  if (joined)
    {
      pool->joined[at->index] = now;
      pool->ramping = true;
    }
  /* An ejected target keeps its rank, so that its chats return to it as soon
     as it has recovered.  */
  if (state == CS_TARGET_LEAVING)
    pool->members[at->index].weight = 0;
  else if (pool->members[at->index].weight == 0)
    pool->members[at->index].weight = 1.0;
  return 0;
}

void
cs_pool_remove_target (cs_pool_t *pool, uint64_t id)
{
  target_index_t *at = find_target (pool, id);
  if (at == NULL)
    return;
  size_t i = at->index;
  size_t last = --pool->count;
  pool->slots_total -= pool->targets[i].slots;
  HASH_DEL (pool->index, at);
  free (at);
  if (i == last)
    return;
  pool->targets[i] = pool->targets[last];
  pool->members[i] = pool->members[last];
  pool->joined[i] = pool->joined[last];
  pool->settled_load[i] = pool->settled_load[last];
  find_target (pool, pool->targets[i].id)->index = (uint32_t)i;
}

void
cs_pool_set_reported_targets (cs_pool_t *pool, uint32_t count)
{
  pool->reported_targets = count;
}

void
cs_pool_apply_load_report (cs_pool_t *pool, uint64_t id, uint32_t running,
                           cs_time_us_t taken)
{
  const target_index_t *at = find_target (pool, id);
  const call_t *call;
  if (at == NULL)
    return;
  cs_pool_settle (pool, taken);
  cs_pool_target_t *target = &pool->targets[at->index];
  uint32_t granted_calls = target->load - target->external;
  uint32_t newer = 0;
  /* The report does not include calls granted after it was taken.  */
  DL_FOREACH (pool->unsettled, call)
  if (call->target == id && call->granted > taken)
    newer++;
  uint32_t expected = granted_calls > newer ? granted_calls - newer : 0;
  uint32_t external = running > expected ? running - expected : 0;
  target->external = external;
  target->load = granted_calls + external;
}

void
cs_pool_update_weights (cs_pool_t *pool, cs_time_us_t now)
{
  bool ramping = false;
  if (!pool->ramping)
    return;
  for (size_t i = 0; i < pool->count; i++)
    {
      if (pool->joined[i] == 0 || pool->targets[i].state == CS_TARGET_LEAVING)
        continue;
      double progress = 1.0;
      if (now < pool->joined[i] + pool->policy.ramp_us)
        progress
            = (double)(now - pool->joined[i]) / (double)pool->policy.ramp_us;
      if (progress < 1.0)
        ramping = true;
      else
        pool->joined[i] = 0;
      pool->members[i].weight
          = RAMP_START_WEIGHT + (1.0 - RAMP_START_WEIGHT) * progress;
    }
  pool->ramping = ramping;
}

static organisation_usage_t *
find_usage (const cs_pool_t *pool, uint64_t organisation)
{
  organisation_usage_t *found = NULL;
  HASH_FIND (hh, pool->organisations, &organisation, sizeof organisation,
             found);
  return found;
}

static int
add_organisation_call (cs_pool_t *pool, uint64_t organisation)
{
  organisation_usage_t *usage = find_usage (pool, organisation);
  if (usage == NULL)
    {
      usage = calloc (1, sizeof *usage);
      if (usage == NULL)
        return CS_ERR_NO_MEMORY;
      usage->id = organisation;
      HASH_ADD (hh, pool->organisations, id, sizeof usage->id, usage);
    }
  usage->in_flight++;
  return 0;
}

static void
end_organisation_call (cs_pool_t *pool, uint64_t organisation)
{
  organisation_usage_t *usage = find_usage (pool, organisation);
  if (usage == NULL || --usage->in_flight > 0)
    return;
  HASH_DEL (pool->organisations, usage);
  free (usage);
}

static call_t *
find_call (const cs_pool_t *pool, uint64_t router, uint64_t call)
{
  call_t *found = NULL;
  call_key_t key;
  memset (&key, 0, sizeof key);
  key.router = router;
  key.call = call;
  HASH_FIND (hh, pool->calls, &key, sizeof key, found);
  return found;
}

static int
add_call (cs_pool_t *pool, uint64_t router, uint64_t id, uint64_t organisation,
          uint64_t target, cs_time_us_t now)
{
  call_t *call = calloc (1, sizeof *call);
  if (call == NULL)
    return CS_ERR_NO_MEMORY;
  if (add_organisation_call (pool, organisation) != 0)
    {
      free (call);
      return CS_ERR_NO_MEMORY;
    }
  call->key.router = router;
  call->key.call = id;
  call->organisation = organisation;
  call->target = target;
  call->granted = now;
  HASH_ADD (hh, pool->calls, key, sizeof call->key, call);
  DL_APPEND (pool->unsettled, call);
  pool->in_flight++;
  const target_index_t *at = find_target (pool, target);
  if (at != NULL)
    pool->targets[at->index].load++;
  return 0;
}

static void
end_call (cs_pool_t *pool, call_t *call, cs_time_us_t now)
{
  const target_index_t *at = find_target (pool, call->target);
  if (at != NULL)
    {
      pool->targets[at->index].load--;
      if (call->settled)
        pool->settled_load[at->index]--;
    }
  if (!call->settled && !call->excluded)
    DL_DELETE (pool->unsettled, call);
  end_organisation_call (pool, call->organisation);
  HASH_DEL (pool->calls, call);
  free (call);
  pool->in_flight--;
  cs_rate_add (&pool->releases, 1, now);
}

/* Weight of one request in the moving average of context lengths.  */
#define MEAN_CONTEXT_WEIGHT (1.0 / 256)

static void
update_mean_context (cs_pool_t *pool, uint32_t tokens)
{
  if (tokens == 0)
    return;
  if (pool->mean_context == 0)
    pool->mean_context = tokens;
  pool->mean_context += (tokens - pool->mean_context) * MEAN_CONTEXT_WEIGHT;
}

static bool
has_live_target (const cs_pool_t *pool, const cs_avoid_list_t *avoid)
{
  for (size_t i = 0; i < pool->count; i++)
    if (pool->targets[i].state == CS_TARGET_LIVE
        && !cs_avoid_list_has (avoid, pool->targets[i].id))
      return true;
  return false;
}

int
cs_pool_place (cs_pool_t *pool, const cs_placement_request_t *request,
               cs_time_us_t now, cs_pool_grant_t *grant)
{
  uint32_t index = 0;
  cs_placement_request_t wanted = *request;
  /* The request is resent if the grant was lost; grant the same target.  */
  const call_t *existing = find_call (pool, request->router, request->call);
  if (existing != NULL)
    {
      grant->target = existing->target;
      grant->why = CS_REASON_FIRST_RANKED;
      return 0;
    }
  /* If the call has failed at every live target, retry an earlier one rather
     than the last, and the last one rather than none.  */
  if (!has_live_target (pool, &wanted.avoid))
    cs_avoid_list_keep_newest (&wanted.avoid);
  if (!has_live_target (pool, &wanted.avoid))
    wanted.avoid.count = 0;
  if (!has_live_target (pool, &wanted.avoid))
    return CS_ERR_NO_TARGET;
  int rc = cs_pool_choose (pool, &wanted, now, &index, &grant->why);
  if (rc != 0)
    return rc;
  update_mean_context (pool, request->context_tokens);
  grant->target = pool->targets[index].id;
  return add_call (pool, request->router, request->call, request->organisation,
                   grant->target, now);
}

int
cs_pool_adopt (cs_pool_t *pool, uint64_t router, uint64_t call,
               uint64_t organisation, uint64_t target, cs_time_us_t now)
{
  if (find_call (pool, router, call) != NULL)
    return 0;
  return add_call (pool, router, call, organisation, target, now);
}

bool
cs_pool_release (cs_pool_t *pool, uint64_t router, uint64_t call,
                 cs_time_us_t now)
{
  call_t *found = find_call (pool, router, call);
  if (found == NULL)
    return false;
  end_call (pool, found, now);
  return true;
}

size_t
cs_pool_drop_router (cs_pool_t *pool, uint64_t router, cs_time_us_t now)
{
  call_t *call, *next;
  size_t dropped = 0;
  HASH_ITER (hh, pool->calls, call, next)
  {
    if (call->key.router != router)
      continue;
    end_call (pool, call, now);
    dropped++;
  }
  return dropped;
}

static void
exclude_from_mean (cs_pool_t *pool, call_t *call)
{
  const target_index_t *at = find_target (pool, call->target);
  if (call->settled && at != NULL)
    pool->settled_load[at->index]--;
  if (!call->settled && !call->excluded)
    DL_DELETE (pool->unsettled, call);
  call->settled = false;
  call->excluded = true;
}

void
cs_pool_exclude_router_from_mean (cs_pool_t *pool, uint64_t router)
{
  call_t *call, *next;
  HASH_ITER (hh, pool->calls, call, next)
  {
    if (call->key.router == router)
      exclude_from_mean (pool, call);
  }
}

void
cs_pool_assume_releases (cs_pool_t *pool, cs_time_us_t now)
{
  double assumed = (double)pool->in_flight / ASSUMED_SERVICE_S;
  double observed = cs_rate_value (&pool->releases, now);
  double window_s = (double)RELEASE_WINDOW_US / (double)CS_US_PER_S;
  if (assumed > observed)
    cs_rate_add (&pool->releases, (assumed - observed) * window_s, now);
}

double
cs_pool_release_rate (const cs_pool_t *pool, cs_time_us_t now)
{
  return cs_rate_value (&pool->releases, now);
}

uint32_t
cs_pool_free_slots (const cs_pool_t *pool)
{
  uint32_t free_slots = 0;
  for (size_t i = 0; i < pool->count; i++)
    if (pool->targets[i].state == CS_TARGET_LIVE
        && pool->targets[i].load < pool->targets[i].slots)
      free_slots += pool->targets[i].slots - pool->targets[i].load;
  return free_slots;
}

uint32_t
cs_pool_in_flight (const cs_pool_t *pool)
{
  return pool->in_flight;
}

uint32_t
cs_pool_in_flight_of (const cs_pool_t *pool, uint64_t organisation)
{
  const organisation_usage_t *usage = find_usage (pool, organisation);
  return usage == NULL ? 0 : usage->in_flight;
}

const cs_pool_target_t *
cs_pool_targets (const cs_pool_t *pool, size_t *count)
{
  *count = pool->count;
  return pool->targets;
}

size_t
cs_pool_explain (cs_pool_t *pool, uint64_t key, cs_time_us_t now,
                 uint64_t *ids, size_t size)
{
  uint32_t ranked[16];
  cs_pool_update_weights (pool, now);
  if (size > 16)
    size = 16;
  size_t count = cs_rank (key, pool->members, pool->count, ranked, size);
  for (size_t i = 0; i < count; i++)
    ids[i] = pool->targets[ranked[i]].id;
  return count;
}

const char *
cs_placement_reason_name (cs_placement_reason_t reason)
{
  switch (reason)
    {
    case CS_REASON_FIRST_RANKED:
      return "first";
    case CS_REASON_SPILL_KEPT:
      return "spill_kept";
    case CS_REASON_SPILL:
      return "spill";
    case CS_REASON_LEAST_LOADED:
      return "least";
    case CS_REASON_BASELINE:
      break;
    }
  return "baseline";
}
