#include "prefix_cache.h"

#include <stdlib.h>

static prefix_segment_t *
find (const prefix_cache_t *cache, uint64_t chain)
{
  for (size_t i = 0; i < cache->count; i++)
    if (cache->segments[i].chain == chain)
      return &cache->segments[i];
  return NULL;
}

static void
add (prefix_cache_t *cache, uint64_t chain, uint32_t tokens)
{
  if (cache->count == cache->capacity)
    {
      size_t capacity = cache->capacity == 0 ? 64 : cache->capacity * 2;
      prefix_segment_t *grown
          = reallocarray (cache->segments, capacity, sizeof *grown);
      if (grown == NULL)
        return;
      cache->segments = grown;
      cache->capacity = capacity;
    }
  cache->segments[cache->count++]
      = (prefix_segment_t){ .chain = chain, .tokens = tokens, .users = 0 };
  cache->tokens += tokens;
}

void
prefix_cache_free (prefix_cache_t *cache)
{
  free (cache->segments);
  *cache = (prefix_cache_t){ 0 };
}

uint32_t
prefix_cache_ready_tokens (const prefix_cache_t *cache,
                           const cs_prompt_context_t *context)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < context->count; i++)
    {
      const prefix_segment_t *segment = find (cache, context->chain[i]);
      if (segment == NULL || !segment->ready)
        break;
      tokens += context->tokens[i];
    }
  return tokens;
}

void
prefix_cache_acquire (prefix_cache_t *cache,
                      const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      if (find (cache, context->chain[i]) == NULL)
        add (cache, context->chain[i], context->tokens[i]);
      prefix_segment_t *segment = find (cache, context->chain[i]);
      if (segment == NULL)
        continue;
      segment->users++;
      segment->last_used = ++cache->uses;
    }
}

static void
drop (prefix_cache_t *cache, size_t at)
{
  cache->tokens -= cache->segments[at].tokens;
  cache->segments[at] = cache->segments[--cache->count];
}

void
prefix_cache_release (prefix_cache_t *cache,
                      const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      prefix_segment_t *segment = find (cache, context->chain[i]);
      if (segment == NULL || segment->users == 0)
        continue;
      segment->users--;
      /* A segment whose only user stopped before prefilling it is
         incomplete.  */
      if (segment->users == 0 && !segment->ready)
        drop (cache, (size_t)(segment - cache->segments));
    }
}

void
prefix_cache_mark_ready (prefix_cache_t *cache,
                         const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      prefix_segment_t *segment = find (cache, context->chain[i]);
      if (segment != NULL)
        segment->ready = true;
    }
}

bool
prefix_cache_evict (prefix_cache_t *cache, uint64_t max_tokens)
{
  while (cache->tokens > max_tokens)
    {
      size_t oldest = cache->count;
      for (size_t i = 0; i < cache->count; i++)
        if (cache->segments[i].users == 0
            && (oldest == cache->count
                || cache->segments[i].last_used
                       < cache->segments[oldest].last_used))
          oldest = i;
      if (oldest == cache->count)
        return false;
      drop (cache, oldest);
    }
  return true;
}
