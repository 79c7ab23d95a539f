#include "cranberrystile/pace.h"

#include <math.h>

/* Pace at the beginning, and the lowest one: less would take the target longer
   to show how it answers than it takes to reach its full share.  */
#define MIN_LEVEL 0.25
/* The pace doubles in this time while answers are in order, and halves in the
   second one while they aren't.  Reports of other routers are up to 0.7 s
   old.  */
#define DOUBLING_US (1 * CS_US_PER_S)
#define HALVING_US (500 * CS_US_PER_MS)
/* Where the others have free slots, they take what a slow target delays, and a
   pace would only leave the target idle (docs/design/pace.md).  */
#define BUSY_SLOT_SHARE 0.5
/* A target is slow if its calls last this many times as long as those of the
   others.  The calls of one whose traffic doubles within a second run ahead of
   its ends by up to twice.  */
#define SLOW_RATIO 2.5
/* Likewise for failures, beyond some that occur by chance.  */
#define FAILURE_RATIO 2.0
#define MIN_FAILURE_RATE 0.1
/* Ends a second from which the duration of calls is known.  */
#define MIN_ENDS_PER_S 2.0

void
cs_pace_begin (cs_pace_t *pace, cs_time_us_t now)
{
  pace->level = MIN_LEVEL;
  pace->updated_at = now;
}

static bool
is_failing (const cs_pace_view_t *view)
{
  return view->failure_rate >= MIN_FAILURE_RATE
         && view->failure_rate > FAILURE_RATIO * view->others_failure_rate;
}

/* Whether the target has calls whose duration isn't known yet.  */
static bool
is_unknown (const cs_pace_view_t *view)
{
  return view->calls >= 1 && view->ends_per_s < MIN_ENDS_PER_S;
}

/* Calls last as long as there are calls for each that ends in a second.  */
static bool
is_slow (const cs_pace_view_t *view)
{
  return view->calls * view->others_ends_per_s
         > SLOW_RATIO * view->others_calls * view->ends_per_s;
}

void
cs_pace_update (cs_pace_t *pace, const cs_pace_view_t *view, cs_time_us_t now)
{
  if (pace->level == 0 || now <= pace->updated_at)
    return;
  double elapsed = (double)(now - pace->updated_at);
  pace->updated_at = now;
  if (view->slots_taken < BUSY_SLOT_SHARE)
    pace->level = 1;
  else if (is_failing (view) || (!is_unknown (view) && is_slow (view)))
    pace->level *= exp2 (-elapsed / (double)HALVING_US);
  else if (!is_unknown (view))
    pace->level *= exp2 (elapsed / (double)DOUBLING_US);
  pace->level = fmax (pace->level, MIN_LEVEL);
  if (pace->level >= 1)
    pace->level = 0;
}

double
cs_pace_weight (const cs_pace_t *pace)
{
  return pace->level == 0 ? 1 : pace->level;
}
