#include "cranberrystile/slowness.h"

#include <math.h>

/* Time constant by which the last figure loses its weight.  Other workloads on
   a target's machine come and go within some hundred milliseconds.  */
#define DECAY_US (400 * CS_US_PER_MS)

/* Time constant of the running average, much longer than the states that it
   averages.  */
#define MEAN_US (8 * CS_US_PER_S)

/* Greatest weight of one figure in the running average.  A router that hears
   from a target once in some seconds would otherwise take the state of that
   moment for the usual one.  */
#define MAX_MEAN_WEIGHT 0.1

void
cs_slowness_record (cs_slowness_t *slowness, double figure, cs_time_us_t now)
{
  if (slowness->at == 0)
    slowness->mean = 1;
  cs_time_us_t age = now > slowness->at ? now - slowness->at : 0;
  double weight = -expm1 (-(double)age / (double)MEAN_US);
  slowness->mean += (figure - slowness->mean) * fmin (weight, MAX_MEAN_WEIGHT);
  slowness->last = figure;
  slowness->at = now;
}

bool
cs_slowness_is_stated (const cs_slowness_t *slowness)
{
  return slowness->at != 0;
}

double
cs_slowness_now (const cs_slowness_t *slowness, cs_time_us_t now)
{
  if (slowness->at == 0)
    return 1;
  cs_time_us_t age = now > slowness->at ? now - slowness->at : 0;
  double weight = exp (-(double)age / (double)DECAY_US);
  return slowness->mean + (slowness->last - slowness->mean) * weight;
}
