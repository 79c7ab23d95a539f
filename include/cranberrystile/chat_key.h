/* Chat keys: the hash by which placement finds the target that served earlier
   requests of the same chat.  The key does not change as the chat grows.  */

#ifndef CS_CHAT_KEY_H
#define CS_CHAT_KEY_H

#include <stdint.h>

#include "common/str.h"

/* Number of leading bytes that identify a prompt without messages.  */
#define CS_CHAT_KEY_PROMPT_BYTES 512

/* Returns the key of a chat for which the caller supplies a conversation
   id.  */
uint64_t cs_chat_key_by_id (cs_str_t organisation, cs_str_t offering,
                            cs_str_t conversation);

/* Returns the key of a chat without a conversation id.  FIRST_TURNS is the
   text up to and including the first user message, or the leading bytes of a
   prompt without messages.  */
uint64_t cs_chat_key_by_text (cs_str_t organisation, cs_str_t offering,
                              cs_str_t first_turns);

#endif
