/* How long a call is expected to take at a target of a plain service, relative
   to the usual work there.  */

#ifndef CS_PLACEMENT_PLAIN_TIME_H
#define CS_PLACEMENT_PLAIN_TIME_H

#include "placement/candidates.h"

/* Returns the slots of TARGET by its entry, or else by its last report; 0 if
   they are unknown.  */
uint32_t plain_time_slots (const cs_target_t *target);

typedef struct
{
  double expected;
  double wait; /* the part of EXPECTED that is spent behind other calls */
} plain_time_t;

/* Returns how long a request is expected to take at TARGET with CALLS, itself
   included.  It doesn't take longer as long as one of the SLOTS is free.  */
plain_time_t plain_time_with (const cs_target_t *target, double calls,
                              uint32_t slots, cs_time_us_t now);

/* Sets the expected times of CHOICE.  They follow from the slots that are
   taken: weights spread the calls and take none.  */
void plain_time_estimate (const candidates_t *candidates,
                          const cs_choice_request_t *request, cs_time_us_t now,
                          cs_choice_t *choice);

#endif
