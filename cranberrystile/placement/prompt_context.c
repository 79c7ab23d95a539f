#include "cranberrystile/prompt_context.h"

uint64_t
cs_prompt_context_key (const cs_prompt_context_t *context)
{
  return context->count == 0 ? 0 : context->chain[context->count - 1];
}

uint32_t
cs_prompt_context_tokens (const cs_prompt_context_t *context)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < context->count; i++)
    sum += context->tokens[i];
  return sum;
}
