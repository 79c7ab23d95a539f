#include "placement/rate.h"

#include <math.h>

void
cs_rate_init (cs_rate_t *rate, cs_time_us_t window_us)
{
  rate->per_second = 0;
  rate->updated = 0;
  rate->window_us = window_us;
}

double
cs_rate_value (const cs_rate_t *rate, cs_time_us_t now)
{
  if (now <= rate->updated)
    return rate->per_second;
  double age = (double)(now - rate->updated) / (double)rate->window_us;
  return rate->per_second * exp (-age);
}

void
cs_rate_add (cs_rate_t *rate, double events, cs_time_us_t now)
{
  double decayed = cs_rate_value (rate, now);
  rate->per_second
      = decayed + events * (double)CS_US_PER_S / (double)rate->window_us;
  if (now > rate->updated)
    rate->updated = now;
}
