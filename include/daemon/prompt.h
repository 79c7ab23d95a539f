/* The body of a model request, parsed as far as placement and retries need it.
 */

#ifndef CS_DAEMON_PROMPT_H
#define CS_DAEMON_PROMPT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

typedef struct
{
  json_t *root;      /* owned */
  const char *model; /* borrowed from ROOT */
  bool chat;         /* chat completion: has messages, not a prompt */
  bool stream;
  bool batch;              /* requests lower than default priority */
  const char *chat_id;     /* prompt_cache_key, or NULL; borrowed */
  uint32_t prompt_tokens;  /* estimate */
  uint32_t context_tokens; /* estimate of those cached by an earlier turn */
} cs_prompt_t;

/* Parses and validates BODY; CHAT selects the form with messages.  Returns 0,
   or CS_ERR_BAD_REQUEST with a constant text in *DETAIL.  Free OUT in both
   cases.  */
int cs_prompt_parse (cs_str_t body, bool chat, cs_prompt_t *out,
                     const char **detail);
void cs_prompt_free (cs_prompt_t *prompt);

/* Returns the key of the chat, by which its requests reach the same target.
   It is derived from the chat id, or without one from the beginning of the
   prompt, and differs between organisations.  */
uint64_t cs_prompt_key (const cs_prompt_t *prompt, cs_str_t organisation);

/* Returns a request body that makes another target continue the answer after
   TEXT, the TOKENS tokens that the caller has received.  The caller frees it.
   Returns NULL if the prompt cannot be continued or memory is exhausted.  */
char *cs_prompt_continue (const cs_prompt_t *prompt, cs_str_t text,
                          uint32_t tokens);

#endif
