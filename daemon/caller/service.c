/* Any method on /v1/services/NAME/...: requests to plain services.  A request
   to an offering that is not idempotent is executed at most once per
   idempotency key.  */

#include <string.h>

#include "common/hash.h"
#include "common/sha256.h"
#include "cranberrystile/retry.h"
#include "daemon/forward.h"
#include "daemon/handlers.h"

#define PREFIX "/v1/services/"
#define MAX_PATH_BYTES 2048

/* Splits /v1/services/NAME/REST?QUERY into the offering and the path to send
   to the target.  */
static int
parse_path (cs_exchange_t *exchange, cs_buf_t *path)
{
  const char *uri = cs_web_path (exchange->request);
  const char *query = cs_web_query (exchange->request);
  const char *name = uri + strlen (PREFIX);
  const char *rest = strchr (name, '/');
  cs_str_t offering = cs_str (name);
  if (rest != NULL)
    offering.len = (size_t)(rest - name);
  if (!cs_configuration_offering (exchange->daemon->configuration, offering,
                                  &exchange->offering)
      || !exchange->offering.is_service)
    return CS_ERR_NOT_FOUND;
  if (strlen (uri) + strlen (query) > MAX_PATH_BYTES)
    return CS_ERR_BAD_REQUEST;
  return cs_buf_printf (path, "%s%s%s", rest == NULL ? "/" : rest,
                        query[0] == '\0' ? "" : "?", query);
}

/* Computes the hash by which a request that reuses an idempotency key is
   recognised as the same request: method, offering, path and body.  */
static void
hash_request_identity (const cs_exchange_t *exchange, cs_str_t path,
                       char out[65])
{
  cs_buf_t text = { 0 };
  cs_buf_printf (&text, "%s %s %.*s\n", cs_web_method (exchange->request),
                 exchange->offering.name.text, CS_STR_ARG (path));
  cs_buf_append (&text, cs_buf_str (&exchange->body));
  cs_sha256_hex (cs_buf_str (&text), out);
  cs_buf_free (&text);
}

static void
finish_claim (cs_exchange_t *exchange, cs_held_claim_t *held, int rc,
              const cs_relay_t *relay)
{
  cs_str_t empty = { "", 0 };
  cs_claims_t *claims = exchange->daemon->claims;
  if (rc == 0)
    cs_claims_finish (claims, held, CS_CLAIM_DONE, relay->status,
                      cs_str (relay->content_type), cs_buf_str (&relay->body));
  else
    cs_claims_finish (claims, held,
                      cs_retry_was_not_run (rc) ? CS_CLAIM_NOT_RUN
                                                : CS_CLAIM_UNKNOWN,
                      0, empty, empty);
}

static void
forward_service_request (cs_exchange_t *exchange, cs_str_t path,
                         cs_held_claim_t *held)
{
  cs_relay_t relay;
  uint32_t retry_after_s = 1;
  const char *content_type = cs_exchange_header (exchange, "Content-Type");
  const char *conversation_id
      = cs_exchange_header (exchange, "X-Conversation-Id");
  cs_forward_options_t options = {
    .path = path.data,
    .method = cs_web_method (exchange->request),
    .content_type
    = content_type == NULL ? "application/octet-stream" : content_type,
    .idempotent = exchange->offering.idempotent,
  };
  options.key
      = cs_hash (cs_str (conversation_id == NULL ? exchange->request_id.text
                                                 : conversation_id),
                 cs_hash (cs_name_str (&exchange->organisation.name), 0));
  cs_relay_begin (&relay, exchange);
  relay.pass_errors = true;
  int rc = cs_forward_request (exchange, &options, &relay, &retry_after_s);
  /* Store the response before sending it: otherwise a caller that has received
     it and repeats the request could find the claim still running.  */
  if (held != NULL)
    finish_claim (exchange, held, rc, &relay);
  cs_forward_finish (exchange, &relay, rc, retry_after_s);
  cs_relay_free (&relay);
}

/* Claims the idempotency key KEY, then forwards the request, or returns the
   stored response of an earlier one.  */
static void
forward_once (cs_exchange_t *exchange, cs_str_t path, const char *key)
{
  cs_held_claim_t held;
  char hash[65];
  bool stored;
  hash_request_identity (exchange, path, hash);
  int rc = cs_claims_begin (exchange->daemon->claims,
                            cs_name_str (&exchange->organisation.name),
                            cs_str (key), hash, &held, &stored);
  if (rc != 0)
    cs_exchange_fail (exchange, rc, NULL, 1);
  else if (stored)
    cs_exchange_respond (exchange, held.claim.status,
                         held.claim.content_type.data,
                         cs_buf_str (&held.claim.body));
  else
    forward_service_request (exchange, path, &held);
  cs_held_claim_free (&held);
}

void
cs_handle_service (cs_exchange_t *exchange)
{
  cs_buf_t path = { 0 };
  const char *key = cs_exchange_header (exchange, "Idempotency-Key");
  if (cs_exchange_authorise (exchange) != 0
      || cs_exchange_read_body (exchange) != 0)
    return;
  int rc = parse_path (exchange, &path);
  if (rc != 0)
    cs_exchange_fail (exchange, rc, NULL, 0);
  else if (key != NULL && (key[0] == '\0' || strlen (key) > 255))
    cs_exchange_fail (exchange, CS_ERR_BAD_REQUEST,
                      "Idempotency-Key must have 1 to 255 characters.", 0);
  else if (key == NULL || exchange->offering.idempotent || exchange->forwarded)
    forward_service_request (exchange, cs_buf_str (&path), NULL);
  else
    forward_once (exchange, cs_buf_str (&path), key);
  cs_buf_free (&path);
}
