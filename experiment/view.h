/* What one router knows of the engines, and the ways to choose among them.  */

#ifndef CS_EXPERIMENT_VIEW_H
#define CS_EXPERIMENT_VIEW_H

#include "cranberrystile/chooser.h"
#include "engine.h"

/* WAY_ROUTER is the router's own chooser, by what a router can know.  The
   plain ways see the same.  WAY_CLAIRVOYANT sees each engine as it is at the
   moment, which no router can: what is left to gain.  */
typedef enum
{
  WAY_ROUTER,
  WAY_LEAST_LOADED,
  WAY_TWO_CHOICES,
  WAY_RENDEZVOUS,
  WAY_CLAIRVOYANT,
  WAY_COUNT
} way_t;

const char *way_name (way_t way);

/* The true state of engine AT.  */
typedef const engine_t *view_engine_fn (void *context, uint32_t at);

typedef struct view view_t;

/* Returns NULL without memory.  */
view_t *view_create (way_t way, const cs_choice_policy_t *policy,
                     uint64_t seed, view_engine_fn *engine, void *context);
void view_destroy (view_t *view);

/* The router learns that engine AT is there, or gone.  */
void view_add (view_t *view, uint32_t at, uint32_t slots, cs_time_us_t now);
void view_remove (view_t *view, uint32_t at, cs_time_us_t now);

/* Chooses an engine for REQUEST, none of the AVOID_COUNT in AVOID if another
   is left.  *SOURCE is one to copy the context from, or UINT32_MAX.  Returns
   UINT32_MAX when no engine is known, or all are full and others are more
   urgent.  */
uint32_t view_choose (view_t *view, const engine_request_t *request,
                      const uint32_t *avoid, uint32_t avoid_count,
                      cs_time_us_t now, uint32_t *source);

/* A call of this router begins or ends at engine AT.  */
void view_begin (view_t *view, uint32_t at);
void view_end (view_t *view, uint32_t at);

/* Engine AT told its load with an answer.  */
void view_load (view_t *view, uint32_t at, uint32_t running, uint32_t waiting,
                cs_time_us_t now);

/* Calls in flight of this router at engine AT, for the others; and those of
   the others, as they told.  */
uint32_t view_in_flight (const view_t *view, uint32_t at);
void view_peers (view_t *view, uint32_t at, uint32_t calls, cs_time_us_t now);

#endif
