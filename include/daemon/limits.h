/* Per-organisation rate limits and the retry budget, shared by the workers.
   Thread-safe.  */

#ifndef CS_DAEMON_LIMITS_H
#define CS_DAEMON_LIMITS_H

#include <stdbool.h>

#include "common/clock.h"
#include "cranberrystile/release.h"

typedef struct cs_limits cs_limits_t;

cs_limits_t *cs_limits_create (void);
void cs_limits_destroy (cs_limits_t *limits);

/* Takes one request of ORGANISATION.  When it is over its rate, returns false
   with *RETRY_AFTER_S.  */
bool cs_limits_take (cs_limits_t *limits,
                     const cs_organisation_t *organisation, cs_time_us_t now,
                     uint32_t *retry_after_s);

void cs_limits_first_try (cs_limits_t *limits);
bool cs_limits_take_retry (cs_limits_t *limits);

/* Seconds for Retry-After, spread at random from BASE_S on.  */
uint32_t cs_limits_spread (cs_limits_t *limits, uint32_t base_s);

#endif
