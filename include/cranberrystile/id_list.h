/* A list of 64-bit ids, of parts of prompts or of requests.  */

#ifndef CS_ID_LIST_H
#define CS_ID_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Initialise with zeros; release with cs_id_list_free.  */
typedef struct
{
  uint64_t *ids;
  uint32_t count;
  uint32_t capacity; /* 0: IDS are borrowed */
} cs_id_list_t;

/* Appends ID.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_id_list_add (cs_id_list_t *list, uint64_t id);

/* Replaces the ids of OUT, which may be borrowed, by the last MAX of FROM.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_id_list_copy (cs_id_list_t *out, const cs_id_list_t *from,
                     uint32_t max);

/* Leaves an empty list.  */
void cs_id_list_free (cs_id_list_t *list);

bool cs_id_list_has (const cs_id_list_t *list, uint64_t id);

/* Appends the ids to OUT in hexadecimal, separated by commas, for logs; of a
   long list the first ones and how many more there are.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_id_list_print (const cs_id_list_t *list, cs_buf_t *out);

#endif
