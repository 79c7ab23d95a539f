/* Passive health checks: ejects targets whose requests fail.  */

#ifndef CS_ROUTER_HEALTH_H
#define CS_ROUTER_HEALTH_H

#include "router/router.h"

/* Records that a request of this router to TARGET ended with ERROR, or CS_OK.
   A target that accepts no connection or is silent is ejected at once.  After
   other errors it is ejected if it fails much more often than its service as a
   whole.  */
void cs_health_record_result (cs_router_t *router, cs_target_t *target,
                              int error, cs_time_us_t now);

/* Records that ENDED requests of other routers to TARGET ended, FAILED of them
   with an error.  */
void cs_health_record_peer_results (cs_router_t *router, cs_target_t *target,
                                    uint32_t ended, uint32_t failed,
                                    cs_time_us_t now);

#endif
