/* Calls in flight by target, as routers tell them to each other.  */

#ifndef CS_LOAD_TABLE_H
#define CS_LOAD_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint32_t target; /* lower half of the hash of the target's id */
  uint32_t calls;
} cs_load_entry_t;

/* Initialise with zeros; release with cs_load_table_free.  Entries are sorted
   by target.  */
typedef struct
{
  cs_load_entry_t *entries;
  size_t count;
  size_t capacity;
} cs_load_table_t;

uint32_t cs_load_table_get (const cs_load_table_t *table, uint32_t target);

/* Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_load_table_set (cs_load_table_t *table, uint32_t target,
                       uint32_t calls);

/* Adds CALLS to what stands.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_load_table_add (cs_load_table_t *table, uint32_t target,
                       uint32_t calls);

/* Forgets the calls but keeps the memory.  */
void cs_load_table_clear (cs_load_table_t *table);
void cs_load_table_free (cs_load_table_t *table);

#endif
