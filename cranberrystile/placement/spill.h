/* Table of the chats that were not placed on their first ranked target, so
   that their next request finds the cached context.  Chats on their first
   ranked target need no entry.

   The size is fixed: a new entry evicts the least recently used one of its
   bucket.  */

#ifndef CS_SPILL_H
#define CS_SPILL_H

#include <stdint.h>

#include "common/clock.h"

typedef struct cs_spill cs_spill_t;

/* Returns NULL if memory is exhausted.  */
cs_spill_t *cs_spill_create (uint32_t entries, cs_time_us_t ttl_us);
void cs_spill_destroy (cs_spill_t *spill);

/* Returns the target recorded for KEY, or 0 if there is none or it has
   expired.  KEY 0 is never recorded.  */
uint64_t cs_spill_find (const cs_spill_t *spill, uint64_t key,
                        cs_time_us_t now);

/* Records TARGET for KEY and restarts the expiry time.  */
void cs_spill_put (cs_spill_t *spill, uint64_t key, uint64_t target,
                   cs_time_us_t now);
void cs_spill_remove (cs_spill_t *spill, uint64_t key);

#endif
