/* Recent successes and failures of the calls to a target, over all routers. */

#ifndef CS_OUTCOMES_H
#define CS_OUTCOMES_H

#include <stdbool.h>

#include "common/clock.h"

/* Counts with exponential decay.  Zero-initialise.  */
typedef struct
{
  double ended;
  double failed;   /* included in ended */
  cs_time_us_t at; /* when the counts were last decayed */
} cs_outcomes_t;

void cs_outcomes_add (cs_outcomes_t *outcomes, double ended, double failed,
                      cs_time_us_t now);

/* Returns how many calls a second ended recently.  */
double cs_outcomes_rate_per_s (const cs_outcomes_t *outcomes,
                               cs_time_us_t now);

/* Whether TARGET fails much more often than the other targets of SERVICE,
   whose counts include the target's.  If all targets of a service fail alike,
   none is an outlier: there is no better target to use.  Both counts must be
   decayed to the same time.  */
bool cs_outcomes_is_outlier (const cs_outcomes_t *target,
                             const cs_outcomes_t *service);

/* Whether no router reaches the target: most recent calls failed.  Where
   data centres are cut off from each other, some routers reach it.  */
bool cs_outcomes_is_away (const cs_outcomes_t *outcomes, cs_time_us_t now);

/* Share of the recent calls that failed, or 0 while the number of failures is
   too low to be significant.  */
double cs_outcomes_failure_rate (const cs_outcomes_t *outcomes,
                                 cs_time_us_t now);

#endif
