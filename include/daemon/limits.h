/* Per-organisation rate limits and the retry budget, shared by the workers.
   Thread-safe.  */

#ifndef CS_DAEMON_LIMITS_H
#define CS_DAEMON_LIMITS_H

#include <stdbool.h>

#include "common/clock.h"
#include "cranberrystile/release.h"

typedef struct cs_limits cs_limits_t;

/* Returns NULL if memory is exhausted.  */
cs_limits_t *cs_limits_create (void);
void cs_limits_destroy (cs_limits_t *limits);

/* Counts one request of ORGANISATION against its rate limit.  Returns false,
   and sets *RETRY_AFTER_S, if it is over the limit.  */
bool cs_limits_take (cs_limits_t *limits,
                     const cs_organisation_t *organisation, cs_time_us_t now,
                     uint32_t *retry_after_s);

/* Adds the share of retries that one request earns to the retry budget.  */
void cs_limits_record_first_attempt (cs_limits_t *limits);

/* Takes one retry from the budget; returns false if there is none left.  */
bool cs_limits_take_retry (cs_limits_t *limits);

/* Returns the seconds for Retry-After: BASE_S plus random jitter, so that
   callers do not all return at the same time.  */
uint32_t cs_limits_jitter (cs_limits_t *limits, uint32_t base_s);

#endif
