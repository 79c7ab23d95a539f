/* Connects the quarantine of requests and prompt parts to the targets, the
   peers and the platform's store.  */

#ifndef CS_ROUTER_QUARANTINE_H
#define CS_ROUTER_QUARANTINE_H

#include "router/router.h"

/* Returns NULL if memory is exhausted.  */
cs_quarantine_t *cs_router_quarantine_create (cs_router_t *router);

/* A target of this router crashed.  What was just answered is removed from
 * CRASH. */
void cs_router_crash_seen (cs_router_t *router, cs_crash_t *crash,
                           cs_time_us_t now);

/* A peer reports a crash, which HOPS routers have passed on.  */
void cs_router_crash_reported (cs_router_t *router, const cs_crash_t *crash,
                               uint32_t hops, cs_time_us_t now);

/* A peer has a part as blocked.  */
void cs_router_block_reported (cs_router_t *router,
                               const cs_part_time_t *blocked,
                               cs_time_us_t now);

/* The platform's store has a part as blocked.  */
void cs_router_block_read (cs_router_t *router, const cs_part_time_t *blocked,
                           cs_time_us_t now);

/* A target has written some of an answer to a request with CAUSES, and has not
   crashed.  */
void cs_router_served (cs_router_t *router, const cs_causes_t *causes,
                       cs_time_us_t now);

#endif
