/* The pace of a target that has started, returned or recovered: the part of
   its share of the requests that it gets until its answers show that it keeps
   up.

   It rests on counts that all routers know, so that all give a target nearly
   the same weight and a context has the same homes everywhere.  */

#ifndef CS_PACE_H
#define CS_PACE_H

#include <stdbool.h>

#include "common/clock.h"

/* Of one target.  Zero-initialise: it gets its full share.  */
typedef struct
{
  double level; /* part of the share, up to 1; 0: full */
  cs_time_us_t updated_at;
  bool is_out; /* it was ejected or cold when last looked at */
  bool is_due; /* while all paces are updated: this one is still to be */
} cs_pace_t;

/* What all routers know of a target and of the others of its service.  */
typedef struct
{
  double calls;      /* in flight at the target */
  double ends_per_s; /* calls there that end */
  double failure_rate;
  double others_calls; /* at all others, likewise */
  double others_ends_per_s;
  double others_failure_rate;
  double slots_taken; /* share of the slots of the others */
} cs_pace_view_t;

/* The target starts or comes back.  */
void cs_pace_begin (cs_pace_t *pace, cs_time_us_t now);

/* Raises or lowers the pace by VIEW.  Call it several times a second.  */
void cs_pace_update (cs_pace_t *pace, const cs_pace_view_t *view,
                     cs_time_us_t now);

/* Returns the factor of the target's weight in the choice, up to 1.  */
double cs_pace_weight (const cs_pace_t *pace);

#endif
