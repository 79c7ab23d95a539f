/* What calls say of their targets, and which targets are left alone for it. */

#ifndef CS_ROUTER_HEALTH_H
#define CS_ROUTER_HEALTH_H

#include "router/router.h"

/* A call of this router at TARGET ended with ERROR, or well.  A target that
   takes no connection or is silent is ejected at once: nothing is to be had
   there.  One that fails otherwise is ejected when it stands out.  */
void cs_health_ended (cs_router_t *router, cs_target_t *target, int error,
                      cs_time_us_t now);

/* Calls of other routers at TARGET ended, FAILED of them badly.  */
void cs_health_heard (cs_router_t *router, cs_target_t *target, uint32_t ended,
                      uint32_t failed, cs_time_us_t now);

#endif
