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

/* What a router may use of the budget.  */
typedef struct
{
  double ratio_share; /* of the ratio, up to 1 */
  double allowance;   /* retries per window in addition to the ratio */
} cs_retry_share_t;

/* Returns the share of a router that restarted AGE_US ago and otherwise has an
   allowance of ALLOWANCE.  What it used before is not known, so its share
   grows over a window as that passes out of it.  */
cs_retry_share_t
cs_retry_window_restart_share (const cs_retry_window_t *window,
                               double allowance, cs_time_us_t age_us);

/* Records one retry, or returns false if SHARE does not allow it.  */
bool cs_retry_window_take (cs_retry_window_t *window, cs_retry_share_t share,
                           cs_time_us_t now);

#endif
