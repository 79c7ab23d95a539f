/* Token-bucket rate limiter, one per organisation.  Not thread-safe.  */

#ifndef CS_RATE_LIMIT_H
#define CS_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Zero-initialise; the first take fills the bucket.  */
typedef struct
{
  double tokens;
  cs_time_us_t updated;
  bool initialised;
} cs_rate_limit_t;

/* Takes one token; returns false when the bucket is empty.  RATE is in
   requests per second, 0 means unlimited.  BURST is the capacity of the
   bucket; 0 counts as 1.  */
bool cs_rate_limit_take (cs_rate_limit_t *limit, uint32_t rate, uint32_t burst,
                         cs_time_us_t now);

/* Seconds until the next token is available, at least 1.  */
uint32_t cs_rate_limit_retry_after_s (const cs_rate_limit_t *limit,
                                      uint32_t rate);

#endif
