/* How long work takes at a target at this moment, compared to usual, as the
   target states with its responses.  */

#ifndef CS_SLOWNESS_H
#define CS_SLOWNESS_H

#include <stdbool.h>

#include "common/clock.h"

/* Zero-initialise.  Figures are factors: 1 = as usual, 2.5 = work takes 2.5
   times as long.  */
typedef struct
{
  double last;
  double mean;     /* running average */
  cs_time_us_t at; /* when LAST was stated; 0: never */
} cs_slowness_t;

/* Records that the target stated FIGURE > 0.  */
void cs_slowness_record (cs_slowness_t *slowness, double figure,
                         cs_time_us_t now);

/* Whether the target has ever stated a figure.  */
bool cs_slowness_is_stated (const cs_slowness_t *slowness);

/* Returns the estimated present figure: the last one, which decays with its
   age towards the running average; 1 if none was stated.  */
double cs_slowness_now (const cs_slowness_t *slowness, cs_time_us_t now);

#endif
