/* A fleet-wide retry budget that needs no messages between routers.  Within a
   sliding window, a router retries at most RATIO times its own first attempts,
   plus its share of a fixed allowance, so the sum over all routers stays
   within the bound.  Not thread-safe.  */

#ifndef CS_RETRY_WINDOW_H
#define CS_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* The window slides by one bucket at a time.  */
#define CS_RETRY_WINDOW_BUCKETS 10

typedef struct
{
  double ratio;
  cs_time_us_t bucket_us;
  uint64_t bucket; /* number of the newest bucket */
  uint32_t first_attempts[CS_RETRY_WINDOW_BUCKETS];
  uint32_t retries[CS_RETRY_WINDOW_BUCKETS];
} cs_retry_window_t;

void cs_retry_window_init (cs_retry_window_t *window, double ratio,
                           cs_time_us_t length_us);
void cs_retry_window_first_attempt (cs_retry_window_t *window,
                                    cs_time_us_t now);

/* Records one retry, or returns false if the budget does not allow it.
   ALLOWANCE is the number of retries per window that this router may make in
   addition to its ratio.  */
bool cs_retry_window_take (cs_retry_window_t *window, double allowance,
                           cs_time_us_t now);

#endif
