/* Exponentially decaying average of an event rate.  */

#ifndef CS_RATE_H
#define CS_RATE_H

#include "common/clock.h"

typedef struct
{
  double per_second;
  cs_time_us_t updated;
  cs_time_us_t window_us; /* time constant */
} cs_rate_t;

void cs_rate_init (cs_rate_t *rate, cs_time_us_t window_us);
void cs_rate_add (cs_rate_t *rate, double events, cs_time_us_t now);
double cs_rate_value (const cs_rate_t *rate, cs_time_us_t now);

#endif
