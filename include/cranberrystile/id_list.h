/* A short list of 64-bit ids, of parts of prompts or of requests.  */

#ifndef CS_ID_LIST_H
#define CS_ID_LIST_H

#include <stdint.h>

#include "common/str.h"

#define CS_ID_LIST_MAX 16

typedef struct
{
  uint64_t ids[CS_ID_LIST_MAX];
  uint32_t count;
} cs_id_list_t;

/* Appends the ids to OUT in hexadecimal, separated by commas, for logs.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_id_list_print (const cs_id_list_t *list, cs_buf_t *out);

#endif
