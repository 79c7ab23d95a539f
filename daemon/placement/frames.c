/* The owning side: frames of peers, and what is learned of hosts and targets.
 */

#include "common/log.h"
#include "placement/internal.h"

static void
refuse_as_not_owner (cs_placement_t *placement, uint64_t host, uint64_t call)
{
  Cs__Peer__Refusal message;
  cs_frame_t frame;
  cs__peer__refusal__init (&message);
  message.call = call;
  message.not_owner = true;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_REFUSAL;
  frame.refusal = &message;
  outbox_add (&placement->outbox, host, &frame);
}

static void
handle_ask (cs_placement_t *placement, uint64_t host, const Cs__Peer__Ask *ask,
            cs_time_us_t now)
{
  cs_queue_item_t item = { 0 };
  pool_slot_t *slot = find_slot (placement, ask->pool);
  if (slot == NULL || slot->owner == NULL || slot->owner_id != placement->self)
    {
      refuse_as_not_owner (placement, host, ask->call);
      return;
    }
  /* A target that only the asker has heard of lowers the cap as well.  */
  if (ask->targets > slot->believed)
    {
      slot->believed = ask->targets;
      cs_pool_set_reported_targets (cs_owner_pool (slot->owner),
                                    slot_believed_live (slot));
    }
  item.ask.router = host;
  item.ask.call = ask->call;
  item.ask.organisation = ask->organisation;
  item.ask.key = ask->key;
  item.ask.context_tokens = ask->context_tokens;
  for (size_t i = 0; i < ask->n_avoid; i++)
    cs_avoid_list_add (&item.ask.avoid, ask->avoid[i]);
  item.priority = ask->batch ? CS_PRIORITY_BATCH : CS_PRIORITY_INTERACTIVE;
  item.weight = ask->weight;
  item.enqueued = now;
  item.deadline = now + ask->wait_ms * CS_US_PER_MS;
  cs_owner_ask (slot->owner, &item, now);
  if (cs_owner_queued (slot->owner) > 0)
    pthread_cond_signal (&placement->tick);
}

/* A grant that nobody waits for any more is given back at once.  */
static void
return_grant (cs_placement_t *placement, uint64_t host, uint64_t call)
{
  Cs__Peer__Finish message;
  cs_frame_t frame;
  const placed_call_t *placed = NULL;
  pool_slot_t *slot;
  HASH_FIND (hh, placement->placed, &call, sizeof call, placed);
  if (placed != NULL)
    return;
  cs__peer__finish__init (&message);
  message.call = call;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_FINISH;
  frame.finish = &message;
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    {
      if (slot->owner_id != host)
        continue;
      message.pool = slot->id;
      outbox_add (&placement->outbox, host, &frame);
    }
}

/* The waiter for CALL if HOST is the present owner of its pool, whose word
   alone counts.  */
static waiter_t *
find_waiter_of_owner (const cs_placement_t *placement, uint64_t host,
                      uint64_t call)
{
  waiter_t *waiter = NULL;
  HASH_FIND (hh, placement->waiters, &call, sizeof call, waiter);
  if (waiter == NULL)
    return NULL;
  const pool_slot_t *slot = find_slot (placement, waiter->pool);
  return slot != NULL && slot->owner_id == host ? waiter : NULL;
}

static void
handle_grant (cs_placement_t *placement, uint64_t host,
              const Cs__Peer__Grant *grant)
{
  uint64_t call = grant->call;
  const waiter_t *waiter = find_waiter_of_owner (placement, host, call);
  if (waiter == NULL || waiter->answered)
    {
      return_grant (placement, host, call);
      return;
    }
  cs_placement_reason_t why = grant->why <= CS_REASON_BASELINE
                                  ? (cs_placement_reason_t)grant->why
                                  : CS_REASON_BASELINE;
  complete_waiter (placement, call, 0, grant->target, why, 0);
}

static void
handle_refusal (cs_placement_t *placement, uint64_t host,
                const Cs__Peer__Refusal *refusal)
{
  uint64_t call = refusal->call;
  if (find_waiter_of_owner (placement, host, call) == NULL)
    return;
  if (refusal->not_owner)
    waiter_ask_again (placement, call);
  else
    complete_waiter (placement, call, -(int)(refusal->error % CS_ERROR_COUNT),
                     0, CS_REASON_BASELINE, refusal->retry_after_s);
}

static void
handle_finish (cs_placement_t *placement, uint64_t host,
               const Cs__Peer__Finish *finish, cs_time_us_t now)
{
  pool_slot_t *slot = find_slot (placement, finish->pool);
  if (slot == NULL || slot->owner == NULL)
    return;
  cs_owner_release (slot->owner, host, finish->call, now);
  if (finish->target != 0)
    slot_count_result (placement, slot, finish->target,
                       -(int)(finish->error % CS_ERROR_COUNT), now);
}

static void
handle_hand_over (cs_placement_t *placement, uint64_t host,
                  const Cs__Peer__HandOver *hand_over, cs_time_us_t now)
{
  pool_slot_t *slot = find_slot (placement, hand_over->pool);
  if (slot != NULL && slot->owner != NULL && hand_over->gone)
    {
      cs_pool_exclude_router_from_mean (cs_owner_pool (slot->owner), host);
      return;
    }
  if (slot == NULL || hand_over->gone
      || slot_ensure_owner (placement, slot, now) != 0)
    return;
  /* What ended while no link was up was never told; start from nothing.  */
  if (hand_over->first)
    cs_pool_drop_router (cs_owner_pool (slot->owner), host, now);
  for (size_t i = 0; i < hand_over->n_calls; i++)
    (void)cs_pool_adopt (
        cs_owner_pool (slot->owner), host, hand_over->calls[i]->call,
        hand_over->calls[i]->organisation, hand_over->calls[i]->target, now);
  if (hand_over->last)
    slot_note_handed_over (placement, slot, host, now);
}

void
cs_placement_frame (cs_placement_t *placement, cs_link_t *link,
                    const cs_frame_t *frame)
{
  cs_time_us_t now = cs_clock_now ();
  uint64_t host = cs_link_host (link)->id;
  pthread_mutex_lock (&placement->lock);
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_ASK:
      handle_ask (placement, host, frame->ask, now);
      break;
    case CS__PEER__FRAME__BODY_GRANT:
      handle_grant (placement, host, frame->grant);
      break;
    case CS__PEER__FRAME__BODY_REFUSAL:
      handle_refusal (placement, host, frame->refusal);
      break;
    case CS__PEER__FRAME__BODY_FINISH:
      handle_finish (placement, host, frame->finish, now);
      break;
    case CS__PEER__FRAME__BODY_HAND_OVER:
      handle_hand_over (placement, host, frame->hand_over, now);
      break;
    default:
      break;
    }
  unlock_and_send (placement);
}

static void
forget_handed_over (pool_slot_t *slot, uint64_t host)
{
  for (size_t i = 0; i < slot->handed_over_count; i++)
    if (slot->handed_over[i] == host)
      {
        slot->handed_over[i] = slot->handed_over[--slot->handed_over_count];
        return;
      }
}

void
cs_placement_host_lost (cs_placement_t *placement, uint64_t host)
{
  cs_time_us_t now = cs_clock_now ();
  pool_slot_t *slot;
  pthread_mutex_lock (&placement->lock);
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    {
      forget_handed_over (slot, host);
      if (slot->owner != NULL)
        cs_owner_drop_router (slot->owner, host, now);
    }
  slots_update_owners (placement, now);
  unlock_and_send (placement);
}

void
cs_placement_host_connected (cs_placement_t *placement, uint64_t host)
{
  const pool_slot_t *slot;
  cs_time_us_t now = cs_clock_now ();
  pthread_mutex_lock (&placement->lock);
  slots_update_owners (placement, now);
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    if (slot->owner_id == host)
      {
        slot_hand_over (placement, slot);
        wake_waiters (placement, slot->id);
      }
  unlock_and_send (placement);
}

static pool_slot_t *
slot_of_target (cs_placement_t *placement, uint64_t target)
{
  cs_endpoint_t *endpoint = cs_endpoints_find (placement->endpoints, target);
  if (endpoint == NULL)
    return NULL;
  const cs_target_t *entry = cs_endpoint_target (endpoint);
  pool_slot_t *slot = find_slot (
      placement, pool_id_of (placement, cs_name_str (&entry->offering)));
  cs_endpoint_unref (endpoint);
  return slot;
}

void
cs_placement_report (cs_placement_t *placement, uint64_t target,
                     uint32_t running, cs_time_us_t taken)
{
  pthread_mutex_lock (&placement->lock);
  const pool_slot_t *slot = slot_of_target (placement, target);
  if (slot != NULL && slot->owner != NULL)
    cs_pool_apply_load_report (cs_owner_pool (slot->owner), target, running,
                               taken);
  pthread_mutex_unlock (&placement->lock);
}

static void
set_unreachable (cs_placement_t *placement, uint64_t target, bool unreachable)
{
  cs_time_us_t now = cs_clock_now ();
  target_health_t *health = NULL;
  pthread_mutex_lock (&placement->lock);
  pool_slot_t *slot = slot_of_target (placement, target);
  if (slot != NULL)
    HASH_FIND (hh, slot->health, &target, sizeof target, health);
  if (health != NULL && health->unreachable != unreachable)
    {
      health->unreachable = unreachable;
      slot_sync_targets (placement, slot, now);
    }
  unlock_and_send (placement);
}

void
cs_placement_poll_failed (cs_placement_t *placement, uint64_t target)
{
  set_unreachable (placement, target, true);
}

void
cs_placement_poll_succeeded (cs_placement_t *placement, uint64_t target)
{
  set_unreachable (placement, target, false);
}

void
cs_placement_target_started (cs_placement_t *placement, uint64_t target)
{
  cs_time_us_t now = cs_clock_now ();
  cs_endpoint_t *endpoint = cs_endpoints_find (placement->endpoints, target);
  if (endpoint == NULL)
    return;
  pthread_mutex_lock (&placement->lock);
  pool_slot_t *slot = slot_of_target (placement, target);
  if (slot != NULL && slot->owner != NULL)
    (void)cs_pool_set_target (cs_owner_pool (slot->owner), target,
                              cs_endpoint_target (endpoint)->slots,
                              CS_TARGET_LIVE, true, now);
  pthread_mutex_unlock (&placement->lock);
  cs_endpoint_unref (endpoint);
  cs_placement_refresh (placement);
}
