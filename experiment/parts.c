#include "parts.h"

#include <stdlib.h>

static part_t *
find (const parts_t *parts, uint64_t chain)
{
  for (size_t i = 0; i < parts->count; i++)
    if (parts->parts[i].chain == chain)
      return &parts->parts[i];
  return NULL;
}

static void
add (parts_t *parts, uint64_t chain, uint32_t tokens)
{
  if (parts->count == parts->capacity)
    {
      size_t capacity = parts->capacity == 0 ? 64 : parts->capacity * 2;
      part_t *grown = reallocarray (parts->parts, capacity, sizeof *grown);
      if (grown == NULL)
        return;
      parts->parts = grown;
      parts->capacity = capacity;
    }
  parts->parts[parts->count++]
      = (part_t){ .chain = chain, .tokens = tokens, .users = 0 };
  parts->tokens += tokens;
}

void
parts_free (parts_t *parts)
{
  free (parts->parts);
  *parts = (parts_t){ 0 };
}

uint32_t
parts_ready (const parts_t *parts, const cs_prompt_context_t *context)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < context->count; i++)
    {
      const part_t *part = find (parts, context->chain[i]);
      if (part == NULL || !part->ready)
        break;
      tokens += context->tokens[i];
    }
  return tokens;
}

void
parts_enter (parts_t *parts, const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      if (find (parts, context->chain[i]) == NULL)
        add (parts, context->chain[i], context->tokens[i]);
      part_t *part = find (parts, context->chain[i]);
      if (part == NULL)
        continue;
      part->users++;
      part->last_used = ++parts->uses;
    }
}

/* Drops the part at AT.  */
static void
drop (parts_t *parts, size_t at)
{
  parts->tokens -= parts->parts[at].tokens;
  parts->parts[at] = parts->parts[--parts->count];
}

void
parts_leave (parts_t *parts, const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      part_t *part = find (parts, context->chain[i]);
      if (part == NULL || part->users == 0)
        continue;
      part->users--;
      /* A part whose only reader stopped early is of no use.  */
      if (part->users == 0 && !part->ready)
        drop (parts, (size_t)(part - parts->parts));
    }
}

void
parts_read (parts_t *parts, const cs_prompt_context_t *context)
{
  for (uint32_t i = 0; i < context->count; i++)
    {
      part_t *part = find (parts, context->chain[i]);
      if (part != NULL)
        part->ready = true;
    }
}

bool
parts_shrink (parts_t *parts, uint64_t most)
{
  while (parts->tokens > most)
    {
      size_t oldest = parts->count;
      for (size_t i = 0; i < parts->count; i++)
        if (parts->parts[i].users == 0
            && (oldest == parts->count
                || parts->parts[i].last_used < parts->parts[oldest].last_used))
          oldest = i;
      if (oldest == parts->count)
        return false;
      drop (parts, oldest);
    }
  return true;
}
