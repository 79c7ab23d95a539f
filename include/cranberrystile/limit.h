/* Rate limit of one organisation: a token bucket.  Not thread-safe.  */

#ifndef CS_LIMIT_H
#define CS_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Initialise with zeros: the bucket starts full.  */
typedef struct
{
  double tokens;
  cs_time_us_t updated;
  bool started;
} cs_limit_t;

/* Takes one token.  RATE is in requests per second; 0 is unlimited.  */
bool cs_limit_take (cs_limit_t *limit, uint32_t rate, uint32_t burst,
                    cs_time_us_t now);

/* Seconds until a token is there, at least 1.  */
uint32_t cs_limit_retry_after_s (const cs_limit_t *limit, uint32_t rate);

#endif
