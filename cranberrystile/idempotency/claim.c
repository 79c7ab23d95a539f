#include "cranberrystile/claim.h"

#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>

#include "common/hash.h"
#include "common/sha256.h"

static const char *const state_names[]
    = { "running", "done", "not_run", "unknown" };

#define STATE_COUNT (sizeof state_names / sizeof state_names[0])

void
cs_claim_free (cs_claim_t *claim)
{
  cs_buf_free (&claim->content_type);
  cs_buf_free (&claim->body);
}

void
cs_claim_name (cs_str_t organisation, cs_str_t key, char out[65])
{
  cs_buf_t scoped = { 0 };
  cs_str_t separator = { "", 1 };
  cs_buf_append (&scoped, organisation);
  cs_buf_append (&scoped, separator);
  cs_buf_append (&scoped, key);
  cs_sha256_hex (cs_buf_str (&scoped), out);
  cs_buf_free (&scoped);
}

static json_t *
text_to_json (const cs_buf_t *text)
{
  return json_stringn (text->data == NULL ? "" : text->data, text->len);
}

/* Bodies may be binary, so they are stored in base64.  */
static json_t *
body_to_json (const cs_buf_t *body)
{
  size_t size = (body->len + 2) / 3 * 4 + 1;
  unsigned char *encoded = malloc (size);
  if (encoded == NULL)
    return NULL;
  int len = EVP_EncodeBlock (encoded, (const unsigned char *)body->data,
                             (int)body->len);
  json_t *value = json_stringn ((const char *)encoded, (size_t)len);
  free (encoded);
  return value;
}

static int
decode_body (cs_str_t encoded, cs_buf_t *out)
{
  int rc = CS_ERR_WRONG_ANSWER;
  if (encoded.len % 4 != 0)
    return rc;
  unsigned char *decoded = malloc (encoded.len + 1);
  if (decoded == NULL)
    return CS_ERR_NO_MEMORY;
  int len = EVP_DecodeBlock (decoded, (const unsigned char *)encoded.data,
                             (int)encoded.len);
  /* EVP_DecodeBlock decodes the padding to zero bytes; drop them.  */
  for (size_t i = encoded.len; len > 0 && i > 0 && i > encoded.len - 2; i--)
    if (encoded.data[i - 1] == '=')
      len--;
  if (len >= 0)
    {
      cs_str_t bytes = { (const char *)decoded, (size_t)len };
      rc = cs_buf_append (out, bytes);
    }
  free (decoded);
  return rc;
}

json_t *
cs_claim_to_json (const cs_claim_t *claim)
{
  return json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:i, s:o, s:o}", "state",
      state_names[claim->state], "request", claim->request_sha256, "attempt",
      claim->attempt.text, "deadline", (json_int_t)claim->deadline_wall_ms,
      "expires", (json_int_t)claim->expires_wall_ms, "status", claim->status,
      "contentType", text_to_json (&claim->content_type), "body",
      body_to_json (&claim->body));
}

static int
parse_state (const char *text, cs_claim_state_t *state)
{
  for (size_t i = 0; i < STATE_COUNT; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (cs_claim_state_t)i;
        return 0;
      }
  return CS_ERR_WRONG_ANSWER;
}

int
cs_claim_from_json (const json_t *spec, cs_claim_t *out)
{
  const char *state, *request, *attempt, *content_type, *body;
  size_t attempt_len, content_type_len, body_len;
  json_int_t deadline, expires;
  memset (out, 0, sizeof *out);
  int rc = json_unpack (
      (json_t *)spec, "{s:s, s:s, s:s%, s:I, s:I, s:i, s:s%, s:s%}", "state",
      &state, "request", &request, "attempt", &attempt, &attempt_len,
      "deadline", &deadline, "expires", &expires, "status", &out->status,
      "contentType", &content_type, &content_type_len, "body", &body,
      &body_len);
  if (rc != 0 || strlen (request) != 64 || deadline < 0 || expires < 0)
    return CS_ERR_WRONG_ANSWER;
  cs_str_t attempt_text = { attempt, attempt_len };
  cs_str_t content_type_text = { content_type, content_type_len };
  cs_str_t body_text = { body, body_len };
  memcpy (out->request_sha256, request, 65);
  cs_name_set (&out->attempt, attempt_text);
  out->deadline_wall_ms = (uint64_t)deadline;
  out->expires_wall_ms = (uint64_t)expires;
  if (cs_buf_append (&out->content_type, content_type_text) != 0)
    return CS_ERR_NO_MEMORY;
  rc = decode_body (body_text, &out->body);
  if (rc != 0)
    return rc;
  return parse_state (state, &out->state);
}

cs_claim_step_t
cs_claim_decide (const cs_claim_t *found, cs_str_t attempt,
                 const char *request_sha256, uint64_t now_wall_ms, int *error)
{
  *error = 0;
  if (strcmp (found->request_sha256, request_sha256) != 0)
    {
      *error = CS_ERR_KEY_REUSED;
      return CS_CLAIM_FAIL;
    }
  switch (found->state)
    {
    case CS_CLAIM_DONE:
      return CS_CLAIM_REPLAY;
    case CS_CLAIM_NOT_RUN:
      return CS_CLAIM_TAKE_OVER;
    case CS_CLAIM_UNKNOWN:
      *error = CS_ERR_OUTCOME_UNKNOWN;
      return CS_CLAIM_FAIL;
    case CS_CLAIM_RUNNING:
      break;
    }
  if (cs_str_equal (cs_name_str (&found->attempt), attempt))
    return CS_CLAIM_RUN;
  /* After the deadline the router that ran the request may have failed.  The
     request must not run a second time in either case.  */
  *error = now_wall_ms > found->deadline_wall_ms ? CS_ERR_OUTCOME_UNKNOWN
                                                 : CS_ERR_IN_PROGRESS;
  return CS_CLAIM_FAIL;
}
