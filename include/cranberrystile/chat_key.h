/* Chat keys: what placement hashes to find the target that a returning chat
   used before.  A key stays the same as the chat grows.  */

#ifndef CS_CHAT_KEY_H
#define CS_CHAT_KEY_H

#include <stdint.h>

#include "common/str.h"

/* Bytes at the head of a bare prompt that identify it.  */
#define CS_CHAT_KEY_PROMPT_BYTES 512

/* Key of a chat that the caller names by a conversation id.  */
uint64_t cs_chat_key_by_id (cs_str_t organisation, cs_str_t offering,
                            cs_str_t conversation);

/* Key of a chat known by its first turns: the text up to and including the
   first user message, or the head of a bare prompt.  */
uint64_t cs_chat_key_by_text (cs_str_t organisation, cs_str_t offering,
                              cs_str_t first_turns);

#endif
