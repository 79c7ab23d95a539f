/* How many of the slots of a service's targets are worth using.

   Targets that have to read many prompts anew, as after the loss of others,
   start to answer later the more requests they run: with all slots in use,
   nearly every answer is late, and much of the work is for callers that leave.
   So the slots in use are halved while more than a few first events are later
   than their objective, and come back step by step when they are not (as the
   window of TCP does, Jacobson, "Congestion avoidance and control", 1988).  */

#ifndef CS_SLOT_LIMIT_H
#define CS_SLOT_LIMIT_H

#include <stdbool.h>

#include "common/clock.h"

/* Zero-initialise: all slots are used.  */
typedef struct
{
  double unused; /* share of the slots after the latest reduction */
  cs_time_us_t reduced_at;
  cs_time_us_t recovers_from; /* when the first event came of a request that
                                 was sent after the reduction, or at most some
                                 seconds after that */
  double firsts;              /* decaying counts, at COUNTED_AT */
  double late;
  cs_time_us_t counted_at;
} cs_slot_limit_t;

/* Records that a request that was sent to a target at SENT_AT got its first
   event or ended without it.  LATE: after more than its objective.  Returns
   whether fewer slots are to be used from now on.  */
bool cs_slot_limit_record (cs_slot_limit_t *limit, cs_time_us_t sent_at,
                           bool late, cs_time_us_t now);

/* Returns the share of the slots to use, at most 1.  */
double cs_slot_limit_share (const cs_slot_limit_t *limit, cs_time_us_t now);

#endif
