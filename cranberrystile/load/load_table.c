#include "cranberrystile/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

/* Index of the first entry that is not below TARGET.  */
static size_t
lower_bound (const cs_load_table_t *table, uint32_t target)
{
  size_t from = 0;
  size_t to = table->count;
  while (from < to)
    {
      size_t middle = from + (to - from) / 2;
      if (table->entries[middle].target < target)
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

uint32_t
cs_load_table_get (const cs_load_table_t *table, uint32_t target)
{
  size_t at = lower_bound (table, target);
  if (at == table->count || table->entries[at].target != target)
    return 0;
  return table->entries[at].calls;
}

/* The entry of TARGET, made when it is new; NULL without memory.  */
static cs_load_entry_t *
entry_for (cs_load_table_t *table, uint32_t target)
{
  size_t at = lower_bound (table, target);
  if (at < table->count && table->entries[at].target == target)
    return &table->entries[at];
  if (table->count == table->capacity)
    {
      size_t capacity = table->capacity == 0 ? 16 : table->capacity * 2;
      cs_load_entry_t *entries
          = realloc (table->entries, capacity * sizeof *entries);
      if (entries == NULL)
        return NULL;
      table->entries = entries;
      table->capacity = capacity;
    }
  memmove (&table->entries[at + 1], &table->entries[at],
           (table->count - at) * sizeof *table->entries);
  table->entries[at] = (cs_load_entry_t){ target, 0 };
  table->count++;
  return &table->entries[at];
}

int
cs_load_table_set (cs_load_table_t *table, uint32_t target, uint32_t calls)
{
  cs_load_entry_t *entry = entry_for (table, target);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  entry->calls = calls;
  return CS_OK;
}

int
cs_load_table_add (cs_load_table_t *table, uint32_t target, uint32_t calls)
{
  cs_load_entry_t *entry = entry_for (table, target);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  entry->calls += calls;
  return CS_OK;
}

void
cs_load_table_clear (cs_load_table_t *table)
{
  table->count = 0;
}

void
cs_load_table_free (cs_load_table_t *table)
{
  free (table->entries);
  memset (table, 0, sizeof *table);
}
