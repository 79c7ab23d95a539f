/* Prompt cache of a simulated engine: an LRU cache of chats, limited by the
   total number of tokens.  */

#ifndef CS_BENCH_CACHE_H
#define CS_BENCH_CACHE_H

#include <stdint.h>

typedef struct cache cache_t;

/* CAPACITY is in tokens, 0 for no limit.  Returns NULL when out of memory.  */
cache_t *cache_create (uint64_t capacity);
void cache_destroy (cache_t *cache);
void cache_clear (cache_t *cache);

/* Returns the number of cached tokens of CHAT, then caches TOKENS of it as the
   most recently used entry.  */
uint32_t cache_use (cache_t *cache, uint32_t chat, uint32_t tokens);

#endif
