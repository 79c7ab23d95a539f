#include "daemon/target_call.h"

#include <stdio.h>
#include <string.h>

#include "common/address.h"
#include "common/error.h"

/* Interval of the calls of on_idle while nothing is received.  */
#define IDLE_INTERVAL_MS 1000

#define ORCA_HEADER "endpoint-load-metrics"
/* A longer Retry-After is ignored.  */
#define MAX_RETRY_AFTER_S 86400

typedef struct
{
  const cs_settings_t *settings;
  const cs_call_request_t *request;
  const cs_call_sink_t *sink;
  cs_time_us_t started;
  cs_time_us_t last_data; /* 0: nothing received yet */
} call_t;

static void
parse_orca_load (cs_call_head_t *out, cs_str_t value)
{
  static const char format[] = "JSON ";
  if (!cs_str_starts_with (value, cs_str (format)))
    return;
  cs_str_t text
      = { value.data + sizeof format - 1, value.len - (sizeof format - 1) };
  out->has_load = cs_target_load_parse (text, cs_clock_now (), &out->load);
}

static void
parse_head (const cs_http_head_t *head, cs_call_head_t *out)
{
  uint64_t seconds;
  const cs_str_t *type = cs_http_head_find (head, "Content-Type");
  const cs_str_t *retry_after = cs_http_head_find (head, "Retry-After");
  const cs_str_t *load = cs_http_head_find (head, ORCA_HEADER);
  memset (out, 0, sizeof *out);
  out->status = head->status;
  if (type != NULL)
    snprintf (out->content_type, sizeof out->content_type, "%.*s",
              CS_STR_ARG (*type));
  if (retry_after != NULL && cs_str_to_u64 (*retry_after, &seconds) == 0
      && seconds < MAX_RETRY_AFTER_S)
    out->retry_after_s = (uint32_t)seconds;
  if (load != NULL)
    parse_orca_load (out, *load);
}

static int
on_head (void *context, const cs_http_head_t *head)
{
  call_t *call = context;
  cs_call_head_t call_head;
  const cs_str_t *id = cs_http_head_find (head, "X-Request-Id");
  call->last_data = cs_clock_now ();
  bool id_matches
      = id != NULL && cs_str_equal (*id, call->request->request_id);
  if ((id != NULL && !id_matches)
      || (call->request->expect_request_id && !id_matches))
    return CS_ERR_WRONG_ANSWER;
  parse_head (head, &call_head);
  return call->sink->head (call->sink->context, &call_head);
}

static int
on_body (void *context, cs_str_t part)
{
  call_t *call = context;
  call->last_data = cs_clock_now ();
  return call->sink->data (call->sink->context, part);
}

/* Returns the time at which the call fails if no more data arrives.  */
static cs_time_us_t
receive_deadline (void *context)
{
  const call_t *call = context;
  const cs_settings_t *settings = call->settings;
  cs_time_us_t timeout_at
      = call->last_data == 0
            ? call->started + settings->first_byte_timeout_ms * CS_US_PER_MS
            : call->last_data + settings->token_timeout_ms * CS_US_PER_MS;
  return timeout_at < call->request->deadline ? timeout_at
                                              : call->request->deadline;
}

static int
on_idle (void *context)
{
  const call_t *call = context;
  if (call->sink->idle == NULL)
    return 0;
  return call->sink->idle (call->sink->context);
}

static int
build_head (const cs_call_request_t *request, const char *host, cs_buf_t *out)
{
  int rc = cs_buf_printf (out,
                          "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: "
                          "%.*s\r\n",
                          request->method, request->path, host,
                          CS_STR_ARG (request->request_id));
  for (size_t i = 0;
       rc == 0 && i < CS_CALL_MAX_HEADERS && request->headers[i] != NULL; i++)
    rc = cs_buf_printf (out, "%s\r\n", request->headers[i]);
  if (rc == 0 && request->body.len > 0)
    rc = cs_buf_printf (out, "Content-Length: %zu\r\n", request->body.len);
  return rc != 0 ? rc : cs_buf_append (out, cs_str ("\r\n"));
}

int
cs_target_call (cs_endpoint_t *endpoint, const cs_settings_t *settings,
                const cs_call_request_t *request, const cs_call_sink_t *sink)
{
  static const cs_http_sink_t http_sink = { .on_head = on_head,
                                            .on_body = on_body,
                                            .timeout_at = receive_deadline,
                                            .on_idle = on_idle,
                                            .idle_ms = IDLE_INTERVAL_MS };
  call_t call = { .settings = settings,
                  .request = request,
                  .sink = sink,
                  .started = cs_clock_now () };
  const char *address = cs_endpoint_target (endpoint)->address.text;
  cs_buf_t head = { 0 };
  bool was_sent = false;
  cs_connection_t *connection = NULL;
  cs_http_call_t http_call
      = { .body = request->body,
          .is_head_request = strcmp (request->method, "HEAD") == 0,
          .can_retry = request->repeatable,
          .connect_ms = settings->connect_timeout_ms };
  int rc = CS_ERR_CONNECT;
  if (cs_address_parse (cs_str (address), &http_call.address) != 0)
    goto out;
  rc = build_head (request, address, &head);
  if (rc != 0)
    goto out;
  http_call.head = cs_buf_str (&head);
  /* A request that may not be repeated gets a new connection: if the target
     closed a pooled connection while the request was sent, it would be unknown
     whether the request was executed.  */
  connection = cs_endpoint_acquire_connection (
      endpoint, !request->repeatable, settings->connection_age_s * CS_US_PER_S,
      call.started);
  rc = CS_ERR_NO_MEMORY;
  if (connection == NULL)
    goto out;
  rc = cs_http_client_call (connection->client, &http_call, &http_sink, &call,
                            &was_sent);
  if (!was_sent && (rc == CS_ERR_SILENT || rc == CS_ERR_CUT))
    rc = CS_ERR_CONNECT;
  cs_endpoint_release_connection (endpoint, connection, rc == 0);
  if (rc == CS_ERR_SILENT || rc == CS_ERR_CONNECT)
    cs_endpoint_drop_connections (endpoint);
out:
  cs_buf_free (&head);
  return rc;
}
