/* An engine's cache of prompt segments.  The least recently used segment is
   evicted first, but none that a running request uses.  */

#ifndef CS_EXPERIMENT_PREFIX_CACHE_H
#define CS_EXPERIMENT_PREFIX_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cranberrystile/prompt_context.h"

typedef struct
{
  uint64_t chain; /* hash of the segment and those before it */
  uint32_t tokens;
  uint32_t users;     /* running requests */
  uint64_t last_used; /* value of the cache's use counter */
  bool ready;         /* prefilled completely */
} prefix_segment_t;

/* Initialise with zeros.  */
typedef struct
{
  prefix_segment_t *segments;
  size_t count;
  size_t capacity;
  uint64_t uses;
  uint64_t tokens; /* of all segments */
} prefix_cache_t;

void prefix_cache_free (prefix_cache_t *cache);

/* Returns the number of tokens at the start of CONTEXT that are cached and
   ready.  */
uint32_t prefix_cache_ready_tokens (const prefix_cache_t *cache,
                                    const cs_prompt_context_t *context);

/* Adds the segments of CONTEXT for a request that starts, and retains them
   until prefix_cache_release.  If memory runs out, some aren't cached, and
   later requests prefill them again.  */
void prefix_cache_acquire (prefix_cache_t *cache,
                           const cs_prompt_context_t *context);
void prefix_cache_release (prefix_cache_t *cache,
                           const cs_prompt_context_t *context);

/* Marks the segments of CONTEXT as prefilled.  */
void prefix_cache_mark_ready (prefix_cache_t *cache,
                              const cs_prompt_context_t *context);

/* Evicts unused segments until at most MAX_TOKENS are cached.  Returns false
   if the segments in use exceed that.  */
bool prefix_cache_evict (prefix_cache_t *cache, uint64_t max_tokens);

#endif
