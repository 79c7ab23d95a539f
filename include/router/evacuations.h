/* Applies what is learnt of evacuated data centres, from the platform or from
   a peer.  */

#ifndef CS_ROUTER_EVACUATIONS_H
#define CS_ROUTER_EVACUATIONS_H

#include "router/router.h"

/* Sets router->evacuations if [platform] evacuation_ms isn't 0.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_router_evacuations_create (cs_router_t *router);

/* The functions that apply something return 0, or CS_ERR_NO_MEMORY if it was
   not applied; it has to be read again then.  */

/* Applies the platform's list, which has been collected in
   router->evacuations.  */
int cs_router_evacuations_end_list (cs_router_t *router,
                                    cs_revision_t revision, cs_time_us_t now);

/* Applies a whole set from a peer.  */
int cs_router_evacuations_replace (cs_router_t *router, const cs_name_t *names,
                                   size_t count, cs_revision_t revision,
                                   cs_time_us_t now);

/* Applies what a peer whose set is that of REVISION keeps.  */
void cs_router_evacuations_keep (cs_router_t *router,
                                 const cs_evacuation_kept_t *kept,
                                 cs_revision_t revision, cs_time_us_t now);

/* Applies a change of DATA_CENTRE in the platform's store.  */
int cs_router_evacuations_change (cs_router_t *router, cs_str_t data_centre,
                                  bool is_evacuated, cs_revision_t revision);

/* Call regularly.  */
void cs_router_evacuations_tick (cs_router_t *router, cs_time_us_t now);

#endif
