/* The targets on which earlier tries of a call failed, oldest first.  */

#ifndef CS_AVOID_LIST_H
#define CS_AVOID_LIST_H

#include <stdbool.h>
#include <stdint.h>

/* The most tries that the settings allow, less the last.  */
#define CS_MAX_AVOIDED_TARGETS 9

typedef struct
{
  uint64_t ids[CS_MAX_AVOIDED_TARGETS];
  uint32_t count;
} cs_avoid_list_t;

/* Adds target ID as the newest.  A full list drops its oldest.  */
void cs_avoid_list_add (cs_avoid_list_t *list, uint64_t id);

bool cs_avoid_list_has (const cs_avoid_list_t *list, uint64_t id);

/* Drops all but the newest.  */
void cs_avoid_list_keep_newest (cs_avoid_list_t *list);

#endif
