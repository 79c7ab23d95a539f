/* The parts of a prompt as a header field lists them.  */

#ifndef CS_PLATFORM_PROMPT_H
#define CS_PLATFORM_PROMPT_H

#include "common/str.h"
#include "cranberrystile/prompt_context.h"

/* Reads "ID:TOKENS,ID:TOKENS,..."; the last entry is the request's own and
   does not count as shared.  A list that cannot be read leaves the context
   empty: placement then goes by load.  */
void cs_prompt_read (cs_str_t text, cs_prompt_context_t *out);

#endif
