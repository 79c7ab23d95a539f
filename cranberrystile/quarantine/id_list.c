#include "cranberrystile/id_list.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"

#define MIN_CAPACITY 8
#define MAX_PRINTED 16

/* Makes room for COUNT ids of the list's own.  */
static int
reserve (cs_id_list_t *list, uint32_t count)
{
  uint32_t capacity
      = list->capacity < MIN_CAPACITY ? MIN_CAPACITY : list->capacity;
  if (count <= list->capacity)
    return CS_OK;
  while (capacity < count)
    capacity *= 2;
  uint64_t *ids = realloc (list->capacity > 0 ? list->ids : NULL,
                           capacity * sizeof *ids);
  if (ids == NULL)
    return CS_ERR_NO_MEMORY;
  if (list->capacity == 0 && list->count > 0)
    memcpy (ids, list->ids, list->count * sizeof *ids);
  list->ids = ids;
  list->capacity = capacity;
  return CS_OK;
}

int
cs_id_list_add (cs_id_list_t *list, uint64_t id)
{
  int rc = reserve (list, list->count + 1);
  if (rc == 0)
    list->ids[list->count++] = id;
  return rc;
}

int
cs_id_list_copy (cs_id_list_t *out, const cs_id_list_t *from, uint32_t max)
{
  uint32_t count = from->count < max ? from->count : max;
  cs_id_list_t copy = { 0 };
  int rc = count > 0 ? reserve (&copy, count) : CS_OK;
  if (rc != 0)
    return rc;
  if (count > 0)
    memcpy (copy.ids, from->ids + from->count - count,
            count * sizeof *copy.ids);
  copy.count = count;
  cs_id_list_free (out);
  *out = copy;
  return CS_OK;
}

void
cs_id_list_free (cs_id_list_t *list)
{
  if (list->capacity > 0)
    free (list->ids);
  *list = (cs_id_list_t){ 0 };
}

bool
cs_id_list_has (const cs_id_list_t *list, uint64_t id)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->ids[i] == id)
      return true;
  return false;
}

int
cs_id_list_print (const cs_id_list_t *list, cs_buf_t *out)
{
  int rc = CS_OK;
  for (uint32_t i = 0; rc == CS_OK && i < list->count && i < MAX_PRINTED; i++)
    rc = cs_buf_printf (out, "%s%llx", i == 0 ? "" : ",",
                        (unsigned long long)list->ids[i]);
  if (rc == CS_OK && list->count > MAX_PRINTED)
    rc = cs_buf_printf (out, ",+%u", list->count - MAX_PRINTED);
  return rc;
}
