/* Numbers of calls at each target, as routers report them to each other.  */

#ifndef CS_LOAD_TABLE_H
#define CS_LOAD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint32_t target; /* lower 32 bits of the hash of the target's id */
  uint32_t calls;  /* in flight */
  uint32_t ended;  /* total */
  uint32_t failed; /* of the ended calls */
  uint32_t sent;   /* total since the target names a limit */
} cs_load_t;

/* Initialise with zeros; release with cs_load_table_free.  Entries are sorted
   by target.  */
typedef struct
{
  cs_load_t *entries;
  size_t count;
  size_t capacity;
} cs_load_table_t;

/* Returns the entry of TARGET, with zero counts if there is none.  */
cs_load_t cs_load_table_get (const cs_load_table_t *table, uint32_t target);

/* Sets the entry of the target that LOAD names.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_load_table_set (cs_load_table_t *table, const cs_load_t *load);
void cs_load_table_free (cs_load_table_t *table);

/* Adds the counts of MORE to SUM.  */
void cs_load_add (cs_load_t *sum, const cs_load_t *more);

/* Returns whether LOAD differs enough from REPORTED, the last report of the
   same target, to be reported again.  Small changes at busy targets are not,
   which keeps heartbeats short, unless the target names a limit.  Neither are
   single calls at a target with many SLOTS, nearly all of which are free or
   taken all the same.  SLOTS is 0 if the receiver adds up reports, where
   single calls count.  */
bool cs_load_should_report (const cs_load_t *load, const cs_load_t *reported,
                            uint32_t slots);

#endif
