/* Admission control for a pool of targets, run by the router that owns it.
   Each placement request is granted a target, queued, or refused.

   A new owner places nothing until every router that it expects to be live has
   handed over its calls in flight, or the recovery period has ended.

   Not thread-safe.  Callbacks run inside the functions below and must not call
   back into the same owner.  */

#ifndef CS_OWNER_H
#define CS_OWNER_H

#include "cranberrystile/pool.h"
#include "cranberrystile/queue.h"

typedef struct
{
  void *context;
  void (*granted) (void *context, const cs_placement_request_t *request,
                   const cs_pool_grant_t *grant);
  /* RETRY_AFTER_S is at least 1 and has no jitter applied.  */
  void (*refused) (void *context, const cs_placement_request_t *request,
                   int error, uint32_t retry_after_s);
} cs_owner_callbacks_t;

typedef struct
{
  cs_pool_policy_t pool;
  size_t queue_capacity;
  cs_time_us_t ageing_us;   /* see cs_queue_create */
  cs_time_us_t recovery_us; /* longest wait for hand-overs */
} cs_owner_policy_t;

cs_owner_policy_t cs_owner_policy_default (void);

typedef struct cs_owner cs_owner_t;

/* Returns NULL if memory is exhausted.  */
cs_owner_t *cs_owner_create (const cs_owner_policy_t *policy, uint64_t seed,
                             const cs_owner_callbacks_t *callbacks);
void cs_owner_destroy (cs_owner_t *owner);

/* The owner's pool, for updating its targets and reading its state.
   Borrowed.  */
cs_pool_t *cs_owner_pool (cs_owner_t *owner);

/* Starts recovery and waits for the COUNT routers in ROUTERS to hand over
   their calls.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_owner_recover (cs_owner_t *owner, const uint64_t *routers, size_t count,
                      cs_time_us_t now);

/* Records that ROUTER has handed over all its calls (cs_pool_adopt).  */
void cs_owner_handed_over (cs_owner_t *owner, uint64_t router,
                           cs_time_us_t now);
bool cs_owner_is_recovering (const cs_owner_t *owner);

/* Grants, queues or refuses the request of ITEM.  The callback may run before
   this returns or later.  A request that is already queued is ignored.  */
void cs_owner_ask (cs_owner_t *owner, const cs_queue_item_t *item,
                   cs_time_us_t now);

/* Ends a call, or cancels it if it is still queued.  */
void cs_owner_release (cs_owner_t *owner, uint64_t router, uint64_t call,
                       cs_time_us_t now);
/* ROUTER has left: drops its queued requests, without a callback, and its
   calls, and stops waiting for its hand-over.  */
void cs_owner_drop_router (cs_owner_t *owner, uint64_t router,
                           cs_time_us_t now);

/* Ends an overdue recovery, places queued requests and refuses those past
   their deadline.  To be called every few milliseconds while cs_owner_queued
   is not 0.  */
void cs_owner_tick (cs_owner_t *owner, cs_time_us_t now);
size_t cs_owner_queued (const cs_owner_t *owner);

/* Refuses all queued requests with ERROR, for example when ownership ends.  */
void cs_owner_refuse_all (cs_owner_t *owner, int error, cs_time_us_t now);

/* Estimated seconds until a refused caller would be served, from the length of
   the queue and the recent rate of released calls.  At least 1.  */
uint32_t cs_owner_retry_after_s (const cs_owner_t *owner, cs_time_us_t now);

#endif
