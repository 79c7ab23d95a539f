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
  double excess;   /* by how much calls take longer than by the stated figures:
                      running average of the ratio, less 1 */
  cs_time_us_t excess_at; /* when EXCESS was last updated */
} cs_slowness_t;

/* Records that the target stated FIGURE > 0.  */
void cs_slowness_record (cs_slowness_t *slowness, double figure,
                         cs_time_us_t now);

/* Whether the target has ever stated a figure.  */
bool cs_slowness_is_stated (const cs_slowness_t *slowness);

/* Records that a call took RATIO > 0 times as long as was expected by
   cs_slowness_now.  */
void cs_slowness_record_ratio (cs_slowness_t *slowness, double ratio,
                               cs_time_us_t now);

/* Returns the estimated present figure: the last one, which decays with its
   age towards the running average, corrected by the measured times; 1 if none
   was stated.  Both fade if the target isn't heard of for long: one that seems
   slow gets few calls, by which its recovery would show.  */
double cs_slowness_now (const cs_slowness_t *slowness, cs_time_us_t now);

#endif
