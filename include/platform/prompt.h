/* Parser of the header field that describes the parts of a prompt.  */

#ifndef CS_PLATFORM_PROMPT_H
#define CS_PLATFORM_PROMPT_H

#include "common/str.h"
#include "cranberrystile/id_list.h"
#include "cranberrystile/prompt_context.h"

/* Parses "ID:TOKENS,ID:TOKENS,..." into OUT.  The last entry is the part that
   no other request shares.  A malformed list gives an empty context, so that
   placement uses only the load of targets.  */
void cs_prompt_context_parse (cs_str_t text, cs_prompt_context_t *out);

/* Replaces OUT by the ids of all entries but the last: as many as fit into the
   head of a request.  Unlike a context, a part is the same whatever stands
   before it.  Token counts are not checked.  Returns 0 or CS_ERR_NO_MEMORY. */
int cs_prompt_parts_parse (cs_str_t text, cs_id_list_t *out);

#endif
