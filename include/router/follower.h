/* Mirrors all objects of one kind from the platform's store: lists them, then
   watches for changes.  */

#ifndef CS_ROUTER_FOLLOWER_H
#define CS_ROUTER_FOLLOWER_H

#include "platform/store.h"
#include "router/router.h"

typedef struct cs_follower cs_follower_t;

/* Entries of targets that expired during the platform's last outage may be
   registered again until KEPT_UNTIL, so a target whose entry is missing may be
   alive until then.  */
typedef struct
{
  /* Called before the first and after the last object of a complete list,
     which has the REVISION of its first page.  A list that is given up has no
     end.  ON_LIST_END and ON_OBJECT return 0, or CS_ERR_NO_MEMORY if what they
     got could not be applied: the list or the watch is then repeated after a
     pause.  */
  void (*on_list_begin) (cs_router_t *router);
  int (*on_list_end) (cs_router_t *router, cs_revision_t revision,
                      cs_time_us_t kept_until, cs_time_us_t now);
  /* Called for each object of a list and for each change.  */
  int (*on_object) (cs_router_t *router, const cs_store_object_t *object,
                    cs_time_us_t kept_until, cs_time_us_t now);
} cs_follower_handlers_t;

/* SYNC_STATE belongs to the router; the follower records there which revision
   of KIND is known.  HANDLERS are copied.  Returns NULL when memory runs out
   or the platform's address is invalid.  */
cs_follower_t *cs_follower_create (cs_router_t *router, cs_store_kind_t kind,
                                   cs_sync_state_t *sync_state,
                                   const cs_follower_handlers_t *handlers);
void cs_follower_destroy (cs_follower_t *follower);

/* Handlers for routing documents, targets and evacuations.  */
extern const cs_follower_handlers_t cs_routing_follower_handlers;
extern const cs_follower_handlers_t cs_target_follower_handlers;
extern const cs_follower_handlers_t cs_evacuation_follower_handlers;

#endif
