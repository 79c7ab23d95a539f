/* One simulated router's view of the engines, and strategies for choosing
   one.  */

#ifndef CS_EXPERIMENT_VIEW_H
#define CS_EXPERIMENT_VIEW_H

#include "cranberrystile/chooser.h"
#include "engine.h"

/* STRATEGY_ROUTER is the chooser of the real router, with the information that
   a router has; the baselines have the same.  STRATEGY_CLAIRVOYANT sees the
   current state of each engine, which no router can: it shows how much better
   a router could do.  */
typedef enum
{
  STRATEGY_ROUTER,
  STRATEGY_LEAST_LOADED,
  STRATEGY_TWO_CHOICES,
  STRATEGY_RENDEZVOUS,
  STRATEGY_CLAIRVOYANT,
  STRATEGY_COUNT
} strategy_t;

const char *strategy_name (strategy_t strategy);

/* Returns engine AT, for STRATEGY_CLAIRVOYANT.  */
typedef const engine_t *view_engine_fn (void *context, uint32_t at);

typedef struct view view_t;

/* Returns NULL when memory runs out.  */
view_t *view_create (strategy_t strategy, const cs_choice_policy_t *policy,
                     uint64_t seed, view_engine_fn *engine, void *context);
void view_destroy (view_t *view);

/* Adds or removes engine AT.  */
void view_add (view_t *view, uint32_t at, uint32_t slots, cs_time_us_t now);
void view_remove (view_t *view, uint32_t at, cs_time_us_t now);

/* Chooses an engine for REQUEST.  The AVOID_COUNT engines in AVOID are
   excluded; STRATEGY_ROUTER falls back to them if there is no other.  *SOURCE
   is an engine to copy the context from, or UINT32_MAX.  Returns UINT32_MAX
   when no engine can be chosen, or when all are full and other requests are
   more urgent.  */
uint32_t view_choose (view_t *view, const engine_request_t *request,
                      const uint32_t *avoid, uint32_t avoid_count,
                      cs_time_us_t now, uint32_t *source);

/* Records that a call of this router to engine AT starts or ends.  */
void view_call_started (view_t *view, uint32_t at);
void view_call_ended (view_t *view, uint32_t at);

/* Records the load that engine AT reported with a response.  */
void view_update_load (view_t *view, uint32_t at, uint32_t running,
                       uint32_t waiting, cs_time_us_t now);

/* Records that a request sent at SENT_AT got its first token, or was abandoned
   without it.  LATE: after more than its objective.  */
void view_first_token (view_t *view, cs_time_us_t sent_at, bool late,
                       cs_time_us_t now);

/* Returns this router's calls in flight at engine AT, to report to other
   routers.  */
uint32_t view_in_flight (const view_t *view, uint32_t at);

/* Records the sum of the calls in flight that other routers reported.  */
void view_update_peer_calls (view_t *view, uint32_t at, uint32_t calls,
                             cs_time_us_t now);

#endif
