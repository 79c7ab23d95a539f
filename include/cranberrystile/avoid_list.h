/* List of the targets at which earlier attempts of a call failed, oldest
   first.  */

#ifndef CS_AVOID_LIST_H
#define CS_AVOID_LIST_H

#include <stdbool.h>
#include <stdint.h>

/* One less than the maximum number of attempts that the settings allow.  */
#define CS_MAX_AVOIDED_TARGETS 9

typedef struct
{
  uint64_t ids[CS_MAX_AVOIDED_TARGETS];
  uint32_t count;
} cs_avoid_list_t;

/* Appends target ID.  If the list is full, its oldest entry is dropped.  */
void cs_avoid_list_add (cs_avoid_list_t *list, uint64_t id);

bool cs_avoid_list_has (const cs_avoid_list_t *list, uint64_t id);

/* Drops all entries but the newest.  */
void cs_avoid_list_keep_newest (cs_avoid_list_t *list);

#endif
