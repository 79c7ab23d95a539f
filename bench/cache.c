#include "cache.h"

#include <stdlib.h>

#include <uthash.h>

typedef struct
{
  uint32_t chat;
  uint32_t tokens;
  UT_hash_handle hh;
} entry_t;

struct cache
{
  uint64_t capacity;
  uint64_t used;
  entry_t *by_chat; /* hash table, iterated least recently used first */
};

cache_t *
cache_create (uint64_t capacity)
{
  cache_t *cache = calloc (1, sizeof *cache);
  if (cache != NULL)
    cache->capacity = capacity;
  return cache;
}

static void
remove_entry (cache_t *cache, entry_t *entry)
{
  /* The table cannot be NULL while it has an entry.
     NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
  HASH_DEL (cache->by_chat, entry);
  cache->used -= entry->tokens;
  free (entry);
}

void
cache_clear (cache_t *cache)
{
  entry_t *entry, *next;
  HASH_ITER (hh, cache->by_chat, entry, next) { remove_entry (cache, entry); }
}

void
cache_destroy (cache_t *cache)
{
  if (cache == NULL)
    return;
  cache_clear (cache);
  free (cache);
}

uint32_t
cache_use (cache_t *cache, uint32_t chat, uint32_t tokens)
{
  entry_t *entry = NULL;
  uint32_t found = 0;
  HASH_FIND (hh, cache->by_chat, &chat, sizeof chat, entry);
  if (entry != NULL)
    {
      found = entry->tokens;
      remove_entry (cache, entry);
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return found;
  entry->chat = chat;
  entry->tokens = tokens;
  HASH_ADD (hh, cache->by_chat, chat, sizeof entry->chat, entry);
  cache->used += tokens;
  while (cache->capacity > 0 && cache->used > cache->capacity
         && cache->by_chat != entry)
    remove_entry (cache, cache->by_chat);
  return found;
}
