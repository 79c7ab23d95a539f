/* Weights of targets that have started, returned or recovered, by their pace
   (cranberrystile/pace.h).  */

#ifndef CS_PACE_WEIGHTS_H
#define CS_PACE_WEIGHTS_H

#include "cranberrystile/evacuations.h"
#include "cranberrystile/fleet.h"

/* Begins the pace of targets that are no longer ejected or cold, updates that
   of all, and multiplies their weights by it.  Only services whose targets
   state how slow they are, or take few requests while they are cold, have a
   pace; targets that name a limit have none.  Targets are compared with those
   of their service that have their full share and aren't in EVACUATIONS (NULL:
   none).  Call it after cs_limit_weights_update.  */
void cs_pace_weights_update (cs_fleet_t *fleet,
                             const cs_evacuations_t *evacuations,
                             cs_time_us_t now);

#endif
