/* The asking side, the ticking thread, and life and death of daemon
   placement.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/hash.h"
#include "placement/internal.h"

/* Pause of the ticking thread: short while asks are queued.  */
#define TICK_BUSY_MS 2
#define TICK_IDLE_MS 100

/* An ask whose owner did not take it is sent again after this time.  */
#define ASK_AGAIN_MS 10

/* An ask without any answer is sent again after this time: it, or the answer
   to it, may have been lost with a link.  The owner knows it if not.  */
#define ASK_REPEAT_MS 500

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
after_ms (uint64_t ms)
{
  struct timespec until;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += (time_t)(ms / 1000);
  until.tv_nsec += (long)(ms % 1000) * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_nsec -= 1000000000L;
      until.tv_sec++;
    }
  return until;
}

/* Returns whether any owned pool has asks that wait.  */
static bool
tick_owners (cs_placement_t *placement, cs_time_us_t now)
{
  pool_slot_t *slot;
  bool queued = false;
  for (slot = placement->slots; slot != NULL; slot = slot->hh.next)
    {
      if (slot->owner == NULL || slot->owner_id != placement->self)
        continue;
      cs_owner_tick (slot->owner, now);
      if (cs_owner_queued (slot->owner) > 0)
        queued = true;
    }
  return queued;
}

static void *
run_ticks (void *argument)
{
  cs_placement_t *placement = argument;
  cs_time_us_t last_sync = 0;
  bool has_release = false;
  pthread_mutex_lock (&placement->lock);
  while (!placement->stopping)
    {
      cs_time_us_t now = cs_clock_now ();
      /* Ejections end by time, so targets are looked at now and then.  */
      if (placement->refresh || now > last_sync + 200 * CS_US_PER_MS)
        {
          /* A refresh is asked for once a release's targets are in place; one
             may be half installed at the other times.  */
          if (placement->refresh
              && cs_configuration_revision (placement->configuration) > 0)
            has_release = true;
          placement->refresh = false;
          last_sync = now;
          slots_refresh (placement, now);
        }
      slots_update_owners (placement, now);
      placement->has_pools = placement->has_pools || has_release;
      bool queued = tick_owners (placement, now);
      unlock_and_send (placement);
      pthread_mutex_lock (&placement->lock);
      struct timespec until = after_ms (queued ? TICK_BUSY_MS : TICK_IDLE_MS);
      if (!placement->stopping && !placement->refresh)
        pthread_cond_timedwait (&placement->tick, &placement->lock, &until);
    }
  pthread_mutex_unlock (&placement->lock);
  return NULL;
}

int
cs_placement_start (cs_placement_t *placement, cs_peers_t *peers)
{
  placement->peers = peers;
  if (pthread_create (&placement->thread, NULL, run_ticks, placement) != 0)
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
  pool_slot_t *slot, *next_slot;
  placed_call_t *placed, *next_placed;
  if (placement == NULL)
    return;
  HASH_ITER (hh, placement->slots, slot, next_slot)
  {
    HASH_DEL (placement->slots, slot);
    slot_free (slot);
  }
  HASH_ITER (hh, placement->placed, placed, next_placed)
  {
    HASH_DEL (placement->placed, placed);
    free (placed);
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
  if (waiter == NULL || waiter->answered)
    return;
  if (error == CS_ERR_CONFLICT)
    {
      waiter->ask_again = true;
      pthread_cond_signal (&waiter->changed);
      return;
    }
  waiter->answered = true;
  waiter->error = error;
  waiter->target = target;
  waiter->why = why;
  waiter->retry_after_s = retry_after_s;
  pthread_cond_signal (&waiter->changed);
}

void
waiter_ask_again (cs_placement_t *placement, uint64_t call)
{
  complete_waiter (placement, call, CS_ERR_CONFLICT, 0, CS_REASON_BASELINE, 0);
}

static void
fill_item (const cs_placement_t *placement, const cs_place_request_t *request,
           uint64_t call, cs_time_us_t now, cs_queue_item_t *item)
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
send_ask (cs_placement_t *placement, const pool_slot_t *slot,
          const cs_place_request_t *request, uint64_t call, cs_time_us_t now)
{
  Cs__Peer__Ask message;
  cs_frame_t frame;
  cs_avoid_list_t avoid = request->avoid;
  cs__peer__ask__init (&message);
  message.pool = slot->id;
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
  message.targets = slot->target_count;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_ASK;
  frame.ask = &message;
  outbox_add (&placement->outbox, slot->owner_id, &frame);
}

/* Asks the present owner, with the lock held.  */
static int
ask_owner (cs_placement_t *placement, const cs_place_request_t *request,
           waiter_t *waiter, cs_time_us_t now)
{
  pool_slot_t *slot = find_slot (placement, waiter->pool);
  if (slot == NULL)
    return CS_ERR_NO_TARGET;
  cs_counters_add (placement->counters, CS_COUNTER_ASKS, 1);
  if (slot->owner_id == placement->self && slot->owner != NULL)
    {
      cs_queue_item_t item;
      fill_item (placement, request, waiter->call, now, &item);
      cs_owner_ask (slot->owner, &item, now);
      /* The ticking thread may be in its long pause.  */
      if (cs_owner_queued (slot->owner) > 0)
        pthread_cond_signal (&placement->tick);
      return 0;
    }
  send_ask (placement, slot, request, waiter->call, now);
  return 0;
}

static void
wait_for_answer (cs_placement_t *placement, waiter_t *waiter,
                 cs_time_us_t deadline)
{
  cs_time_us_t now = cs_clock_now ();
  while (!waiter->answered && !waiter->ask_again && now < deadline)
    {
      struct timespec until = after_ms ((deadline - now) / CS_US_PER_MS + 1);
      pthread_cond_timedwait (&waiter->changed, &placement->lock, &until);
      now = cs_clock_now ();
    }
}

/* Keeps a placed call in the table, or fails as if it had not been placed.  */
static int
keep_placed (cs_placement_t *placement, const cs_place_request_t *request,
             const waiter_t *waiter)
{
  placed_call_t *placed = calloc (1, sizeof *placed);
  if (placed == NULL)
    return CS_ERR_NO_MEMORY;
  placed->call = waiter->call;
  placed->pool = waiter->pool;
  placed->organisation = request->organisation;
  placed->target = waiter->target;
  HASH_ADD (hh, placement->placed, call, sizeof placed->call, placed);
  return 0;
}

/* Tells the owner that CALL is over, with the lock held.  */
static void
release_call (cs_placement_t *placement, uint64_t pool, uint64_t call,
              uint64_t target, int error, cs_time_us_t now)
{
  Cs__Peer__Finish message;
  cs_frame_t frame;
  pool_slot_t *slot = find_slot (placement, pool);
  if (slot == NULL)
    return;
  if (slot->owner_id == placement->self && slot->owner != NULL)
    {
      cs_owner_release (slot->owner, placement->self, call, now);
      if (target != 0)
        slot_count_result (placement, slot, target, error, now);
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
  outbox_add (&placement->outbox, slot->owner_id, &frame);
}

/* Asks until there is an answer or the deadline has passed; lock held.  */
static void
ask_until_answered (cs_placement_t *placement,
                    const cs_place_request_t *request, waiter_t *waiter)
{
  cs_time_us_t now = cs_clock_now ();
  while (!waiter->answered && now < request->deadline)
    {
      waiter->ask_again = false;
      int rc = ask_owner (placement, request, waiter, now);
      if (rc != 0)
        {
          waiter->error = rc;
          return;
        }
      unlock_and_send (placement);
      pthread_mutex_lock (&placement->lock);
      cs_time_us_t until = cs_clock_now () + ASK_REPEAT_MS * CS_US_PER_MS;
      wait_for_answer (placement, waiter,
                       until < request->deadline ? until : request->deadline);
      if (waiter->ask_again && !waiter->answered)
        {
          struct timespec until = after_ms (ASK_AGAIN_MS);
          pthread_cond_timedwait (&waiter->changed, &placement->lock, &until);
        }
      now = cs_clock_now ();
    }
  if (!waiter->answered)
    waiter->error = CS_ERR_DEADLINE;
}

int
cs_placement_ask (cs_placement_t *placement, const cs_place_request_t *request,
                  cs_placed_t *out, uint32_t *retry_after_s)
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
  ask_until_answered (placement, request, &waiter);
  HASH_DEL (placement->waiters, &waiter);
  int rc = waiter.error;
  if (rc == 0)
    rc = keep_placed (placement, request, &waiter);
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
cs_placement_finish (cs_placement_t *placement, const cs_placed_t *placed,
                     int error)
{
  placed_call_t *found = NULL;
  pthread_mutex_lock (&placement->lock);
  HASH_FIND (hh, placement->placed, &placed->call, sizeof placed->call, found);
  if (found != NULL)
    {
      HASH_DEL (placement->placed, found);
      free (found);
      release_call (placement, placed->pool, placed->call, placed->target,
                    error, cs_clock_now ());
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
      = HASH_COUNT (placement->placed) + HASH_COUNT (placement->waiters);
  pthread_mutex_unlock (&placement->lock);
  return count;
}
