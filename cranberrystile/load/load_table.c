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

cs_load_t
cs_load_table_get (const cs_load_table_t *table, uint32_t target)
{
  size_t at = lower_bound (table, target);
  if (at == table->count || table->entries[at].target != target)
    return (cs_load_t){ .target = target };
  return table->entries[at];
}

/* The entry of TARGET, made when it is new; NULL without memory.  */
static cs_load_t *
entry_for (cs_load_table_t *table, uint32_t target)
{
  size_t at = lower_bound (table, target);
  if (at < table->count && table->entries[at].target == target)
    return &table->entries[at];
  if (table->count == table->capacity)
    {
      size_t capacity = table->capacity == 0 ? 16 : table->capacity * 2;
      cs_load_t *entries
          = realloc (table->entries, capacity * sizeof *entries);
      if (entries == NULL)
        return NULL;
      table->entries = entries;
      table->capacity = capacity;
    }
  memmove (&table->entries[at + 1], &table->entries[at],
           (table->count - at) * sizeof *table->entries);
  table->entries[at] = (cs_load_t){ .target = target };
  table->count++;
  return &table->entries[at];
}

int
cs_load_table_set (cs_load_table_t *table, const cs_load_t *load)
{
  cs_load_t *entry = entry_for (table, load->target);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  *entry = *load;
  return CS_OK;
}

void
cs_load_table_free (cs_load_table_t *table)
{
  free (table->entries);
  memset (table, 0, sizeof *table);
}

void
cs_load_add (cs_load_t *sum, const cs_load_t *more)
{
  sum->calls += more->calls;
  sum->ended += more->ended;
  sum->failed += more->failed;
}

/* Calls in flight are told when they change by more than this part, and ended
   calls, which only weigh failures, by so many.  */
#define CALLS_PART 8
#define ENDED_STEP 16

bool
cs_load_should_report (const cs_load_t *load, const cs_load_t *told)
{
  uint32_t change = load->calls > told->calls ? load->calls - told->calls
                                              : told->calls - load->calls;
  if (change > told->calls / CALLS_PART
      || (load->calls == 0 && told->calls > 0))
    return true;
  return load->failed != told->failed
         || load->ended - told->ended >= ENDED_STEP;
}
