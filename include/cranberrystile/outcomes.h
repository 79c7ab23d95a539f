/* How the recent calls of a target ended, over all routers.  */

#ifndef CS_OUTCOMES_H
#define CS_OUTCOMES_H

#include <stdbool.h>

#include "common/clock.h"

/* Counts that fade with a half-life.  Initialise with zeros.  */
typedef struct
{
  double ended;
  double failed; /* of those that ended */
  cs_time_us_t at;
} cs_outcomes_t;

void cs_outcomes_add (cs_outcomes_t *outcomes, double ended, double failed,
                      cs_time_us_t now);

/* Whether TARGET fails much more often than the service as a whole, whose
   counts include the target's: a service that fails everywhere has no better
   target to offer.  Both faded to the same time.  */
bool cs_outcomes_stand_out (const cs_outcomes_t *target,
                            const cs_outcomes_t *service);

/* Share of the recent calls that failed; 0 while too few failed to tell it
   from chance.  */
double cs_outcomes_failing_share (const cs_outcomes_t *outcomes,
                                  cs_time_us_t now);

#endif
