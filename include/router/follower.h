/* Follows one kind of objects in the platform's store: lists them, then waits
   for changes.  */

#ifndef CS_ROUTER_FOLLOWER_H
#define CS_ROUTER_FOLLOWER_H

#include "platform/store.h"
#include "router/router.h"

typedef struct cs_follower cs_follower_t;

typedef struct
{
  /* A whole list begins, and ends; its objects come in between.  */
  void (*on_list_begin) (cs_router_t *router);
  void (*on_list_end) (cs_router_t *router, cs_time_us_t kept_until,
                       cs_time_us_t now);
  /* An object of the list, or a change.  KEPT_UNTIL: when entries that lapsed
     during the last outage are back.  */
  void (*on_object) (cs_router_t *router, const cs_store_object_t *object,
                     cs_time_us_t kept_until, cs_time_us_t now);
} cs_follower_handlers_t;

/* NEWS is kept by the router: how far KIND is known.  */
cs_follower_t *cs_follower_create (cs_router_t *router, cs_store_kind_t kind,
                                   cs_sync_state_t *news,
                                   const cs_follower_handlers_t *handlers);
void cs_follower_destroy (cs_follower_t *follower);

/* What is done with the objects of each kind.  */
extern const cs_follower_handlers_t cs_follow_routing;
extern const cs_follower_handlers_t cs_follow_targets;

#endif
