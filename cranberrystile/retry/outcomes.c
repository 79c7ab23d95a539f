#include "cranberrystile/outcomes.h"

#include <math.h>

/* A crash shows within tens of calls.  In one second a busy target ends
   hundreds of calls, an idle one a few.  */
#define HALF_LIFE_US (1 * CS_US_PER_S)
/* Fewer failures are not significant.  */
#define MIN_FAILURES 3.0
/* A target is an outlier at this failure rate, if the rate is also at least
   MIN_RATIO_TO_OTHERS times that of the service's other targets.  */
#define MIN_FAILURE_RATE 0.3
#define MIN_RATIO_TO_OTHERS 2.0
/* Failure rate from which a target counts as away, a half-life after it went.
   A cut between two of three data centres fails a third of the calls.  */
#define MIN_AWAY_RATE 0.5

/* Returns the factor by which the counts decay from their last update to NOW.
   At most 1.  */
static double
decay_factor (const cs_outcomes_t *outcomes, cs_time_us_t now)
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
      double decay = decay_factor (outcomes, now);
      outcomes->ended *= decay;
      outcomes->failed *= decay;
      outcomes->at = now;
    }
  outcomes->ended += ended;
  outcomes->failed += failed;
}

double
cs_outcomes_rate_per_s (const cs_outcomes_t *outcomes, cs_time_us_t now)
{
  double half_life_s = (double)HALF_LIFE_US / (double)CS_US_PER_S;
  return outcomes->ended * decay_factor (outcomes, now) * M_LN2 / half_life_s;
}

double
cs_outcomes_failure_rate (const cs_outcomes_t *outcomes, cs_time_us_t now)
{
  if (outcomes->failed * decay_factor (outcomes, now) < MIN_FAILURES)
    return 0;
  return outcomes->failed / outcomes->ended;
}

bool
cs_outcomes_is_away (const cs_outcomes_t *outcomes, cs_time_us_t now)
{
  return cs_outcomes_failure_rate (outcomes, now) >= MIN_AWAY_RATE;
}

bool
cs_outcomes_is_outlier (const cs_outcomes_t *target,
                        const cs_outcomes_t *service)
{
  double others_ended = service->ended - target->ended;
  double others_failed = service->failed - target->failed;
  double failure_rate = target->failed / target->ended;
  if (target->failed < MIN_FAILURES || failure_rate < MIN_FAILURE_RATE)
    return false;
  if (others_ended <= 0)
    return true;
  return failure_rate >= MIN_RATIO_TO_OTHERS * others_failed / others_ended;
}
