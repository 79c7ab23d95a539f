#include "cranberrystile/outcomes.h"

#include <math.h>

/* A crash is noticed within tens of calls; a second holds hundreds of them on
   a busy target and a few on an idle one.  */
#define HALF_LIFE_US (1 * CS_US_PER_S)
/* Fewer failures are chance.  */
#define FAILURES_LEAST 3.0
/* A target is left at this share of failures, if it is also so many times the
   share of the others.  */
#define SHARE_LEAST 0.3
#define TIMES_OTHERS 2.0

/* What is left of a count after the time since it was made.  */
static double
part_left (const cs_outcomes_t *outcomes, cs_time_us_t now)
{
  if (now <= outcomes->at)
    return 1.0;
  return exp2 (-(double)(now - outcomes->at) / HALF_LIFE_US);
}

void
cs_outcomes_add (cs_outcomes_t *outcomes, double ended, double failed,
                 cs_time_us_t now)
{
  if (now > outcomes->at)
    {
      double left = part_left (outcomes, now);
      outcomes->ended *= left;
      outcomes->failed *= left;
      outcomes->at = now;
    }
  outcomes->ended += ended;
  outcomes->failed += failed;
}

double
cs_outcomes_failing_share (const cs_outcomes_t *outcomes, cs_time_us_t now)
{
  if (outcomes->failed * part_left (outcomes, now) < FAILURES_LEAST)
    return 0;
  return outcomes->failed / outcomes->ended;
}

bool
cs_outcomes_stand_out (const cs_outcomes_t *target,
                       const cs_outcomes_t *service)
{
  double others_ended = service->ended - target->ended;
  double others_failed = service->failed - target->failed;
  double share = target->failed / target->ended;
  if (target->failed < FAILURES_LEAST || share < SHARE_LEAST)
    return false;
  if (others_ended <= 0)
    return true;
  return share >= TIMES_OTHERS * others_failed / others_ended;
}
