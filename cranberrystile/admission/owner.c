#include "cranberrystile/owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER_MAX_S 30

/* Releases per second below which no wait is estimated.  */
#define MIN_RELEASE_RATE 0.01

struct cs_owner
{
  cs_owner_policy_t policy;
  cs_owner_callbacks_t callbacks;
  cs_pool_t *pool;
  cs_queue_t *queue;
  uint64_t *awaited; /* routers that have not handed over yet */
  size_t awaited_count;
  cs_time_us_t recovery_ends;
};

cs_owner_policy_t
cs_owner_policy_default (void)
{
  cs_owner_policy_t policy = {
    .pool = cs_pool_policy_default (),
    .queue_capacity = 4096,
    .ageing_us = 10 * CS_US_PER_S,
    .recovery_us = 1500 * CS_US_PER_MS,
  };
  return policy;
}

cs_owner_t *
cs_owner_create (const cs_owner_policy_t *policy, uint64_t seed,
                 const cs_owner_callbacks_t *callbacks)
{
  cs_owner_t *owner = calloc (1, sizeof *owner);
  if (owner == NULL)
    return NULL;
  owner->policy = *policy;
  owner->callbacks = *callbacks;
  owner->pool = cs_pool_create (&policy->pool, seed);
  owner->queue = cs_queue_create (policy->queue_capacity, policy->ageing_us);
  if (owner->pool == NULL || owner->queue == NULL)
    {
      cs_owner_destroy (owner);
      return NULL;
    }
  return owner;
}

void
cs_owner_destroy (cs_owner_t *owner)
{
  if (owner == NULL)
    return;
  cs_pool_destroy (owner->pool);
  cs_queue_destroy (owner->queue);
  free (owner->awaited);
  free (owner);
}

cs_pool_t *
cs_owner_pool (cs_owner_t *owner)
{
  return owner->pool;
}

int
cs_owner_recover (cs_owner_t *owner, const uint64_t *routers, size_t count,
                  cs_time_us_t now)
{
  uint64_t *awaited = calloc (count + 1, sizeof *awaited);
  if (awaited == NULL)
    return CS_ERR_NO_MEMORY;
  if (count > 0)
    memcpy (awaited, routers, count * sizeof *awaited);
  free (owner->awaited);
  owner->awaited = awaited;
  owner->awaited_count = count;
  owner->recovery_ends = now + owner->policy.recovery_us;
  return 0;
}

bool
cs_owner_is_recovering (const cs_owner_t *owner)
{
  return owner->awaited_count > 0;
}

static void
stop_awaiting (cs_owner_t *owner, uint64_t router)
{
  for (size_t i = 0; i < owner->awaited_count; i++)
    if (owner->awaited[i] == router)
      {
        owner->awaited[i] = owner->awaited[--owner->awaited_count];
        return;
      }
}

static void
refuse (cs_owner_t *owner, const cs_placement_request_t *request, int error,
        cs_time_us_t now)
{
  owner->callbacks.refused (owner->callbacks.context, request, error,
                            cs_owner_retry_after_s (owner, now));
}

/* Organisations for which no slot was found in this pass.  Others may still
   get one, because the last slots are withheld from surging organisations.  */
typedef struct
{
  uint64_t organisations[16];
  size_t count;
} blocked_t;

static bool
is_blocked (void *context, const cs_queue_item_t *item)
{
  const blocked_t *blocked = context;
  for (size_t i = 0; i < blocked->count; i++)
    if (blocked->organisations[i] == item->ask.organisation)
      return true;
  return false;
}

static void
serve_queue (cs_owner_t *owner, cs_time_us_t now)
{
  blocked_t blocked = { { 0 }, 0 };
  if (cs_owner_is_recovering (owner))
    return;
  while (blocked.count < 16)
    {
      cs_pool_grant_t grant;
      const cs_queue_item_t *item
          = cs_queue_peek (owner->queue, now, is_blocked, &blocked);
      if (item == NULL)
        return;
      cs_placement_request_t request = item->ask;
      int rc = cs_pool_place (owner->pool, &request, now, &grant);
      if (rc == CS_ERR_OVERLOADED)
        {
          blocked.organisations[blocked.count++] = request.organisation;
          continue;
        }
      cs_queue_serve (owner->queue, request.router, request.call);
      if (rc == 0)
        owner->callbacks.granted (owner->callbacks.context, &request, &grant);
      else
        refuse (owner, &request, rc, now);
    }
}

void
cs_owner_handed_over (cs_owner_t *owner, uint64_t router, cs_time_us_t now)
{
  bool was_recovering = cs_owner_is_recovering (owner);
  stop_awaiting (owner, router);
  if (was_recovering && !cs_owner_is_recovering (owner))
    cs_pool_assume_releases (owner->pool, now);
  serve_queue (owner, now);
}

/* Expected wait of a new request, from the requests ahead of it and the
   release rate.  0 when the rate is unknown, and while slots are free:
   requests then wait only for a recovery or for recent grants to settle, which
   takes milliseconds.  */
static cs_time_us_t
expected_wait (const cs_owner_t *owner, const cs_queue_item_t *item,
               cs_time_us_t now)
{
  double rate = cs_pool_release_rate (owner->pool, now);
  size_t ahead = cs_queue_ahead_of (owner->queue, item->ask.organisation,
                                    item->weight, item->priority);
  if (rate < MIN_RELEASE_RATE || ahead == 0
      || ahead < cs_pool_free_slots (owner->pool))
    return 0;
  return (cs_time_us_t)((double)ahead / rate * (double)CS_US_PER_S);
}

static void
enqueue (cs_owner_t *owner, const cs_queue_item_t *item, cs_time_us_t now)
{
  if (now + expected_wait (owner, item, now) >= item->deadline)
    {
      refuse (owner, &item->ask, CS_ERR_OVERLOADED, now);
      return;
    }
  int rc = cs_queue_push (owner->queue, item);
  if (rc != 0)
    refuse (owner, &item->ask, rc, now);
}

/* Whether ITEM has to be queued: during recovery, or behind requests that are
   served before it.  */
static bool
must_queue (const cs_owner_t *owner, const cs_queue_item_t *item)
{
  if (cs_owner_is_recovering (owner))
    return true;
  return cs_queue_ahead_of (owner->queue, item->ask.organisation, item->weight,
                            item->priority)
         > 0;
}

void
cs_owner_ask (cs_owner_t *owner, const cs_queue_item_t *item, cs_time_us_t now)
{
  cs_pool_grant_t grant;
  /* A resent request keeps its position in the queue.  */
  if (cs_queue_has (owner->queue, item->ask.router, item->ask.call))
    return;
  if (must_queue (owner, item))
    {
      enqueue (owner, item, now);
      serve_queue (owner, now);
      return;
    }
  int rc = cs_pool_place (owner->pool, &item->ask, now, &grant);
  if (rc == 0)
    owner->callbacks.granted (owner->callbacks.context, &item->ask, &grant);
  else if (rc == CS_ERR_OVERLOADED)
    enqueue (owner, item, now);
  else
    refuse (owner, &item->ask, rc, now);
}

void
cs_owner_release (cs_owner_t *owner, uint64_t router, uint64_t call,
                  cs_time_us_t now)
{
  if (cs_queue_cancel (owner->queue, router, call))
    return;
  if (cs_pool_release (owner->pool, router, call, now))
    serve_queue (owner, now);
}

void
cs_owner_drop_router (cs_owner_t *owner, uint64_t router, cs_time_us_t now)
{
  cs_queue_item_t item;
  stop_awaiting (owner, router);
  while (cs_queue_pop_router (owner->queue, router, &item))
    continue;
  cs_pool_drop_router (owner->pool, router, now);
  serve_queue (owner, now);
}

void
cs_owner_tick (cs_owner_t *owner, cs_time_us_t now)
{
  cs_queue_item_t item;
  if (cs_owner_is_recovering (owner) && now >= owner->recovery_ends)
    {
      owner->awaited_count = 0;
      cs_pool_assume_releases (owner->pool, now);
    }
  serve_queue (owner, now);
  while (cs_queue_pop_expired (owner->queue, now, &item))
    refuse (owner, &item.ask, CS_ERR_DEADLINE, now);
}

size_t
cs_owner_queued (const cs_owner_t *owner)
{
  return cs_queue_length (owner->queue);
}

void
cs_owner_refuse_all (cs_owner_t *owner, int error, cs_time_us_t now)
{
  cs_queue_item_t item;
  while (cs_queue_pop_expired (owner->queue, UINT64_MAX, &item))
    refuse (owner, &item.ask, error, now);
}

uint32_t
cs_owner_retry_after_s (const cs_owner_t *owner, cs_time_us_t now)
{
  double rate = cs_pool_release_rate (owner->pool, now);
  double queued = (double)cs_queue_length (owner->queue) + 1.0;
  if (rate < MIN_RELEASE_RATE)
    return 1;
  double wait = ceil (queued / rate);
  if (wait > RETRY_AFTER_MAX_S)
    return RETRY_AFTER_MAX_S;
  return wait < 1 ? 1 : (uint32_t)wait;
}
