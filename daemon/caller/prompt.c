#include "daemon/prompt.h"

#include <stdlib.h>
#include <string.h>

#include "cranberrystile/chat_key.h"

/* Estimate of the bytes of text per token.  */
#define BYTES_PER_TOKEN 4

static int
check_messages (const json_t *messages, const char **detail)
{
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    {
      *detail = "messages must be a list that is not empty";
      return CS_ERR_BAD_REQUEST;
    }
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      const json_t *message = json_array_get (messages, i);
      if (json_is_string (json_object_get (message, "role")))
        continue;
      *detail = "each message must have a role";
      return CS_ERR_BAD_REQUEST;
    }
  return 0;
}

static int
check_prompt (const json_t *prompt, const char **detail)
{
  if (json_is_string (prompt) || json_is_array (prompt))
    return 0;
  *detail = "prompt must be a text or a list";
  return CS_ERR_BAD_REQUEST;
}

/* Estimates the tokens that the cache of an engine may hold from an earlier
   turn: all messages up to the last one of the assistant, so 0 in the
   first turn of a chat.  */
static uint32_t
estimate_context_tokens (const json_t *messages)
{
  size_t bytes = 0;
  size_t context = 0;
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      const json_t *message = json_array_get (messages, i);
      const char *role = json_string_value (json_object_get (message, "role"));
      bytes += json_string_length (json_object_get (message, "content"));
      if (role != NULL && strcmp (role, "assistant") == 0)
        context = bytes;
    }
  return (uint32_t)(context / BYTES_PER_TOKEN);
}

int
cs_prompt_parse (cs_str_t body, bool chat, cs_prompt_t *out,
                 const char **detail)
{
  memset (out, 0, sizeof *out);
  out->chat = chat;
  out->root
      = json_loadb (body.data == NULL ? "" : body.data, body.len, 0, NULL);
  if (!json_is_object (out->root))
    {
      *detail = "the body is not a JSON object";
      return CS_ERR_BAD_REQUEST;
    }
  const json_t *stream = json_object_get (out->root, "stream");
  out->model = json_string_value (json_object_get (out->root, "model"));
  if (out->model == NULL)
    {
      *detail = "model must be a text";
      return CS_ERR_BAD_REQUEST;
    }
  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    {
      *detail = "stream must be true or false";
      return CS_ERR_BAD_REQUEST;
    }
  out->stream = json_is_true (stream);
  out->batch
      = json_integer_value (json_object_get (out->root, "priority")) > 0;
  out->chat_id
      = json_string_value (json_object_get (out->root, "prompt_cache_key"));
  out->prompt_tokens = (uint32_t)(body.len / BYTES_PER_TOKEN);
  out->context_tokens
      = chat
            ? estimate_context_tokens (json_object_get (out->root, "messages"))
            : out->prompt_tokens;
  if (chat)
    return check_messages (json_object_get (out->root, "messages"), detail);
  return check_prompt (json_object_get (out->root, "prompt"), detail);
}

void
cs_prompt_free (cs_prompt_t *prompt)
{
  json_decref (prompt->root);
  prompt->root = NULL;
}

static void
append_json (cs_buf_t *out, const json_t *value)
{
  char *text
      = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
  if (text != NULL)
    (void)cs_buf_append (out, cs_str (text));
  free (text);
}

/* Appends the messages up to and including the first one of the user, which
   stay the same over all turns of a chat.  */
static void
append_opening_messages (cs_buf_t *out, const json_t *messages)
{
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      const json_t *message = json_array_get (messages, i);
      const char *role = json_string_value (json_object_get (message, "role"));
      append_json (out, message);
      if (role != NULL && strcmp (role, "user") == 0)
        return;
    }
}

uint64_t
cs_prompt_key (const cs_prompt_t *prompt, cs_str_t organisation)
{
  cs_buf_t opening = { 0 };
  cs_str_t model = cs_str (prompt->model);
  if (prompt->chat_id != NULL)
    return cs_chat_key_by_id (organisation, model, cs_str (prompt->chat_id));
  if (prompt->chat)
    append_opening_messages (&opening,
                             json_object_get (prompt->root, "messages"));
  else
    append_json (&opening, json_object_get (prompt->root, "prompt"));
  cs_str_t text = cs_buf_str (&opening);
  if (!prompt->chat && text.len > CS_CHAT_KEY_PROMPT_BYTES)
    text.len = CS_CHAT_KEY_PROMPT_BYTES;
  uint64_t key = cs_chat_key_by_text (organisation, model, text);
  cs_buf_free (&opening);
  return key;
}

/* Reduces the token limit NAME, if it is set, by the TOKENS already sent; at
   least 1 is left.  */
static void
reduce_limit (json_t *root, const char *name, uint32_t tokens)
{
  const json_t *limit = json_object_get (root, name);
  if (!json_is_integer (limit))
    return;
  json_int_t remaining = json_integer_value (limit) - (json_int_t)tokens;
  json_object_set_new (root, name,
                       json_integer (remaining < 1 ? 1 : remaining));
}

/* Appends the partial answer as a message of the assistant that the engine is
   to continue.  */
static int
continue_chat (json_t *root, cs_str_t text)
{
  json_t *messages = json_object_get (root, "messages");
  json_t *partial = json_pack ("{s:s, s:s%}", "role", "assistant", "content",
                               text.data, text.len);
  if (partial == NULL)
    return CS_ERR_NO_MEMORY;
  json_array_append_new (messages, partial);
  json_object_set_new (root, "continue_final_message", json_true ());
  json_object_set_new (root, "add_generation_prompt", json_false ());
  return 0;
}

static int
continue_completion (json_t *root, cs_str_t text)
{
  cs_buf_t extended = { 0 };
  const json_t *prompt = json_object_get (root, "prompt");
  if (!json_is_string (prompt))
    return CS_ERR_BAD_REQUEST;
  cs_str_t original
      = { json_string_value (prompt), json_string_length (prompt) };
  if (cs_buf_append (&extended, original) != 0
      || cs_buf_append (&extended, text) != 0)
    {
      cs_buf_free (&extended);
      return CS_ERR_NO_MEMORY;
    }
  json_object_set_new (root, "prompt",
                       json_stringn (extended.data, extended.len));
  cs_buf_free (&extended);
  return 0;
}

char *
cs_prompt_continue (const cs_prompt_t *prompt, cs_str_t text, uint32_t tokens)
{
  char *body = NULL;
  json_t *root = json_deep_copy (prompt->root);
  if (root == NULL)
    return NULL;
  int rc = prompt->chat ? continue_chat (root, text)
                        : continue_completion (root, text);
  reduce_limit (root, "max_tokens", tokens);
  reduce_limit (root, "max_completion_tokens", tokens);
  if (rc == 0)
    body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return body;
}
