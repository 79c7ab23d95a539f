/* The blocked prompt parts in the platform's store, where they outlast a loss
   of all routers.  */

#ifndef CS_ROUTER_BLOCKED_PARTS_H
#define CS_ROUTER_BLOCKED_PARTS_H

#include "cranberrystile/quarantine.h"
#include "router/router.h"

/* Starts reading the blocked parts, and blocks those.  Returns NULL when
   memory runs out or the platform's address is invalid.  */
cs_blocked_parts_t *cs_blocked_parts_create (cs_router_t *router);
void cs_blocked_parts_destroy (cs_blocked_parts_t *parts);

/* Adds BLOCKED to the store, or, if this router's OWN report blocked it,
   renews it there.  Accepts NULL.  */
void cs_blocked_parts_save (cs_blocked_parts_t *parts,
                            const cs_part_time_t *blocked, bool is_own);

/* Removes PART from the store.  Accepts NULL.  */
void cs_blocked_parts_remove (cs_blocked_parts_t *parts, uint64_t part);

/* To be called a few times a second.  A router that becomes a hub, or
   learns that the store was restored from a copy, adds all blocked parts that
   it knows.  */
void cs_blocked_parts_update (cs_blocked_parts_t *parts, cs_time_us_t now);

#endif
