/* The pools of this region: their targets, their owners, and the
   hand-over of calls when an owner changes.  */

#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "placement/internal.h"

/* Calls in one HandOver frame.  */
#define HAND_OVER_CALLS 256

/* Time in which a starting host meets its peers.  */
#define MEET_PEERS_US (1 * CS_US_PER_S)

uint64_t
pool_id_of (const cs_placement_t *placement, cs_str_t offering)
{
  uint64_t id
      = cs_hash (offering, cs_hash (cs_name_str (&placement->region), 0));
  return id == 0 ? 1 : id;
}

pool_slot_t *
find_slot (const cs_placement_t *placement, uint64_t pool)
{
  pool_slot_t *slot = NULL;
  HASH_FIND (hh, placement->slots, &pool, sizeof pool, slot);
  return slot;
}

static cs_pool_policy_t
pool_policy (const cs_settings_t *settings, const pool_slot_t *slot)
{
  cs_pool_policy_t policy = cs_pool_policy_default ();
  if (slot->is_service)
    policy.way = CS_PLACE_LEAST_LOADED;
  policy.cap_factor = slot->cap_percent / 100.0;
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
send_grant (void *context, const cs_placement_request_t *ask,
            const cs_pool_grant_t *grant)
{
  cs_placement_t *placement = context;
  Cs__Peer__Grant message;
  cs_frame_t frame;
  cs_counters_add (placement->counters, CS_COUNTER_GRANTS, 1);
  if (grant->why == CS_REASON_FIRST_RANKED)
    cs_counters_add (placement->counters, CS_COUNTER_FIRST_CHOICE, 1);
  if (ask->router == placement->self)
    {
      complete_waiter (placement, ask->call, 0, grant->target, grant->why, 0);
      return;
    }
  cs__peer__grant__init (&message);
  message.call = ask->call;
  message.target = grant->target;
  message.why = grant->why;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_GRANT;
  frame.grant = &message;
  outbox_add (&placement->outbox, ask->router, &frame);
}

static void
send_refusal (void *context, const cs_placement_request_t *ask, int error,
              uint32_t retry_after_s)
{
  cs_placement_t *placement = context;
  Cs__Peer__Refusal message;
  cs_frame_t frame;
  cs_counters_add (placement->counters, CS_COUNTER_REFUSALS, 1);
  if (ask->router == placement->self)
    {
      complete_waiter (placement, ask->call, error, 0, CS_REASON_BASELINE,
                       retry_after_s);
      return;
    }
  cs__peer__refusal__init (&message);
  message.call = ask->call;
  message.error = (uint32_t)-error;
  message.retry_after_s = retry_after_s;
  message.not_owner = error == CS_ERR_CONFLICT;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_REFUSAL;
  frame.refusal = &message;
  outbox_add (&placement->outbox, ask->router, &frame);
}

int
slot_ensure_owner (cs_placement_t *placement, pool_slot_t *slot,
                   cs_time_us_t now)
{
  cs_owner_policy_t policy = cs_owner_policy_default ();
  cs_owner_callbacks_t effects = { placement, send_grant, send_refusal };
  if (slot->owner != NULL)
    return 0;
  policy.pool = pool_policy (placement->settings, slot);
  policy.queue_capacity = placement->settings->queue_length;
  slot->owner = cs_owner_create (&policy, placement->self, &effects);
  if (slot->owner == NULL)
    return CS_ERR_NO_MEMORY;
  slot_sync_targets (placement, slot, now);
  return 0;
}

static target_health_t *
health_of (pool_slot_t *slot, uint64_t target)
{
  target_health_t *health = NULL;
  HASH_FIND (hh, slot->health, &target, sizeof target, health);
  if (health != NULL)
    return health;
  health = calloc (1, sizeof *health);
  if (health == NULL)
    return NULL;
  health->target = target;
  HASH_ADD (hh, slot->health, target, sizeof health->target, health);
  return health;
}

static cs_target_state_t
state_of (pool_slot_t *slot, cs_endpoint_t *endpoint, cs_time_us_t now)
{
  target_health_t *health = health_of (slot, cs_endpoint_id (endpoint));
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
remove_withdrawn (cs_pool_t *pool, cs_endpoint_t *const *list, size_t count)
{
  size_t known;
  const cs_pool_target_t *targets = cs_pool_targets (pool, &known);
  for (size_t i = known; i > 0; i--)
    if (!is_listed (targets[i - 1].id, list, count))
      cs_pool_remove_target (pool, targets[i - 1].id);
}

static uint32_t
count_staying (cs_endpoint_t *const *list, size_t count)
{
  uint32_t staying = 0;
  for (size_t i = 0; i < count; i++)
    if (!cs_endpoint_is_leaving (list[i]))
      staying++;
  return staying;
}

uint32_t
slot_believed_live (const pool_slot_t *slot)
{
  size_t count;
  uint32_t down = 0;
  const cs_pool_target_t *targets
      = cs_pool_targets (cs_owner_pool (slot->owner), &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i].state != CS_TARGET_LIVE)
      down++;
  return slot->believed > down ? slot->believed - down : 0;
}

static void
set_targets (pool_slot_t *slot, cs_endpoint_t *const *list, size_t count,
             cs_time_us_t now)
{
  cs_pool_t *pool = cs_owner_pool (slot->owner);
  cs_pool_set_reported_targets (pool, 0);
  for (size_t i = 0; i < count; i++)
    {
      /* A target that finds no memory is taken at the next refresh.  */
      (void)cs_pool_set_target (pool, cs_endpoint_id (list[i]),
                                cs_endpoint_target (list[i])->slots,
                                state_of (slot, list[i], now), false, now);
    }
  remove_withdrawn (pool, list, count);
}

void
slot_sync_targets (cs_placement_t *placement, pool_slot_t *slot,
                   cs_time_us_t now)
{
  cs_endpoint_t **list;
  size_t count = cs_endpoints_list (placement->endpoints,
                                    cs_name_str (&slot->offering), &list);
  slot->target_count = count_staying (list, count);
  slot->believed = 0;
  if (slot->owner != NULL)
    set_targets (slot, list, count, now);
  cs_endpoints_free_list (list, count);
}

static void
count_ejected (const pool_slot_t *slot, cs_time_us_t now, uint32_t *ejected,
               uint32_t *total)
{
  size_t count;
  const cs_pool_target_t *targets
      = cs_pool_targets (cs_owner_pool (slot->owner), &count);
  *total = (uint32_t)count;
  *ejected = 0;
  for (size_t i = 0; i < count; i++)
    if (targets[i].state == CS_TARGET_EJECTED)
      (*ejected)++;
}

static bool
is_target_fault (int error)
{
  return error == CS_ERR_CONNECT || error == CS_ERR_SILENT
         || error == CS_ERR_CUT || error == CS_ERR_WRONG_ANSWER;
}

void
slot_count_result (cs_placement_t *placement, pool_slot_t *slot,
                   uint64_t target, int error, cs_time_us_t now)
{
  cs_eject_policy_t policy = cs_eject_policy_default ();
  uint32_t ejected, total;
  target_health_t *health = health_of (slot, target);
  if (health == NULL || slot->owner == NULL)
    return;
  if (error == 0)
    {
      cs_eject_success (&health->eject);
      return;
    }
  if (!is_target_fault (error))
    return;
  count_ejected (slot, now, &ejected, &total);
  if (cs_eject_failure (&health->eject, &policy, ejected, total, now))
    slot_sync_targets (placement, slot, now);
}

void
slot_free (pool_slot_t *slot)
{
  target_health_t *health, *next;
  HASH_ITER (hh, slot->health, health, next)
  {
    HASH_DEL (slot->health, health);
    free (health);
  }
  cs_owner_destroy (slot->owner);
  free (slot);
}

static void
add_slot (cs_placement_t *placement, const cs_offering_t *offering)
{
  uint64_t id = pool_id_of (placement, cs_name_str (&offering->name));
  pool_slot_t *slot = find_slot (placement, id);
  if (slot == NULL)
    {
      slot = calloc (1, sizeof *slot);
      if (slot == NULL)
        return;
      slot->id = id;
      slot->offering = offering->name;
      HASH_ADD (hh, placement->slots, id, sizeof slot->id, slot);
    }
  if (slot->cap_percent == offering->cap_percent
      && slot->is_service == offering->is_service)
    return;
  slot->cap_percent = offering->cap_percent;
  slot->is_service = offering->is_service;
  if (slot->owner != NULL)
    {
      cs_pool_policy_t policy = pool_policy (placement->settings, slot);
      cs_pool_set_policy (cs_owner_pool (slot->owner), &policy);
    }
}

/* Calls of this router in POOL, as frames to host OWNER.  */
static size_t
collect_own_calls (const cs_placement_t *placement, uint64_t pool,
                   Cs__Peer__Call *calls, size_t size,
                   const placed_call_t **from)
{
  size_t count = 0;
  const placed_call_t *placed = *from;
  while (placed != NULL && count < size)
    {
      if (placed->pool == pool)
        {
          cs__peer__call__init (&calls[count]);
          calls[count].router = placement->self;
          calls[count].call = placed->call;
          calls[count].organisation = placed->organisation;
          calls[count].target = placed->target;
          count++;
        }
      placed = placed->hh.next;
    }
  *from = placed;
  return count;
}

void
slot_hand_over (cs_placement_t *placement, const pool_slot_t *slot)
{
  Cs__Peer__Call calls[HAND_OVER_CALLS];
  Cs__Peer__Call *pointers[HAND_OVER_CALLS];
  const placed_call_t *from = placement->placed;
  bool first = true;
  do
    {
      Cs__Peer__HandOver message;
      cs_frame_t frame;
      cs__peer__hand_over__init (&message);
      message.pool = slot->id;
      message.n_calls = collect_own_calls (placement, slot->id, calls,
                                           HAND_OVER_CALLS, &from);
      for (size_t i = 0; i < message.n_calls; i++)
        pointers[i] = &calls[i];
      message.calls = pointers;
      message.first = first;
      message.last = from == NULL;
      first = false;
      cs__peer__frame__init (&frame);
      frame.body_case = CS__PEER__FRAME__BODY_HAND_OVER;
      frame.hand_over = &message;
      outbox_add (&placement->outbox, slot->owner_id, &frame);
    }
  while (from != NULL);
}

static bool
has_handed_over (const pool_slot_t *slot, uint64_t host)
{
  for (size_t i = 0; i < slot->handed_over_count; i++)
    if (slot->handed_over[i] == host)
      return true;
  return false;
}

void
slot_note_handed_over (cs_placement_t *placement, pool_slot_t *slot,
                       uint64_t host, cs_time_us_t now)
{
  if (!has_handed_over (slot, host)
      && slot->handed_over_count < NEAR_HOSTS_MAX)
    slot->handed_over[slot->handed_over_count++] = host;
  cs_owner_handed_over (slot->owner, host, now);
}

static void
adopt_own_calls (cs_placement_t *placement, pool_slot_t *slot,
                 cs_time_us_t now)
{
  const placed_call_t *placed;
  for (placed = placement->placed; placed != NULL; placed = placed->hh.next)
    if (placed->pool == slot->id)
      (void)cs_pool_adopt (cs_owner_pool (slot->owner), placement->self,
                           placed->call, placed->organisation, placed->target,
                           now);
}

/* Takes ownership: waits for the calls of all live neighbours first.  */
static void
become_owner (cs_placement_t *placement, pool_slot_t *slot, cs_time_us_t now)
{
  uint64_t peers[NEAR_HOSTS_MAX];
  uint64_t awaited[NEAR_HOSTS_MAX];
  size_t awaited_count = 0;
  if (slot_ensure_owner (placement, slot, now) != 0)
    return;
  size_t count
      = cs_members_live_peers (placement->members, now, peers, NEAR_HOSTS_MAX);
  for (size_t i = 0; i < count; i++)
    if (!has_handed_over (slot, peers[i]))
      awaited[awaited_count++] = peers[i];
  /* A host that has just started may not have met its peers yet; an id that
     nobody has keeps it from granting until the recovery time is over.  */
  if (now < placement->created + MEET_PEERS_US && awaited_count == 0)
    awaited[awaited_count++] = 0;
  adopt_own_calls (placement, slot, now);
  (void)cs_owner_recover (slot->owner, awaited, awaited_count, now);
}

/* Gives ownership up: asks that wait here are asked again elsewhere.  */
static void
stop_owning (pool_slot_t *slot, cs_time_us_t now)
{
  if (slot->owner == NULL)
    return;
  cs_owner_refuse_all (slot->owner, CS_ERR_CONFLICT, now);
  cs_owner_destroy (slot->owner);
  slot->owner = NULL;
  slot->handed_over_count = 0;
}

void
wake_waiters (cs_placement_t *placement, uint64_t pool)
{
  waiter_t *waiter;
  for (waiter = placement->waiters; waiter != NULL; waiter = waiter->hh.next)
    if (waiter->pool == pool && !waiter->answered)
      {
        waiter->ask_again = true;
        pthread_cond_signal (&waiter->changed);
      }
}

/* Tells the owner so far that this host asks another one now.  */
static void
leave_owner (cs_placement_t *placement, const pool_slot_t *slot)
{
  Cs__Peer__HandOver message;
  cs_frame_t frame;
  cs__peer__hand_over__init (&message);
  message.pool = slot->id;
  message.gone = true;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_HAND_OVER;
  frame.hand_over = &message;
  outbox_add (&placement->outbox, slot->owner_id, &frame);
}

static void
change_owner (cs_placement_t *placement, pool_slot_t *slot, uint64_t owner_id,
              cs_time_us_t now)
{
  bool was_own = slot->owner_id == placement->self;
  if (!was_own && slot->owner_id != 0)
    leave_owner (placement, slot);
  slot->owner_id = owner_id;
  if (owner_id == placement->self)
    become_owner (placement, slot, now);
  else
    {
      if (was_own)
        stop_owning (slot, now);
      slot_hand_over (placement, slot);
    }
  wake_waiters (placement, slot->id);
  cs_log (CS_EV_OWNER_CHANGED, "offering=%s own=%d", slot->offering.text,
          owner_id == placement->self);
}

void
slots_update_owners (cs_placement_t *placement, cs_time_us_t now)
{
  pool_slot_t *slot;
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    {
      uint64_t owner = cs_members_owner (placement->members, slot->id, now);
      if (owner != slot->owner_id)
        change_owner (placement, slot, owner, now);
    }
}

static bool
is_offered (const cs_placement_t *placement, const pool_slot_t *slot,
            const cs_offering_t *offerings, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (pool_id_of (placement, cs_name_str (&offerings[i].name)) == slot->id)
      return true;
  return false;
}

static void
remove_withdrawn_slots (cs_placement_t *placement,
                        const cs_offering_t *offerings, size_t count,
                        cs_time_us_t now)
{
  pool_slot_t *slot, *next;
  HASH_ITER (hh, placement->slots, slot, next)
  {
    if (is_offered (placement, slot, offerings, count))
      continue;
    if (slot->owner != NULL)
      cs_owner_refuse_all (slot->owner, CS_ERR_NO_TARGET, now);
    HASH_DEL (placement->slots, slot);
    slot_free (slot);
  }
}

void
slots_refresh (cs_placement_t *placement, cs_time_us_t now)
{
  cs_offering_t *offerings;
  pool_slot_t *slot;
  const cs_host_t *self = cs_members_self (placement->members);
  cs_configuration_region (placement->configuration,
                           cs_name_str (&self->data_centre),
                           &placement->region);
  size_t count
      = cs_configuration_offerings (placement->configuration, &offerings);
  for (size_t i = 0; i < count; i++)
    add_slot (placement, &offerings[i]);
  remove_withdrawn_slots (placement, offerings, count, now);
  free (offerings);
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    slot_sync_targets (placement, slot, now);
}
