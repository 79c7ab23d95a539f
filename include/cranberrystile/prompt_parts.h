/* The parts of a prompt that other requests may share, each by its own id.
   Unlike a context, a part is the same whatever stands before it.  */

#ifndef CS_PROMPT_PARTS_H
#define CS_PROMPT_PARTS_H

#include <stdint.h>

#include "common/str.h"

/* Maximum number of parts that are stored; later ones are left out.  */
#define CS_MAX_PART_IDS 16

typedef struct
{
  uint64_t ids[CS_MAX_PART_IDS];
  uint32_t count;
} cs_prompt_parts_t;

/* Appends the ids to OUT in hexadecimal, separated by commas, for logs.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_prompt_parts_print (const cs_prompt_parts_t *parts, cs_buf_t *out);

#endif
