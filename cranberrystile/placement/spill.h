/* Remembers where chats went that were not placed on their first choice, so
   that they find their context again when they return.  Chats on their first
   choice need no memory: ranking finds it.

   Fixed size: an old entry gives way to a new one of the same bucket.  */

#ifndef CS_SPILL_H
#define CS_SPILL_H

#include <stdint.h>

#include "common/clock.h"

typedef struct cs_spill cs_spill_t;

cs_spill_t *cs_spill_create (uint32_t entries, cs_time_us_t ttl_us);
void cs_spill_destroy (cs_spill_t *spill);

/* Returns the target remembered for KEY, or 0.  */
uint64_t cs_spill_find (const cs_spill_t *spill, uint64_t key,
                        cs_time_us_t now);
void cs_spill_put (cs_spill_t *spill, uint64_t key, uint64_t target,
                   cs_time_us_t now);
void cs_spill_forget (cs_spill_t *spill, uint64_t key);

#endif
