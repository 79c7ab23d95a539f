/* POST /v1/chat/completions and /v1/completions.  */

#include "daemon/forward.h"
#include "daemon/handlers.h"

static bool
find_model (cs_exchange_t *exchange, const char *model)
{
  return cs_configuration_offering (exchange->daemon->configuration,
                                    cs_str (model), &exchange->offering)
         && !exchange->offering.is_service;
}

/* Returns the key that routes requests of the same chat to the same target.
   An id in the body takes precedence over the header.  */
static uint64_t
affinity_key (const cs_exchange_t *exchange, const cs_prompt_t *prompt)
{
  const char *id = cs_exchange_header (exchange, "X-Conversation-Id");
  cs_prompt_t with_id = *prompt;
  if (with_id.chat_id == NULL)
    with_id.chat_id = id;
  return cs_prompt_key (&with_id, cs_name_str (&exchange->organisation.name));
}

static void
forward_model_request (cs_exchange_t *exchange, const cs_prompt_t *prompt,
                       const char *path)
{
  cs_relay_t relay;
  uint32_t retry_after_s = 1;
  cs_forward_options_t options = {
    .path = path,
    .method = "POST",
    .content_type = "application/json",
    .key = affinity_key (exchange, prompt),
    .context_tokens = prompt->context_tokens,
    .batch = prompt->batch,
    .streaming = prompt->stream,
    .idempotent = true,
    .prompt = prompt,
  };
  cs_relay_begin (&relay, exchange);
  int rc = cs_forward_request (exchange, &options, &relay, &retry_after_s);
  cs_forward_finish (exchange, &relay, rc, retry_after_s);
  cs_relay_free (&relay);
}

static void
handle_generation (cs_exchange_t *exchange, bool chat, const char *path)
{
  cs_prompt_t prompt = { 0 };
  const char *detail = NULL;
  if (cs_exchange_authorise (exchange) != 0
      || cs_exchange_read_body (exchange) != 0)
    return;
  int rc
      = cs_prompt_parse (cs_buf_str (&exchange->body), chat, &prompt, &detail);
  if (rc != 0)
    cs_exchange_fail (exchange, rc, detail, 0);
  else if (!find_model (exchange, prompt.model))
    cs_exchange_fail (exchange, CS_ERR_NOT_FOUND, "The model is not known.",
                      0);
  else
    forward_model_request (exchange, &prompt, path);
  cs_prompt_free (&prompt);
}

void
cs_handle_chat_completions (cs_exchange_t *exchange)
{
  handle_generation (exchange, true, "/v1/chat/completions");
}

void
cs_handle_completions (cs_exchange_t *exchange)
{
  handle_generation (exchange, false, "/v1/completions");
}
