/* What a router remembers of the contexts that it served last.  */

#ifndef CS_RECENT_CONTEXTS_H
#define CS_RECENT_CONTEXTS_H

#include <stdint.h>

#include "common/clock.h"

/* Of the contexts that share an entry the latest is kept.  */
#define CS_RECENT_CONTEXTS 2048

typedef struct
{
  uint64_t key;
  uint64_t target;           /* hash of the last target's id; 0: none yet */
  cs_time_us_t spread_until; /* over all homes; 0: never */
} cs_recent_context_t;

/* Initialise with zeros.  */
typedef struct
{
  cs_recent_context_t entries[CS_RECENT_CONTEXTS];
} cs_recent_contexts_t;

/* Returns the entry of the context KEY, which replaces that of another one.
   It is valid until the next call.  */
cs_recent_context_t *cs_recent_contexts_find (cs_recent_contexts_t *contexts,
                                              uint64_t key);

#endif
