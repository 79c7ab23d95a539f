#include "cranberrystile/avoid_list.h"

#include <string.h>

bool
cs_avoid_list_has (const cs_avoid_list_t *list, uint64_t id)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->ids[i] == id)
      return true;
  return false;
}

void
cs_avoid_list_add (cs_avoid_list_t *list, uint64_t id)
{
  if (list->count == CS_MAX_AVOIDED_TARGETS)
    {
      memmove (list->ids, list->ids + 1,
               (CS_MAX_AVOIDED_TARGETS - 1) * sizeof list->ids[0]);
      list->count--;
    }
  list->ids[list->count++] = id;
}

void
cs_avoid_list_keep_newest (cs_avoid_list_t *list)
{
  if (list->count < 2)
    return;
  list->ids[0] = list->ids[list->count - 1];
  list->count = 1;
}
