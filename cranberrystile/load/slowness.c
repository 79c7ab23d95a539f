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

/* The running averages hold while a target is heard of at least this often, as
   one in use is, and lose their weight with this time constant after that.  */
#define QUIET_US (10 * CS_US_PER_S)
#define FORGET_US (15 * CS_US_PER_S)

/* Least weight of one call in the measured ratio, and the most that one counts
   for, as calls may be slow for other reasons, such as lost packets.  */
#define MIN_RATIO_WEIGHT 0.02
#define MAX_RATIO 5.0
/* Bounds of the correction.  Excesses below CHANCE are left out: work varies
   by half from call to call.  */
#define MIN_CORRECTION 0.5
#define MAX_CORRECTION 4.0
#define CHANCE 0.5

/* Returns what is left of a weight after AGE_US.  */
static double
weight_left (cs_time_us_t age_us, cs_time_us_t constant_us)
{
  return exp (-(double)age_us / (double)constant_us);
}

static cs_time_us_t
age_of (cs_time_us_t at, cs_time_us_t now)
{
  return now > at ? now - at : 0;
}

/* Returns what is left at NOW of a running average that was updated at AT.  */
static double
average_left (cs_time_us_t at, cs_time_us_t now)
{
  return now > at + QUIET_US ? weight_left (now - at - QUIET_US, FORGET_US)
                             : 1;
}

static double
mean_now (const cs_slowness_t *slowness, cs_time_us_t now)
{
  return 1 + (slowness->mean - 1) * average_left (slowness->at, now);
}

static double
correction_now (const cs_slowness_t *slowness, cs_time_us_t now)
{
  double excess = slowness->excess * average_left (slowness->excess_at, now);
  if (fabs (excess) < CHANCE)
    return 1;
  return fmin (fmax (1 + excess, MIN_CORRECTION), MAX_CORRECTION);
}

void
cs_slowness_record (cs_slowness_t *slowness, double figure, cs_time_us_t now)
{
  if (slowness->at == 0)
    slowness->mean = 1;
  double weight = 1 - weight_left (age_of (slowness->at, now), MEAN_US);
  double mean = mean_now (slowness, now);
  slowness->mean = mean + (figure - mean) * fmin (weight, MAX_MEAN_WEIGHT);
  slowness->last = figure;
  slowness->at = now;
}

void
cs_slowness_record_ratio (cs_slowness_t *slowness, double ratio,
                          cs_time_us_t now)
{
  double weight = slowness->excess_at == 0
                      ? MIN_RATIO_WEIGHT
                      : fmax (MIN_RATIO_WEIGHT,
                              1 - average_left (slowness->excess_at, now));
  double measured = fmin (ratio, MAX_RATIO) * correction_now (slowness, now);
  slowness->excess += (measured - 1 - slowness->excess) * weight;
  slowness->excess_at = now;
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
  double mean = mean_now (slowness, now);
  double figure = mean
                  + (slowness->last - mean)
                        * weight_left (age_of (slowness->at, now), DECAY_US);
  return figure * correction_now (slowness, now);
}
