/* Finds out whether a target has crashed when its connection breaks as it
   begins to answer: it then refuses connections.  */

#ifndef CS_ROUTER_CRASH_CHECK_H
#define CS_ROUTER_CRASH_CHECK_H

#include "router/router.h"

/* Connects to TARGET, and reports a crash under CAUSES if it refuses.  CUT_US
   is the time from the request to the cut if the target may have ended before
   the request came, else 0.  */
void cs_crash_check_begin (cs_router_t *router, cs_target_t *target,
                           const cs_causes_t *causes, cs_time_us_t cut_us,
                           cs_time_us_t now);

/* Ends the checks in progress.  */
void cs_crash_checks_end (cs_router_t *router);

#endif
