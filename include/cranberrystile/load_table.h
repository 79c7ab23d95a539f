/* Calls at targets, as routers tell them to each other.  */

#ifndef CS_LOAD_TABLE_H
#define CS_LOAD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint32_t target; /* lower half of the hash of the target's id */
  uint32_t calls;  /* in flight */
  uint32_t ended;  /* in all */
  uint32_t failed; /* of those */
} cs_load_t;

/* Initialise with zeros; release with cs_load_table_free.  Entries are sorted
   by target.  */
typedef struct
{
  cs_load_t *entries;
  size_t count;
  size_t capacity;
} cs_load_table_t;

/* The entry of TARGET; zeros when there is none.  */
cs_load_t cs_load_table_get (const cs_load_table_t *table, uint32_t target);

/* Puts LOAD in place of what stood for its target.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_load_table_set (cs_load_table_t *table, const cs_load_t *load);
void cs_load_table_free (cs_load_table_t *table);

/* Adds the counts of MORE to SUM.  */
void cs_load_add (cs_load_t *sum, const cs_load_t *more);

/* Whether LOAD differs enough from what was TOLD to be told again.  Small
   changes of busy targets are left out, so that they do not fill each beat. */
bool cs_load_should_report (const cs_load_t *load, const cs_load_t *told);

#endif
