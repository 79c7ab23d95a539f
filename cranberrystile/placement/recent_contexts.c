#include "cranberrystile/recent_contexts.h"

cs_recent_context_t *
cs_recent_contexts_find (cs_recent_contexts_t *contexts, uint64_t key)
{
  cs_recent_context_t *entry = &contexts->entries[key % CS_RECENT_CONTEXTS];
  if (entry->key != key)
    *entry = (cs_recent_context_t){ .key = key };
  return entry;
}
