#include "cranberrystile/stream_table.h"

#include <stdlib.h>

#include <uthash.h>

#include "common/error.h"

typedef struct
{
  cs_stream_record_t record;
  UT_hash_handle hh;
} entry_t;

struct cs_stream_table
{
  entry_t *entries;
};

cs_stream_table_t *
cs_stream_table_create (void)
{
  return calloc (1, sizeof (cs_stream_table_t));
}

void
cs_stream_table_destroy (cs_stream_table_t *table)
{
  if (table == NULL)
    return;
  cs_stream_table_clear (table);
  free (table);
}

static entry_t *
find (const cs_stream_table_t *table, uint64_t stream)
{
  entry_t *found = NULL;
  HASH_FIND (hh, table->entries, &stream, sizeof stream, found);
  return found;
}

static int
add (cs_stream_table_t *table, const cs_stream_record_t *record,
     cs_time_us_t now)
{
  if (HASH_COUNT (table->entries) >= CS_STREAM_TABLE_MAX)
    cs_stream_table_expire (table, now);
  if (HASH_COUNT (table->entries) >= CS_STREAM_TABLE_MAX)
    return CS_ERR_OVERLOADED;
  entry_t *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  entry->record = *record;
  HASH_ADD (hh, table->entries, record.stream, sizeof entry->record.stream,
            entry);
  return CS_OK;
}

int
cs_stream_table_put (cs_stream_table_t *table,
                     const cs_stream_record_t *record, cs_time_us_t now)
{
  entry_t *entry = find (table, record->stream);
  if (entry == NULL)
    return add (table, record, now);
  entry->record = *record;
  return CS_OK;
}

int
cs_stream_table_merge (cs_stream_table_t *table,
                       const cs_stream_record_t *record, cs_time_us_t now)
{
  entry_t *entry = find (table, record->stream);
  if (entry == NULL)
    return add (table, record, now);
  if (entry->record.version != record->version)
    entry->record.version = CS_STREAM_VERSION_AMBIGUOUS;
  if (record->until > entry->record.until)
    entry->record.until = record->until;
  return CS_OK;
}

const cs_stream_record_t *
cs_stream_table_find (const cs_stream_table_t *table, uint64_t stream,
                      cs_time_us_t now)
{
  const entry_t *entry = find (table, stream);
  return entry != NULL && now < entry->record.until ? &entry->record : NULL;
}

static void
remove_entry (cs_stream_table_t *table, entry_t *entry)
{
  HASH_DEL (table->entries, entry);
  free (entry);
}

void
cs_stream_table_remove (cs_stream_table_t *table, uint64_t stream)
{
  entry_t *entry = find (table, stream);
  if (entry != NULL)
    remove_entry (table, entry);
}

void
cs_stream_table_clear (cs_stream_table_t *table)
{
  entry_t *entry, *next;
  HASH_ITER (hh, table->entries, entry, next) { remove_entry (table, entry); }
}

void
cs_stream_table_expire (cs_stream_table_t *table, cs_time_us_t now)
{
  entry_t *entry, *next;
  HASH_ITER (hh, table->entries, entry, next)
  {
    if (entry->record.until <= now)
      remove_entry (table, entry);
  }
}

size_t
cs_stream_table_count (const cs_stream_table_t *table)
{
  return HASH_COUNT (table->entries);
}

void
cs_stream_table_each (const cs_stream_table_t *table, cs_stream_table_fn *fn,
                      void *context)
{
  for (const entry_t *entry = table->entries; entry != NULL;
       entry = entry->hh.next)
    fn (context, &entry->record);
}
