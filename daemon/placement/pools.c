/* The pools of the local region: their targets and owners, and the hand-over
   of calls in flight to a new owner.  */

#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "placement/internal.h"

/* Bounds the size of a HandOver frame; more calls take several frames.  */
#define MAX_HAND_OVER_CALLS 256

/* Time after the start in which peers may not be connected yet.  */
#define PEER_DISCOVERY_US (1 * CS_US_PER_S)

uint64_t
pool_id_of (const cs_placement_t *placement, cs_str_t offering)
{
  uint64_t id
      = cs_hash (offering, cs_hash (cs_name_str (&placement->region), 0));
  return id == 0 ? 1 : id;
}

pool_entry_t *
find_pool_entry (const cs_placement_t *placement, uint64_t pool)
{
  pool_entry_t *entry = NULL;
  HASH_FIND (hh, placement->pools, &pool, sizeof pool, entry);
  return entry;
}

static cs_pool_policy_t
pool_policy (const cs_settings_t *settings, const pool_entry_t *entry)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  if (entry->is_service)
    policy.placement_algorithm = CS_PLACE_LEAST_LOADED;
  policy.cap_factor = entry->cap_percent / 100.0;
  policy.short_factor = settings->short_percent / 100.0;
  if (policy.short_factor > policy.cap_factor)
    policy.short_factor = policy.cap_factor;
  policy.long_share = settings->long_percent / 100.0;
  policy.spill_ranks = settings->spill_ranks;
  policy.settle_us = settings->settle_ms * CS_US_PER_MS;
  policy.ramp_us = settings->ramp_s * CS_US_PER_S;
  return policy;
}

static void
send_grant (void *context, const cs_placement_request_t *request,
            const cs_pool_grant_t *grant)
{
  cs_placement_t *placement = context;
  Cs__Peer__Grant message;
  cs_frame_t frame;
  cs_counters_add (placement->counters, CS_COUNTER_GRANTS, 1);
  if (grant->why == CS_REASON_FIRST_RANKED)
    cs_counters_add (placement->counters, CS_COUNTER_FIRST_CHOICE, 1);
  if (request->router == placement->self)
    {
      complete_waiter (placement, request->call, 0, grant->target, grant->why,
                       0);
      return;
    }
  cs__peer__grant__init (&message);
  message.call = request->call;
  message.target = grant->target;
  message.why = grant->why;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_GRANT;
  frame.grant = &message;
  outbox_add (&placement->outbox, request->router, &frame);
}

static void
send_refusal (void *context, const cs_placement_request_t *request, int error,
              uint32_t retry_after_s)
{
  cs_placement_t *placement = context;
  Cs__Peer__Refusal message;
  cs_frame_t frame;
  cs_counters_add (placement->counters, CS_COUNTER_REFUSALS, 1);
  if (request->router == placement->self)
    {
      complete_waiter (placement, request->call, error, 0, CS_REASON_BASELINE,
                       retry_after_s);
      return;
    }
  cs__peer__refusal__init (&message);
  message.call = request->call;
  message.error = (uint32_t)-error;
  message.retry_after_s = retry_after_s;
  message.not_owner = error == CS_ERR_CONFLICT;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_REFUSAL;
  frame.refusal = &message;
  outbox_add (&placement->outbox, request->router, &frame);
}

int
pool_entry_ensure_owner (cs_placement_t *placement, pool_entry_t *entry,
                         cs_time_us_t now)
{
  cs_owner_policy_t policy = cs_owner_policy_default ();
  cs_owner_callbacks_t callbacks = { placement, send_grant, send_refusal };
  if (entry->owner != NULL)
    return 0;
  policy.pool = pool_policy (placement->settings, entry);
  policy.queue_capacity = placement->settings->queue_length;
  entry->owner = cs_owner_create (&policy, placement->self, &callbacks);
  if (entry->owner == NULL)
    return CS_ERR_NO_MEMORY;
  pool_entry_sync_targets (placement, entry, now);
  return 0;
}

static target_health_t *
find_or_add_health (pool_entry_t *entry, uint64_t target)
{
  target_health_t *health = NULL;
  HASH_FIND (hh, entry->health, &target, sizeof target, health);
  if (health != NULL)
    return health;
  health = calloc (1, sizeof *health);
  if (health == NULL)
    return NULL;
  health->target = target;
  HASH_ADD (hh, entry->health, target, sizeof health->target, health);
  return health;
}

static cs_target_state_t
current_target_state (pool_entry_t *entry, cs_endpoint_t *endpoint,
                      cs_time_us_t now)
{
  target_health_t *health
      = find_or_add_health (entry, cs_endpoint_id (endpoint));
  if (cs_endpoint_is_leaving (endpoint))
    return CS_TARGET_LEAVING;
  if (health == NULL)
    return CS_TARGET_LIVE;
  bool ejected
      = health->unreachable || cs_eject_is_ejected (&health->eject, now);
  if (ejected != health->was_ejected)
    {
      cs_log (ejected ? CS_EV_TARGET_EJECTED : CS_EV_TARGET_RETURNED,
              "target=%s", cs_endpoint_target (endpoint)->name.text);
      health->was_ejected = ejected;
    }
  return ejected ? CS_TARGET_EJECTED : CS_TARGET_LIVE;
}

static bool
is_listed (uint64_t id, cs_endpoint_t *const *list, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (cs_endpoint_id (list[i]) == id)
      return true;
  return false;
}

static void
remove_withdrawn_targets (cs_pool_t *pool, cs_endpoint_t *const *list,
                          size_t count)
{
  size_t known;
  const cs_pool_target_t *targets = cs_pool_targets (pool, &known);
  for (size_t i = known; i > 0; i--)
    if (!is_listed (targets[i - 1].id, list, count))
      cs_pool_remove_target (pool, targets[i - 1].id);
}

static uint32_t
count_not_leaving (cs_endpoint_t *const *list, size_t count)
{
  uint32_t remaining = 0;
  for (size_t i = 0; i < count; i++)
    if (!cs_endpoint_is_leaving (list[i]))
      remaining++;
  return remaining;
}

uint32_t
pool_entry_reported_live (const pool_entry_t *entry)
{
  size_t count;
  uint32_t not_live = 0;
  const cs_pool_target_t *targets
      = cs_pool_targets (cs_owner_pool (entry->owner), &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i].state != CS_TARGET_LIVE)
      not_live++;
  return entry->reported_targets > not_live
             ? entry->reported_targets - not_live
             : 0;
}

static void
set_targets (pool_entry_t *entry, cs_endpoint_t *const *list, size_t count,
             cs_time_us_t now)
{
  cs_pool_t *pool = cs_owner_pool (entry->owner);
  cs_pool_set_reported_targets (pool, 0);
  for (size_t i = 0; i < count; i++)
    {
      /* If memory is exhausted, the next refresh adds the target.  */
      (void)cs_pool_set_target (
          pool, cs_endpoint_id (list[i]), cs_endpoint_target (list[i])->slots,
          current_target_state (entry, list[i], now), false, now);
    }
  remove_withdrawn_targets (pool, list, count);
}

void
pool_entry_sync_targets (cs_placement_t *placement, pool_entry_t *entry,
                         cs_time_us_t now)
{
  cs_endpoint_t **list;
  size_t count = cs_endpoints_list (placement->endpoints,
                                    cs_name_str (&entry->offering), &list);
  entry->target_count = count_not_leaving (list, count);
  entry->reported_targets = 0;
  if (entry->owner != NULL)
    set_targets (entry, list, count, now);
  cs_endpoints_free_list (list, count);
}

static void
count_ejected (const pool_entry_t *entry, cs_time_us_t now, uint32_t *ejected,
               uint32_t *total)
{
  size_t count;
  const cs_pool_target_t *targets
      = cs_pool_targets (cs_owner_pool (entry->owner), &count);
  *total = (uint32_t)count;
  *ejected = 0;
  for (size_t i = 0; i < count; i++)
    if (targets[i].state == CS_TARGET_EJECTED)
      (*ejected)++;
}

static bool
is_target_failure (int error)
{
  return error == CS_ERR_CONNECT || error == CS_ERR_SILENT
         || error == CS_ERR_CUT || error == CS_ERR_WRONG_ANSWER;
}

void
pool_entry_record_result (cs_placement_t *placement, pool_entry_t *entry,
                          uint64_t target, int error, cs_time_us_t now)
{
  cs_eject_policy_t policy = cs_eject_policy_default ();
  uint32_t ejected, total;
  target_health_t *health = find_or_add_health (entry, target);
  if (health == NULL || entry->owner == NULL)
    return;
  if (error == 0)
    {
      cs_eject_success (&health->eject);
      return;
    }
  if (!is_target_failure (error))
    return;
  count_ejected (entry, now, &ejected, &total);
  if (cs_eject_failure (&health->eject, &policy, ejected, total, now))
    pool_entry_sync_targets (placement, entry, now);
}

void
pool_entry_free (pool_entry_t *entry)
{
  target_health_t *health, *next;
  HASH_ITER (hh, entry->health, health, next)
  {
    HASH_DEL (entry->health, health);
    free (health);
  }
  cs_owner_destroy (entry->owner);
  free (entry);
}

static void
update_pool_entry (cs_placement_t *placement, const cs_offering_t *offering)
{
  uint64_t id = pool_id_of (placement, cs_name_str (&offering->name));
  pool_entry_t *entry = find_pool_entry (placement, id);
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return;
      entry->id = id;
      entry->offering = offering->name;
      HASH_ADD (hh, placement->pools, id, sizeof entry->id, entry);
    }
  if (entry->cap_percent == offering->cap_percent
      && entry->is_service == offering->is_service)
    return;
  entry->cap_percent = offering->cap_percent;
  entry->is_service = offering->is_service;
  if (entry->owner != NULL)
    {
      cs_pool_policy_t policy = pool_policy (placement->settings, entry);
      cs_pool_set_policy (cs_owner_pool (entry->owner), &policy);
    }
}

/* Fills CALLS with at most SIZE placed calls of this router in POOL, starting
   at *FROM.  Sets *FROM to the next record, or to NULL at the end.  */
static size_t
collect_own_calls (const cs_placement_t *placement, uint64_t pool,
                   Cs__Peer__Call *calls, size_t size,
                   const placed_record_t **from)
{
  size_t count = 0;
  const placed_record_t *record = *from;
  while (record != NULL && count < size)
    {
      if (record->pool == pool)
        {
          cs__peer__call__init (&calls[count]);
          calls[count].router = placement->self;
          calls[count].call = record->call;
          calls[count].organisation = record->organisation;
          calls[count].target = record->target;
          count++;
        }
      record = record->hh.next;
    }
  *from = record;
  return count;
}

void
pool_entry_hand_over (cs_placement_t *placement, const pool_entry_t *entry)
{
  Cs__Peer__Call calls[MAX_HAND_OVER_CALLS];
  Cs__Peer__Call *pointers[MAX_HAND_OVER_CALLS];
  const placed_record_t *from = placement->placed_calls;
  bool first = true;
  do
    {
      Cs__Peer__HandOver message;
      cs_frame_t frame;
      cs__peer__hand_over__init (&message);
      message.pool = entry->id;
      message.n_calls = collect_own_calls (placement, entry->id, calls,
                                           MAX_HAND_OVER_CALLS, &from);
      for (size_t i = 0; i < message.n_calls; i++)
        pointers[i] = &calls[i];
      message.calls = pointers;
      message.first = first;
      message.last = from == NULL;
      first = false;
      cs__peer__frame__init (&frame);
      frame.body_case = CS__PEER__FRAME__BODY_HAND_OVER;
      frame.hand_over = &message;
      outbox_add (&placement->outbox, entry->owner_id, &frame);
    }
  while (from != NULL);
}

static bool
has_host_handed_over (const pool_entry_t *entry, uint64_t host)
{
  for (size_t i = 0; i < entry->handed_over_count; i++)
    if (entry->handed_over[i] == host)
      return true;
  return false;
}

void
pool_entry_record_hand_over (cs_placement_t *placement, pool_entry_t *entry,
                             uint64_t host, cs_time_us_t now)
{
  if (!has_host_handed_over (entry, host)
      && entry->handed_over_count < MAX_REGION_HOSTS)
    entry->handed_over[entry->handed_over_count++] = host;
  cs_owner_handed_over (entry->owner, host, now);
}

static void
adopt_own_calls (cs_placement_t *placement, pool_entry_t *entry,
                 cs_time_us_t now)
{
  const placed_record_t *record;
  for (record = placement->placed_calls; record != NULL;
       record = record->hh.next)
    if (record->pool == entry->id)
      (void)cs_pool_adopt (cs_owner_pool (entry->owner), placement->self,
                           record->call, record->organisation, record->target,
                           now);
}

/* Starts recovery: no grants until all live hosts of the region have handed
   over their calls.  */
static void
become_owner (cs_placement_t *placement, pool_entry_t *entry, cs_time_us_t now)
{
  uint64_t peers[MAX_REGION_HOSTS];
  uint64_t awaited[MAX_REGION_HOSTS];
  size_t awaited_count = 0;
  if (pool_entry_ensure_owner (placement, entry, now) != 0)
    return;
  size_t count = cs_members_live_peers (placement->members, now, peers,
                                        MAX_REGION_HOSTS);
  for (size_t i = 0; i < count; i++)
    if (!has_host_handed_over (entry, peers[i]))
      awaited[awaited_count++] = peers[i];
  /* A host that has just started may not know its peers yet.  Waiting for id
     0, which no host has, prevents grants until the recovery time is over.  */
  if (now < placement->created + PEER_DISCOVERY_US && awaited_count == 0)
    awaited[awaited_count++] = 0;
  adopt_own_calls (placement, entry, now);
  (void)cs_owner_recover (entry->owner, awaited, awaited_count, now);
}

/* Refuses the queued requests with CS_ERR_CONFLICT, which makes their routers
   send them to the new owner.  */
static void
release_ownership (pool_entry_t *entry, cs_time_us_t now)
{
  if (entry->owner == NULL)
    return;
  cs_owner_refuse_all (entry->owner, CS_ERR_CONFLICT, now);
  cs_owner_destroy (entry->owner);
  entry->owner = NULL;
  entry->handed_over_count = 0;
}

void
resend_pool_waiters (cs_placement_t *placement, uint64_t pool)
{
  waiter_t *waiter;
  for (waiter = placement->waiters; waiter != NULL; waiter = waiter->hh.next)
    if (waiter->pool == pool && !waiter->completed)
      {
        waiter->must_resend = true;
        pthread_cond_signal (&waiter->changed);
      }
}

/* Informs the previous owner that this host now uses another one, so that it
   no longer counts this host's calls in the mean.  */
static void
notify_previous_owner (cs_placement_t *placement, const pool_entry_t *entry)
{
  Cs__Peer__HandOver message;
  cs_frame_t frame;
  cs__peer__hand_over__init (&message);
  message.pool = entry->id;
  message.gone = true;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_HAND_OVER;
  frame.hand_over = &message;
  outbox_add (&placement->outbox, entry->owner_id, &frame);
}

static void
change_owner (cs_placement_t *placement, pool_entry_t *entry,
              uint64_t owner_id, cs_time_us_t now)
{
  bool was_owned = entry->owner_id == placement->self;
  if (!was_owned && entry->owner_id != 0)
    notify_previous_owner (placement, entry);
  entry->owner_id = owner_id;
  if (owner_id == placement->self)
    become_owner (placement, entry, now);
  else
    {
      if (was_owned)
        release_ownership (entry, now);
      pool_entry_hand_over (placement, entry);
    }
  resend_pool_waiters (placement, entry->id);
  cs_log (CS_EV_OWNER_CHANGED, "offering=%s own=%d", entry->offering.text,
          owner_id == placement->self);
}

void
pools_update_owners (cs_placement_t *placement, cs_time_us_t now)
{
  pool_entry_t *entry;
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    {
      uint64_t owner = cs_members_owner (placement->members, entry->id, now);
      if (owner != entry->owner_id)
        change_owner (placement, entry, owner, now);
    }
}

static bool
is_offered (const cs_placement_t *placement, const pool_entry_t *entry,
            const cs_offering_t *offerings, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (pool_id_of (placement, cs_name_str (&offerings[i].name)) == entry->id)
      return true;
  return false;
}

static void
remove_withdrawn_pools (cs_placement_t *placement,
                        const cs_offering_t *offerings, size_t count,
                        cs_time_us_t now)
{
  pool_entry_t *entry, *next;
  HASH_ITER (hh, placement->pools, entry, next)
  {
    if (is_offered (placement, entry, offerings, count))
      continue;
    if (entry->owner != NULL)
      cs_owner_refuse_all (entry->owner, CS_ERR_NO_TARGET, now);
    HASH_DEL (placement->pools, entry);
    pool_entry_free (entry);
  }
}

void
pools_refresh (cs_placement_t *placement, cs_time_us_t now)
{
  cs_offering_t *offerings;
  pool_entry_t *entry;
  const cs_host_t *self = cs_members_self (placement->members);
  cs_configuration_region (placement->configuration,
                           cs_name_str (&self->data_centre),
                           &placement->region);
  size_t count
      = cs_configuration_offerings (placement->configuration, &offerings);
  for (size_t i = 0; i < count; i++)
    update_pool_entry (placement, &offerings[i]);
  remove_withdrawn_pools (placement, offerings, count, now);
  free (offerings);
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    pool_entry_sync_targets (placement, entry, now);
}
