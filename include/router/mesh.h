/* What this router shares with the others: news of the platform and calls in
   flight.  docs/design/sharing.md has the reasons.  */

#ifndef CS_ROUTER_MESH_H
#define CS_ROUTER_MESH_H

#include "router/router.h"

/* Starts taking peers' connections and announces the router.  Returns NULL
   when the address is taken or without memory.  */
cs_mesh_t *cs_mesh_create (cs_router_t *router);
void cs_mesh_destroy (cs_mesh_t *mesh);

/* Whether the platform need not be asked now: hubs pass on its news, and what
   they last said is fresh.  */
bool cs_mesh_may_rest (const cs_mesh_t *mesh, const cs_sync_state_t *news,
                       cs_time_us_t now);

/* Other routers that are known, reachable or not; many when none could be
   asked for yet, so that nothing is shared out that others hold.  */
size_t cs_mesh_count_members (const cs_mesh_t *mesh);

/* The routing or the list of targets has changed: a first hub tells its peers
   at once.  */
void cs_mesh_push_news (cs_mesh_t *mesh);

/* Takes the announcement back, for a stop.  */
void cs_mesh_leave (cs_mesh_t *mesh);

#endif
