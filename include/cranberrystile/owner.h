/* What the owner of a pool does with asks: place them, queue them, or refuse
   them at once.

   A new owner grants nothing until every router that it believes live has
   handed over its calls in flight, or until the recovery time has passed.

   Not thread-safe.  Effects are called from within the functions below and
   must not call back into the same owner.  */

#ifndef CS_OWNER_H
#define CS_OWNER_H

#include "cranberrystile/pool.h"
#include "cranberrystile/queue.h"

typedef struct
{
  void *context;
  void (*granted) (void *context, const cs_placement_request_t *ask,
                   const cs_pool_grant_t *grant);
  /* RETRY_AFTER_S is an estimate without spread, at least 1.  */
  void (*refused) (void *context, const cs_placement_request_t *ask, int error,
                   uint32_t retry_after_s);
} cs_owner_effects_t;

typedef struct
{
  cs_pool_policy_t pool;
  size_t queue_capacity;
  cs_time_us_t ageing_us;
  cs_time_us_t recovery_us;
} cs_owner_policy_t;

cs_owner_policy_t cs_owner_policy_default (void);

typedef struct cs_owner cs_owner_t;

cs_owner_t *cs_owner_create (const cs_owner_policy_t *policy, uint64_t seed,
                             const cs_owner_effects_t *effects);
void cs_owner_destroy (cs_owner_t *owner);

/* The pool, for changes of targets and for reports.  Borrowed.  */
cs_pool_t *cs_owner_pool (cs_owner_t *owner);

/* Starts recovery: the COUNT routers in ROUTERS are expected to hand over. */
int cs_owner_recover (cs_owner_t *owner, const uint64_t *routers, size_t count,
                      cs_time_us_t now);

/* ROUTER has handed over all its calls by cs_pool_adopt.  */
void cs_owner_handed_over (cs_owner_t *owner, uint64_t router,
                           cs_time_us_t now);
bool cs_owner_is_recovering (const cs_owner_t *owner);

/* Grants, queues or refuses.  The effect may come at once or later.  */
void cs_owner_ask (cs_owner_t *owner, const cs_queue_item_t *item,
                   cs_time_us_t now);

/* Ends a call, or cancels it while it is queued.  */
void cs_owner_release (cs_owner_t *owner, uint64_t router, uint64_t call,
                       cs_time_us_t now);
void cs_owner_drop_router (cs_owner_t *owner, uint64_t router,
                           cs_time_us_t now);

/* Refuses what has expired and places what fits now.  Call every few
   milliseconds while cs_owner_queued is not 0.  */
void cs_owner_tick (cs_owner_t *owner, cs_time_us_t now);
size_t cs_owner_queued (const cs_owner_t *owner);

/* Refuses all queued asks with ERROR, as when ownership ends.  */
void cs_owner_refuse_all (cs_owner_t *owner, int error, cs_time_us_t now);

/* Seconds until a refused caller may expect to be served.  */
uint32_t cs_owner_retry_after_s (const cs_owner_t *owner, cs_time_us_t now);

#endif
