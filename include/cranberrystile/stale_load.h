/* Selects among targets whose known loads are out of date.

   If all routers send a burst to the targets that were least loaded when the
   loads were reported, they overload these before any report shows it.
   Instead the calls that have arrived since then are assumed to have filled
   the targets up to a common level, from the least loaded one on, and the next
   call goes to a target with a probability in proportion to its share of that
   (Dahlin, "Interpreting Stale Load Information", 1999).  */

#ifndef CS_STALE_LOAD_H
#define CS_STALE_LOAD_H

#include <stddef.h>

/* Returns the level, in calls, up to which ARRIVALS calls fill COUNT > 0
   targets with the LOADS.  */
double cs_stale_load_level (const double *loads, size_t count,
                            double arrivals);

/* Returns the index of the target for the next call.  ARRIVALS > 0 is the
   expected number of calls that all routers have sent to these targets since
   the loads were reported, and UNIT a random number from 0 up to 1.  */
size_t cs_stale_load_select (const double *loads, size_t count,
                             double arrivals, double unit);

#endif
