/* The blocked prompt parts in the platform's store, where they outlast a loss
   of all routers.  */

#ifndef CS_ROUTER_BLOCKED_PARTS_H
#define CS_ROUTER_BLOCKED_PARTS_H

#include "router/router.h"

/* Starts reading the blocked parts, and blocks those.  Returns NULL when
   memory runs out or the platform's address is invalid.  */
cs_blocked_parts_t *cs_blocked_parts_create (cs_router_t *router);
void cs_blocked_parts_destroy (cs_blocked_parts_t *parts);

/* Adds PART to the store, or renews it there.  Accepts NULL.  */
void cs_blocked_parts_save (cs_blocked_parts_t *parts, uint64_t part);

/* Removes PART from the store.  Accepts NULL.  */
void cs_blocked_parts_remove (cs_blocked_parts_t *parts, uint64_t part);

#endif
