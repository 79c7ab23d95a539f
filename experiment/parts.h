/* The parts of prompts that an engine keeps; the least recently used go first,
   but none that a running request builds on.  */

#ifndef CS_EXPERIMENT_PARTS_H
#define CS_EXPERIMENT_PARTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cranberrystile/prompt_context.h"

typedef struct
{
  uint64_t chain; /* hash of the part and those before it */
  uint32_t tokens;
  uint32_t users;     /* running requests */
  uint64_t last_used; /* counted in uses */
  bool ready;         /* has been read to its end */
} part_t;

/* Initialise with zeros.  */
typedef struct
{
  part_t *parts;
  size_t count;
  size_t capacity;
  uint64_t uses;
  uint64_t tokens; /* of all parts */
} parts_t;

void parts_free (parts_t *parts);

/* Tokens at the start of CONTEXT that are kept and ready.  */
uint32_t parts_ready (const parts_t *parts,
                      const cs_prompt_context_t *context);

/* A request that has CONTEXT begins: its parts stay until parts_leave.
   Without memory some are not kept, which only makes later requests read
   them again.  */
void parts_enter (parts_t *parts, const cs_prompt_context_t *context);
void parts_leave (parts_t *parts, const cs_prompt_context_t *context);

/* The request that entered has read its parts.  */
void parts_read (parts_t *parts, const cs_prompt_context_t *context);

/* Drops parts that nobody uses until at most MOST tokens are kept; returns
   whether that was enough.  */
bool parts_shrink (parts_t *parts, uint64_t most);

#endif
