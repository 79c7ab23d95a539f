/* What placement and retries need to know of a model request's body.  */

#ifndef CS_DAEMON_PROMPT_H
#define CS_DAEMON_PROMPT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

typedef struct
{
  json_t *root; /* owned */
  const char *model;
  bool chat; /* messages instead of a bare prompt */
  bool stream;
  bool batch;              /* asks for a priority lower than the default */
  const char *chat_id;     /* prompt_cache_key, or NULL */
  uint32_t prompt_tokens;  /* estimate */
  uint32_t context_tokens; /* of these, what an earlier turn may have cached */
} cs_prompt_t;

/* Reads and checks BODY.  On a bad one returns CS_ERR_BAD_REQUEST with *DETAIL
   a constant text.  Free in both cases.  */
int cs_prompt_parse (cs_str_t body, bool chat, cs_prompt_t *out,
                     const char **detail);
void cs_prompt_free (cs_prompt_t *prompt);

/* The chat key for ORGANISATION.  */
uint64_t cs_prompt_key (const cs_prompt_t *prompt, cs_str_t organisation);

/* The body that has another target go on after TEXT, the answer so far, of
   which TOKENS tokens were delivered.  The caller frees the text.  */
char *cs_prompt_continue (const cs_prompt_t *prompt, cs_str_t text,
                          uint32_t tokens);

#endif
