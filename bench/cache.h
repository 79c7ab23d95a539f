/* Prompt caches of engines: token-limited, least recently used goes first.  */

#ifndef CS_BENCH_CACHE_H
#define CS_BENCH_CACHE_H

#include <stdint.h>

typedef struct cache cache_t;

/* CAPACITY in tokens; 0 is no limit.  */
cache_t *cache_create (uint64_t capacity);
void cache_destroy (cache_t *cache);
void cache_clear (cache_t *cache);

/* Tokens of CHAT that are cached; from then on it holds TOKENS of it.  */
uint32_t cache_use (cache_t *cache, uint32_t chat, uint32_t tokens);

#endif
