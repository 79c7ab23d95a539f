#include "cranberrystile/prompt_parts.h"

#include "common/error.h"

int
cs_prompt_parts_print (const cs_prompt_parts_t *parts, cs_buf_t *out)
{
  int rc = CS_OK;
  for (uint32_t i = 0; rc == CS_OK && i < parts->count; i++)
    rc = cs_buf_printf (out, "%s%llx", i == 0 ? "" : ",",
                        (unsigned long long)parts->ids[i]);
  return rc;
}
