/* Handling of frames from other routers, and of state changes of hosts and
   targets.  */

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
handle_grant_request (cs_placement_t *placement, uint64_t host,
                      const Cs__Peer__Ask *request, cs_time_us_t now)
{
  cs_queue_item_t item = { 0 };
  pool_entry_t *entry = find_pool_entry (placement, request->pool);
  if (entry == NULL || entry->owner == NULL
      || entry->owner_id != placement->self)
    {
      refuse_as_not_owner (placement, host, request->call);
      return;
    }
  /* The mean load is taken over the largest number of targets that any router
     knows, so a target that only the requester knows lowers the cap too.  */
  if (request->targets > entry->reported_targets)
    {
      entry->reported_targets = request->targets;
      cs_pool_set_reported_targets (cs_owner_pool (entry->owner),
                                    pool_entry_reported_live (entry));
    }
  item.ask.router = host;
  item.ask.call = request->call;
  item.ask.organisation = request->organisation;
  item.ask.key = request->key;
  item.ask.context_tokens = request->context_tokens;
  for (size_t i = 0; i < request->n_avoid; i++)
    cs_avoid_list_add (&item.ask.avoid, request->avoid[i]);
  item.priority = request->batch ? CS_PRIORITY_BATCH : CS_PRIORITY_INTERACTIVE;
  item.weight = request->weight;
  item.enqueued = now;
  item.deadline = now + request->wait_ms * CS_US_PER_MS;
  cs_owner_ask (entry->owner, &item, now);
  if (cs_owner_queued (entry->owner) > 0)
    pthread_cond_signal (&placement->tick);
}

/* Releases a grant whose request no longer waits, unless the call has been
   placed.  A Grant doesn't name its pool, so the call is ended in every pool
   that HOST owns.  */
static void
return_grant (cs_placement_t *placement, uint64_t host, uint64_t call)
{
  Cs__Peer__Finish message;
  cs_frame_t frame;
  const placed_record_t *record = NULL;
  pool_entry_t *entry;
  HASH_FIND (hh, placement->placed_calls, &call, sizeof call, record);
  if (record != NULL)
    return;
  cs__peer__finish__init (&message);
  message.call = call;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_FINISH;
  frame.finish = &message;
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    {
      if (entry->owner_id != host)
        continue;
      message.pool = entry->id;
      outbox_add (&placement->outbox, host, &frame);
    }
}

/* Returns the waiter for CALL if HOST is the present owner of its pool, else
   NULL: responses from a previous owner are ignored.  */
static waiter_t *
find_waiter_of_sender (const cs_placement_t *placement, uint64_t host,
                       uint64_t call)
{
  waiter_t *waiter = NULL;
  HASH_FIND (hh, placement->waiters, &call, sizeof call, waiter);
  if (waiter == NULL)
    return NULL;
  const pool_entry_t *entry = find_pool_entry (placement, waiter->pool);
  return entry != NULL && entry->owner_id == host ? waiter : NULL;
}

static void
handle_grant (cs_placement_t *placement, uint64_t host,
              const Cs__Peer__Grant *grant)
{
  uint64_t call = grant->call;
  const waiter_t *waiter = find_waiter_of_sender (placement, host, call);
  if (waiter == NULL || waiter->completed)
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
  if (find_waiter_of_sender (placement, host, call) == NULL)
    return;
  if (refusal->not_owner)
    resend_waiter (placement, call);
  else
    complete_waiter (placement, call, -(int)(refusal->error % CS_ERROR_COUNT),
                     0, CS_REASON_BASELINE, refusal->retry_after_s);
}

static void
handle_finish (cs_placement_t *placement, uint64_t host,
               const Cs__Peer__Finish *finish, cs_time_us_t now)
{
  pool_entry_t *entry = find_pool_entry (placement, finish->pool);
  if (entry == NULL || entry->owner == NULL)
    return;
  cs_owner_release (entry->owner, host, finish->call, now);
  if (finish->target != 0)
    pool_entry_record_result (placement, entry, finish->target,
                              -(int)(finish->error % CS_ERROR_COUNT), now);
}

static void
handle_hand_over (cs_placement_t *placement, uint64_t host,
                  const Cs__Peer__HandOver *hand_over, cs_time_us_t now)
{
  pool_entry_t *entry = find_pool_entry (placement, hand_over->pool);
  if (entry != NULL && entry->owner != NULL && hand_over->gone)
    {
      cs_pool_exclude_router_from_mean (cs_owner_pool (entry->owner), host);
      return;
    }
  if (entry == NULL || hand_over->gone
      || pool_entry_ensure_owner (placement, entry, now) != 0)
    return;
  /* Calls that ended while the link was down were not reported, so the new
     list replaces the calls known of this host.  */
  if (hand_over->first)
    cs_pool_drop_router (cs_owner_pool (entry->owner), host, now);
  for (size_t i = 0; i < hand_over->n_calls; i++)
    (void)cs_pool_adopt (
        cs_owner_pool (entry->owner), host, hand_over->calls[i]->call,
        hand_over->calls[i]->organisation, hand_over->calls[i]->target, now);
  if (hand_over->last)
    pool_entry_record_hand_over (placement, entry, host, now);
}

void
cs_placement_handle_frame (cs_placement_t *placement, cs_link_t *link,
                           const cs_frame_t *frame)
{
  cs_time_us_t now = cs_clock_now ();
  uint64_t host = cs_link_host (link)->id;
  pthread_mutex_lock (&placement->lock);
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_ASK:
      handle_grant_request (placement, host, frame->ask, now);
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
remove_handed_over (pool_entry_t *entry, uint64_t host)
{
  for (size_t i = 0; i < entry->handed_over_count; i++)
    if (entry->handed_over[i] == host)
      {
        entry->handed_over[i] = entry->handed_over[--entry->handed_over_count];
        return;
      }
}

void
cs_placement_host_lost (cs_placement_t *placement, uint64_t host)
{
  cs_time_us_t now = cs_clock_now ();
  pool_entry_t *entry;
  pthread_mutex_lock (&placement->lock);
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    {
      remove_handed_over (entry, host);
      if (entry->owner != NULL)
        cs_owner_drop_router (entry->owner, host, now);
    }
  pools_update_owners (placement, now);
  unlock_and_send (placement);
}

void
cs_placement_host_connected (cs_placement_t *placement, uint64_t host)
{
  const pool_entry_t *entry;
  cs_time_us_t now = cs_clock_now ();
  pthread_mutex_lock (&placement->lock);
  pools_update_owners (placement, now);
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    if (entry->owner_id == host)
      {
        pool_entry_hand_over (placement, entry);
        resend_pool_waiters (placement, entry->id);
      }
  unlock_and_send (placement);
}

static pool_entry_t *
pool_entry_of_target (cs_placement_t *placement, uint64_t target)
{
  cs_endpoint_t *endpoint = cs_endpoints_find (placement->endpoints, target);
  if (endpoint == NULL)
    return NULL;
  const cs_target_t *target_config = cs_endpoint_target (endpoint);
  pool_entry_t *entry = find_pool_entry (
      placement,
      pool_id_of (placement, cs_name_str (&target_config->offering)));
  cs_endpoint_unref (endpoint);
  return entry;
}

void
cs_placement_apply_load_report (cs_placement_t *placement, uint64_t target,
                                uint32_t running, cs_time_us_t taken)
{
  pthread_mutex_lock (&placement->lock);
  const pool_entry_t *entry = pool_entry_of_target (placement, target);
  if (entry != NULL && entry->owner != NULL)
    cs_pool_apply_load_report (cs_owner_pool (entry->owner), target, running,
                               taken);
  pthread_mutex_unlock (&placement->lock);
}

static void
set_unreachable (cs_placement_t *placement, uint64_t target, bool unreachable)
{
  cs_time_us_t now = cs_clock_now ();
  target_health_t *health = NULL;
  pthread_mutex_lock (&placement->lock);
  pool_entry_t *entry = pool_entry_of_target (placement, target);
  if (entry != NULL)
    HASH_FIND (hh, entry->health, &target, sizeof target, health);
  if (health != NULL && health->unreachable != unreachable)
    {
      health->unreachable = unreachable;
      pool_entry_sync_targets (placement, entry, now);
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
  pool_entry_t *entry = pool_entry_of_target (placement, target);
  if (entry != NULL && entry->owner != NULL)
    (void)cs_pool_set_target (cs_owner_pool (entry->owner), target,
                              cs_endpoint_target (endpoint)->slots,
                              CS_TARGET_LIVE, true, now);
  pthread_mutex_unlock (&placement->lock);
  cs_endpoint_unref (endpoint);
  cs_placement_refresh (placement);
}
