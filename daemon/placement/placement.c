/* Creation and destruction of daemon placement, its thread, and the requests
   for grants to the owners of pools.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/hash.h"
#include "placement/internal.h"

/* Interval of the placement thread while requests are queued, and while none
   are.  */
#define QUEUED_TICK_MS 2
#define IDLE_TICK_MS 100

/* Delay before a request is sent again whose receiver was not the owner.  */
#define RESEND_DELAY_MS 10

/* Time without a response after which a request is sent again: it or its
   response may have been lost with a link.  An owner that has received it
   before recognises the repetition.  */
#define RESPONSE_TIMEOUT_MS 500

cs_placement_t *
cs_placement_create (const cs_settings_t *settings, cs_members_t *members,
                     cs_configuration_t *configuration,
                     cs_endpoints_t *endpoints, cs_counters_t *counters)
{
  cs_placement_t *placement = calloc (1, sizeof *placement);
  pthread_condattr_t monotonic;
  if (placement == NULL)
    return NULL;
  placement->settings = settings;
  placement->members = members;
  placement->configuration = configuration;
  placement->endpoints = endpoints;
  placement->counters = counters;
  placement->self = cs_members_self (members)->id;
  placement->created = cs_clock_now ();
  pthread_mutex_init (&placement->lock, NULL);
  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&placement->tick, &monotonic);
  pthread_condattr_destroy (&monotonic);
  return placement;
}

void
unlock_and_send (cs_placement_t *placement)
{
  outbox_t outbox = placement->outbox;
  memset (&placement->outbox, 0, sizeof placement->outbox);
  pthread_mutex_unlock (&placement->lock);
  outbox_send (&outbox, placement->peers);
}

static struct timespec
monotonic_after_ms (uint64_t ms)
{
  struct timespec time;
  clock_gettime (CLOCK_MONOTONIC, &time);
  time.tv_sec += (time_t)(ms / 1000);
  time.tv_nsec += (long)(ms % 1000) * 1000000L;
  if (time.tv_nsec >= 1000000000L)
    {
      time.tv_nsec -= 1000000000L;
      time.tv_sec++;
    }
  return time;
}

/* Returns whether requests are queued in any pool that this host owns.  */
static bool
tick_owners (cs_placement_t *placement, cs_time_us_t now)
{
  pool_entry_t *entry;
  bool queued = false;
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    {
      if (entry->owner == NULL || entry->owner_id != placement->self)
        continue;
      cs_owner_tick (entry->owner, now);
      if (cs_owner_queued (entry->owner) > 0)
        queued = true;
    }
  return queued;
}

static void *
run_tick_thread (void *argument)
{
  cs_placement_t *placement = argument;
  cs_time_us_t last_sync = 0;
  bool has_release = false;
  pthread_mutex_lock (&placement->lock);
  while (!placement->stopping)
    {
      cs_time_us_t now = cs_clock_now ();
      /* Ejections end by time, so targets are refreshed periodically.  */
      if (placement->refresh || now > last_sync + 200 * CS_US_PER_MS)
        {
          /* cs_placement_refresh is called once the targets of a release are
             installed.  A periodic refresh may see a release of which only a
             part is installed, so it doesn't count.  */
          if (placement->refresh
              && cs_configuration_revision (placement->configuration) > 0)
            has_release = true;
          placement->refresh = false;
          last_sync = now;
          pools_refresh (placement, now);
        }
      pools_update_owners (placement, now);
      placement->has_pools = placement->has_pools || has_release;
      bool queued = tick_owners (placement, now);
      unlock_and_send (placement);
      pthread_mutex_lock (&placement->lock);
      struct timespec next_tick
          = monotonic_after_ms (queued ? QUEUED_TICK_MS : IDLE_TICK_MS);
      if (!placement->stopping && !placement->refresh)
        pthread_cond_timedwait (&placement->tick, &placement->lock,
                                &next_tick);
    }
  pthread_mutex_unlock (&placement->lock);
  return NULL;
}

int
cs_placement_start (cs_placement_t *placement, cs_peers_t *peers)
{
  placement->peers = peers;
  if (pthread_create (&placement->thread, NULL, run_tick_thread, placement)
      != 0)
    return CS_ERR_NO_MEMORY;
  placement->thread_started = true;
  return 0;
}

void
cs_placement_stop (cs_placement_t *placement)
{
  pthread_mutex_lock (&placement->lock);
  placement->stopping = true;
  pthread_cond_signal (&placement->tick);
  pthread_mutex_unlock (&placement->lock);
  if (placement->thread_started)
    pthread_join (placement->thread, NULL);
  placement->thread_started = false;
  pthread_mutex_lock (&placement->lock);
  placement->peers = NULL;
  pthread_mutex_unlock (&placement->lock);
}

void
cs_placement_destroy (cs_placement_t *placement)
{
  pool_entry_t *entry, *next_entry;
  placed_record_t *record, *next_record;
  if (placement == NULL)
    return;
  HASH_ITER (hh, placement->pools, entry, next_entry)
  {
    HASH_DEL (placement->pools, entry);
    pool_entry_free (entry);
  }
  HASH_ITER (hh, placement->placed_calls, record, next_record)
  {
    HASH_DEL (placement->placed_calls, record);
    free (record);
  }
  outbox_send (&placement->outbox, NULL);
  pthread_cond_destroy (&placement->tick);
  pthread_mutex_destroy (&placement->lock);
  free (placement);
}

static waiter_t *
find_waiter (const cs_placement_t *placement, uint64_t call)
{
  waiter_t *waiter = NULL;
  HASH_FIND (hh, placement->waiters, &call, sizeof call, waiter);
  return waiter;
}

void
complete_waiter (cs_placement_t *placement, uint64_t call, int error,
                 uint64_t target, cs_placement_reason_t why,
                 uint32_t retry_after_s)
{
  waiter_t *waiter = find_waiter (placement, call);
  if (waiter == NULL || waiter->completed)
    return;
  if (error == CS_ERR_CONFLICT)
    {
      waiter->must_resend = true;
      pthread_cond_signal (&waiter->changed);
      return;
    }
  waiter->completed = true;
  waiter->error = error;
  waiter->target = target;
  waiter->why = why;
  waiter->retry_after_s = retry_after_s;
  pthread_cond_signal (&waiter->changed);
}

void
resend_waiter (cs_placement_t *placement, uint64_t call)
{
  complete_waiter (placement, call, CS_ERR_CONFLICT, 0, CS_REASON_BASELINE, 0);
}

static void
fill_queue_item (const cs_placement_t *placement,
                 const cs_grant_request_t *request, uint64_t call,
                 cs_time_us_t now, cs_queue_item_t *item)
{
  memset (item, 0, sizeof *item);
  item->ask.router = placement->self;
  item->ask.call = call;
  item->ask.organisation = request->organisation;
  item->ask.key = request->key;
  item->ask.context_tokens = request->context_tokens;
  item->ask.avoid = request->avoid;
  item->priority
      = request->batch ? CS_PRIORITY_BATCH : CS_PRIORITY_INTERACTIVE;
  item->weight = request->weight == 0 ? 1 : request->weight;
  item->deadline = request->deadline;
  item->enqueued = now;
}

static void
send_grant_request (cs_placement_t *placement, const pool_entry_t *entry,
                    const cs_grant_request_t *request, uint64_t call,
                    cs_time_us_t now)
{
  Cs__Peer__Ask message;
  cs_frame_t frame;
  cs_avoid_list_t avoid = request->avoid;
  cs__peer__ask__init (&message);
  message.pool = entry->id;
  message.call = call;
  message.organisation = request->organisation;
  message.key = request->key;
  message.context_tokens = request->context_tokens;
  message.batch = request->batch;
  message.weight = request->weight == 0 ? 1 : request->weight;
  message.wait_ms = request->deadline > now
                        ? (uint32_t)((request->deadline - now) / CS_US_PER_MS)
                        : 0;
  message.n_avoid = request->avoid.count;
  message.avoid = avoid.ids;
  message.targets = entry->target_count;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_ASK;
  frame.ask = &message;
  outbox_add (&placement->outbox, entry->owner_id, &frame);
}

/* Sends the request to the present owner, or queues it if that is this host.
   Call with the lock held.  */
static int
request_from_owner (cs_placement_t *placement,
                    const cs_grant_request_t *request, waiter_t *waiter,
                    cs_time_us_t now)
{
  pool_entry_t *entry = find_pool_entry (placement, waiter->pool);
  if (entry == NULL)
    return CS_ERR_NO_TARGET;
  cs_counters_add (placement->counters, CS_COUNTER_ASKS, 1);
  if (entry->owner_id == placement->self && entry->owner != NULL)
    {
      cs_queue_item_t item;
      fill_queue_item (placement, request, waiter->call, now, &item);
      cs_owner_ask (entry->owner, &item, now);
      /* The placement thread may be waiting for IDLE_TICK_MS.  */
      if (cs_owner_queued (entry->owner) > 0)
        pthread_cond_signal (&placement->tick);
      return 0;
    }
  send_grant_request (placement, entry, request, waiter->call, now);
  return 0;
}

static void
wait_for_response (cs_placement_t *placement, waiter_t *waiter,
                   cs_time_us_t deadline)
{
  cs_time_us_t now = cs_clock_now ();
  while (!waiter->completed && !waiter->must_resend && now < deadline)
    {
      struct timespec wake_time
          = monotonic_after_ms ((deadline - now) / CS_US_PER_MS + 1);
      pthread_cond_timedwait (&waiter->changed, &placement->lock, &wake_time);
      now = cs_clock_now ();
    }
}

/* Records a granted call, so that it can be handed over to a new owner.
   Returns CS_ERR_NO_MEMORY if that fails; the caller then releases the
   call.  */
static int
record_placed_call (cs_placement_t *placement,
                    const cs_grant_request_t *request, const waiter_t *waiter)
{
  placed_record_t *record = calloc (1, sizeof *record);
  if (record == NULL)
    return CS_ERR_NO_MEMORY;
  record->call = waiter->call;
  record->pool = waiter->pool;
  record->organisation = request->organisation;
  record->target = waiter->target;
  HASH_ADD (hh, placement->placed_calls, call, sizeof record->call, record);
  return 0;
}

/* Reports the end of CALL to the owner.  TARGET is 0 if the call used no
   target.  Call with the lock held.  */
static void
release_call (cs_placement_t *placement, uint64_t pool, uint64_t call,
              uint64_t target, int error, cs_time_us_t now)
{
  Cs__Peer__Finish message;
  cs_frame_t frame;
  pool_entry_t *entry = find_pool_entry (placement, pool);
  if (entry == NULL)
    return;
  if (entry->owner_id == placement->self && entry->owner != NULL)
    {
      cs_owner_release (entry->owner, placement->self, call, now);
      if (target != 0)
        pool_entry_record_result (placement, entry, target, error, now);
      return;
    }
  cs__peer__finish__init (&message);
  message.pool = pool;
  message.call = call;
  message.target = target;
  message.error = (uint32_t)-error;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_FINISH;
  frame.finish = &message;
  outbox_add (&placement->outbox, entry->owner_id, &frame);
}

/* Repeats the request until there is a response or the deadline has passed.
   Call with the lock held; it is released while waiting.  */
static void
request_until_completed (cs_placement_t *placement,
                         const cs_grant_request_t *request, waiter_t *waiter)
{
  cs_time_us_t now = cs_clock_now ();
  while (!waiter->completed && now < request->deadline)
    {
      waiter->must_resend = false;
      int rc = request_from_owner (placement, request, waiter, now);
      if (rc != 0)
        {
          waiter->error = rc;
          return;
        }
      unlock_and_send (placement);
      pthread_mutex_lock (&placement->lock);
      cs_time_us_t response_deadline
          = cs_clock_now () + RESPONSE_TIMEOUT_MS * CS_US_PER_MS;
      wait_for_response (placement, waiter,
                         response_deadline < request->deadline
                             ? response_deadline
                             : request->deadline);
      if (waiter->must_resend && !waiter->completed)
        {
          struct timespec resend_time = monotonic_after_ms (RESEND_DELAY_MS);
          pthread_cond_timedwait (&waiter->changed, &placement->lock,
                                  &resend_time);
        }
      now = cs_clock_now ();
    }
  if (!waiter->completed)
    waiter->error = CS_ERR_DEADLINE;
}

int
cs_placement_request_grant (cs_placement_t *placement,
                            const cs_grant_request_t *request,
                            cs_placed_call_t *out, uint32_t *retry_after_s)
{
  waiter_t waiter = { 0 };
  pthread_condattr_t monotonic;
  pthread_condattr_init (&monotonic);
  pthread_condattr_setclock (&monotonic, CLOCK_MONOTONIC);
  pthread_cond_init (&waiter.changed, &monotonic);
  pthread_condattr_destroy (&monotonic);

  pthread_mutex_lock (&placement->lock);
  waiter.pool = pool_id_of (placement, request->offering);
  waiter.call = ++placement->last_call;
  HASH_ADD (hh, placement->waiters, call, sizeof waiter.call, &waiter);
  request_until_completed (placement, request, &waiter);
  HASH_DEL (placement->waiters, &waiter);
  int rc = waiter.error;
  if (rc == 0)
    rc = record_placed_call (placement, request, &waiter);
  if (rc != 0)
    release_call (placement, waiter.pool, waiter.call, 0, 0, cs_clock_now ());
  unlock_and_send (placement);

  pthread_cond_destroy (&waiter.changed);
  out->pool = waiter.pool;
  out->call = waiter.call;
  out->target = waiter.target;
  out->why = waiter.why;
  *retry_after_s = waiter.retry_after_s == 0 ? 1 : waiter.retry_after_s;
  return rc;
}

void
cs_placement_finish (cs_placement_t *placement,
                     const cs_placed_call_t *placed_call, int error)
{
  placed_record_t *record = NULL;
  pthread_mutex_lock (&placement->lock);
  HASH_FIND (hh, placement->placed_calls, &placed_call->call,
             sizeof placed_call->call, record);
  if (record != NULL)
    {
      HASH_DEL (placement->placed_calls, record);
      free (record);
      release_call (placement, placed_call->pool, placed_call->call,
                    placed_call->target, error, cs_clock_now ());
    }
  unlock_and_send (placement);
}

bool
cs_placement_has_pools (cs_placement_t *placement)
{
  pthread_mutex_lock (&placement->lock);
  bool has_pools = placement->has_pools;
  pthread_mutex_unlock (&placement->lock);
  return has_pools;
}

void
cs_placement_refresh (cs_placement_t *placement)
{
  pthread_mutex_lock (&placement->lock);
  placement->refresh = true;
  pthread_cond_signal (&placement->tick);
  pthread_mutex_unlock (&placement->lock);
}

size_t
cs_placement_in_flight (cs_placement_t *placement)
{
  pthread_mutex_lock (&placement->lock);
  size_t count
      = HASH_COUNT (placement->placed_calls) + HASH_COUNT (placement->waiters);
  pthread_mutex_unlock (&placement->lock);
  return count;
}
