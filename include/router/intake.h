/* Takes news of the platform into force, whoever brought it.  */

#ifndef CS_ROUTER_INTAKE_H
#define CS_ROUTER_INTAKE_H

#include <jansson.h>

#include "router/router.h"

/* A configuration as the platform holds it; an older one than that in force,
   or a bad one, is refused with a log line.  */
void cs_intake_routing (cs_router_t *router, const json_t *spec,
                        uint64_t revision);

/* The same from a peer: compressed JSON.  */
void cs_intake_peer_routing (cs_router_t *router, cs_str_t document,
                             uint64_t revision);

/* An entry of the list of targets.  */
void cs_intake_target (cs_router_t *router, const cs_target_entry_t *entry,
                       const char *source);

#endif
