/* The leading parts of a prompt that other requests may share, which placement
   uses to find cached context.  */

#ifndef CS_PROMPT_CONTEXT_H
#define CS_PROMPT_CONTEXT_H

#include <stdint.h>

/* Maximum number of shared parts that are stored.  If there are more, the last
   entry stands for all parts from the eighth on.  */
#define CS_MAX_PROMPT_PARTS 8

/* A cache holds a part only together with all parts before it, so a part is
   identified by the hash chain of its id and all ids before it.  */
typedef struct
{
  uint64_t chain[CS_MAX_PROMPT_PARTS];
  uint32_t tokens[CS_MAX_PROMPT_PARTS]; /* of the part alone */
  uint32_t count;
  uint32_t own_tokens; /* of the last part, which is unique to the request */
} cs_prompt_context_t;

/* Returns the hash of the longest shared prefix, or 0 if nothing is shared. */
uint64_t cs_prompt_context_key (const cs_prompt_context_t *context);

/* Returns the number of tokens in all shared parts.  */
uint32_t cs_prompt_context_tokens (const cs_prompt_context_t *context);

#endif
