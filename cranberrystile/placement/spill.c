#include "placement/spill.h"

#include <stdlib.h>

#define BUCKET_ENTRIES 4

typedef struct
{
  uint64_t key; /* 0: empty */
  uint64_t target;
  cs_time_us_t last_used;
} entry_t;

struct cs_spill
{
  entry_t *entries;
  uint64_t buckets;
  cs_time_us_t ttl_us;
};

cs_spill_t *
cs_spill_create (uint32_t entries, cs_time_us_t ttl_us)
{
  cs_spill_t *spill = calloc (1, sizeof *spill);
  if (spill == NULL)
    return NULL;
  spill->buckets = entries / BUCKET_ENTRIES + 1;
  spill->ttl_us = ttl_us;
  spill->entries
      = calloc (spill->buckets * BUCKET_ENTRIES, sizeof *spill->entries);
  if (spill->entries == NULL)
    {
      free (spill);
      return NULL;
    }
  return spill;
}

void
cs_spill_destroy (cs_spill_t *spill)
{
  if (spill == NULL)
    return;
  free (spill->entries);
  free (spill);
}

static entry_t *
find_bucket (const cs_spill_t *spill, uint64_t key)
{
  return &spill->entries[key % spill->buckets * BUCKET_ENTRIES];
}

static entry_t *
find_entry (const cs_spill_t *spill, uint64_t key)
{
  entry_t *bucket = find_bucket (spill, key);
  for (int i = 0; i < BUCKET_ENTRIES; i++)
    if (bucket[i].key == key)
      return &bucket[i];
  return NULL;
}

uint64_t
cs_spill_find (const cs_spill_t *spill, uint64_t key, cs_time_us_t now)
{
  const entry_t *entry = find_entry (spill, key);
  if (key == 0 || entry == NULL || now > entry->last_used + spill->ttl_us)
    return 0;
  return entry->target;
}

void
cs_spill_put (cs_spill_t *spill, uint64_t key, uint64_t target,
              cs_time_us_t now)
{
  entry_t *entry = find_entry (spill, key);
  if (key == 0)
    return;
  if (entry == NULL)
    {
      entry_t *bucket = find_bucket (spill, key);
      entry = &bucket[0];
      for (int i = 1; i < BUCKET_ENTRIES; i++)
        if (bucket[i].last_used < entry->last_used)
          entry = &bucket[i];
    }
  entry->key = key;
  entry->target = target;
  entry->last_used = now;
}

void
cs_spill_remove (cs_spill_t *spill, uint64_t key)
{
  entry_t *entry = find_entry (spill, key);
  if (entry == NULL)
    return;
  entry->key = 0;
  entry->last_used = 0;
}
