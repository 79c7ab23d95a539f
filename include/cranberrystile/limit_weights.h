/* Weights of targets that name limits, so that as many contexts and plain
   calls are placed there as the limits allow.  Contexts that a target can take
   only now and then would be read at it and at others in turns.  */

#ifndef CS_LIMIT_WEIGHTS_H
#define CS_LIMIT_WEIGHTS_H

#include "cranberrystile/fleet.h"

/* Sets the weights of all targets of FLEET.  Those that name no limit weigh 1.
   Call it several times a second.  */
void cs_limit_weights_update (cs_fleet_t *fleet, cs_time_us_t now);

#endif
