/* Remembers a count as it was when the loads were taken that are known now. */

#ifndef CS_DELAYED_COUNT_H
#define CS_DELAYED_COUNT_H

#include <stdint.h>

#include "common/clock.h"

/* Age of the loads that other routers reported: three hops, with a wait for
   the next heartbeat at each.  */
#define CS_DELAYED_COUNT_US (700 * CS_US_PER_MS)

#define CS_DELAYED_COUNT_STEP_US (50 * CS_US_PER_MS)
#define CS_DELAYED_COUNT_STEPS (CS_DELAYED_COUNT_US / CS_DELAYED_COUNT_STEP_US)

/* The count at the end of each step of time.  Initialise with zeros.  */
typedef struct
{
  uint32_t steps[CS_DELAYED_COUNT_STEPS]; /* ring, by the number of the step */
  uint64_t step;                          /* the present one */
  uint32_t latest;
} cs_delayed_count_t;

/* Records that the count is VALUE from NOW on.  Returns what it was
   CS_DELAYED_COUNT_US before, to the precision of a step; 0 before the first
   record.  */
uint32_t cs_delayed_count_record (cs_delayed_count_t *count, uint32_t value,
                                  cs_time_us_t now);

#endif
