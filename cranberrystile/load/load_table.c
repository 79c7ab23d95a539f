#include "cranberrystile/load_table.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

/* Returns the index of the first entry whose target is not below TARGET.  */
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

/* Returns the entry of TARGET, which is inserted if there is none, or NULL if
   memory is exhausted.  */
static cs_load_t *
find_or_insert (cs_load_table_t *table, uint32_t target)
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
  cs_load_t *entry = find_or_insert (table, load->target);
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
  sum->sent += more->sent;
}

/* A change of the calls in flight is reported if it is more than 1/8 of their
   last reported number.  Ended calls only serve to weigh the failures, so they
   are reported after 16 more.  */
#define CALLS_CHANGE_DIVISOR 8
#define MIN_ENDED_CHANGE 16
/* A target has many slots from this number on.  */
#define MANY_SLOTS 16

bool
cs_load_should_report (const cs_load_t *load, const cs_load_t *reported,
                       uint32_t slots)
{
  uint32_t change = load->calls > reported->calls
                        ? load->calls - reported->calls
                        : reported->calls - load->calls;
  uint32_t too_small = reported->calls / CALLS_CHANGE_DIVISOR;
  if (slots >= MANY_SLOTS && too_small == 0)
    too_small = 1;
  if (load->sent != reported->sent)
    return true;
  if (change > too_small || (load->calls == 0 && reported->calls > 0))
    return true;
  return load->failed != reported->failed
         || load->ended - reported->ended >= MIN_ENDED_CHANGE;
}
