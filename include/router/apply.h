/* Applies updates of the configuration and of targets, whether they come from
   the platform or from a peer.  */

#ifndef CS_ROUTER_APPLY_H
#define CS_ROUTER_APPLY_H

#include <jansson.h>

#include "router/router.h"

/* Applies a configuration from the platform.  One that is not newer than the
   current one is ignored; an invalid one is rejected with a log line.  */
void cs_apply_routing (cs_router_t *router, const json_t *spec,
                       cs_revision_t revision);

/* Applies a configuration from a peer; DOCUMENT is compressed JSON.  */
void cs_apply_peer_routing (cs_router_t *router, cs_str_t document,
                            cs_revision_t revision);

/* Adds or updates a target.  SOURCE is the origin of ENTRY in log lines.  */
void cs_apply_target (cs_router_t *router, const cs_target_entry_t *entry,
                      const char *source);

/* TARGET itself says, or a peer reports, that it is leaving: it gets no more
   requests, its idle connections are closed, and peers are told.  SOURCE is
   for the log line.  */
void cs_apply_target_leaving (cs_router_t *router, cs_target_t *target,
                              const char *source);

/* TARGET itself, or a peer, states which limit the target names.  */
void cs_apply_target_limit (cs_router_t *router, cs_target_t *target,
                            const cs_limit_statement_t *statement,
                            cs_time_us_t now);

/* Counts a request that this router sends to TARGET, and ends a limit that
   nobody has confirmed for too long.  */
void cs_apply_request_sent (cs_router_t *router, cs_target_t *target,
                            cs_time_us_t now);

#endif
