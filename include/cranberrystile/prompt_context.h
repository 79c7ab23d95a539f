/* The parts of a prompt that other requests share, as placement sees them.  */

#ifndef CS_PROMPT_CONTEXT_H
#define CS_PROMPT_CONTEXT_H

#include <stdint.h>

/* Longest chain of parts that is kept; longer ones lose their middle.  */
#define CS_MAX_PROMPT_PARTS 8

/* A cache holds a part only together with all parts before it, so a part is
   known by the hash of its id and of those before it.  */
typedef struct
{
  uint64_t chain[CS_MAX_PROMPT_PARTS];
  uint32_t tokens[CS_MAX_PROMPT_PARTS]; /* of the part alone */
  uint32_t count;
  uint32_t own_tokens; /* of the last part, which the request has alone */
} cs_prompt_context_t;

/* The deepest shared part, or 0 when nothing is shared.  */
uint64_t cs_prompt_context_key (const cs_prompt_context_t *context);

/* Tokens of all shared parts.  */
uint32_t cs_prompt_context_tokens (const cs_prompt_context_t *context);

#endif
