#include "cranberrystile/id_list.h"

#include "common/error.h"

int
cs_id_list_print (const cs_id_list_t *list, cs_buf_t *out)
{
  int rc = CS_OK;
  for (uint32_t i = 0; rc == CS_OK && i < list->count; i++)
    rc = cs_buf_printf (out, "%s%llx", i == 0 ? "" : ",",
                        (unsigned long long)list->ids[i]);
  return rc;
}
