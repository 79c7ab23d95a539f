/* Cold targets: which ones are cold, and this router's share of the requests
   that they take.  docs/design/cold-targets.md explains the design.  */

#ifndef CS_ROUTER_COLD_H
#define CS_ROUTER_COLD_H

#include "router/router.h"

/* Updates the limits of all targets if the configuration or the routers that
   share them have changed.  Call it before each choice of a target.  */
void cs_cold_update (cs_router_t *router, cs_time_us_t now);

/* Logs which targets are no longer cold.  */
void cs_cold_log_ended (cs_router_t *router, cs_time_us_t now);

/* Applies what ENTRY, from the platform or a peer, says of TARGET.  IS_NEW:
   the target was first listed with it.  */
void cs_cold_apply_entry (cs_router_t *router, cs_target_t *target,
                          const cs_target_entry_t *entry, bool is_new,
                          cs_time_us_t now);

/* Applies what was said of TARGET, and passes it on to peers if it is new.
   HOPS routers have passed it on before.  */
void cs_cold_apply (cs_router_t *router, cs_target_t *target,
                    const cs_cold_statement_t *statement, uint32_t hops,
                    cs_time_us_t now);

/* The data centre of TARGET is no longer evacuated.  Its entry may be too old
   to tell whether it is cold.  */
void cs_cold_record_taken_back (cs_router_t *router, cs_target_t *target,
                                cs_time_us_t now);

/* TARGET can't be reached.  */
void cs_cold_record_failure (cs_router_t *router, cs_target_t *target,
                             cs_time_us_t now);

/* TARGET has responded successfully to this router, or to others.  */
void cs_cold_record_success (cs_router_t *router, cs_target_t *target,
                             bool by_peers, cs_time_us_t now);

#endif
