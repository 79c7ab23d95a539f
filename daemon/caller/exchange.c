#include "daemon/exchange.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "common/hash.h"
#include "common/log.h"
#include "cranberrystile/error_response.h"
#include "daemon/limits.h"
#include "http/response.h"

const char *
cs_exchange_header (const cs_exchange_t *exchange, const char *name)
{
  return cs_web_header (exchange->request, name);
}

static bool
is_valid_request_id (const char *text)
{
  size_t len = strlen (text);
  if (len == 0 || len > CS_NAME_MAX)
    return false;
  for (size_t i = 0; i < len; i++)
    if (text[i] <= ' ' || text[i] > '~' || text[i] == '"' || text[i] == '\\')
      return false;
  return true;
}

static void
generate_request_id (cs_exchange_t *exchange)
{
  static atomic_ullong counter;
  char text[64];
  uint64_t number = atomic_fetch_add (&counter, 1);
  uint64_t host = cs_members_self (exchange->daemon->members)->id;
  snprintf (text, sizeof text, "req-%016llx%08llx", (unsigned long long)host,
            (unsigned long long)number);
  cs_name_set (&exchange->request_id, cs_str (text));
}

/* Whether a router of the fleet has forwarded the request.  */
static bool
has_hop_proof (const cs_exchange_t *exchange)
{
  char expected[65];
  const char *proof = cs_exchange_header (exchange, "X-Cranberrystile-Hop");
  if (proof == NULL)
    return false;
  cs_hop_proof (cs_str (exchange->daemon->settings.fleet_key),
                cs_name_str (&exchange->request_id), expected);
  return strcmp (proof, expected) == 0;
}

void
cs_exchange_begin (cs_exchange_t *exchange, cs_daemon_t *daemon,
                   cs_web_request_t *request, cs_time_us_t now)
{
  memset (exchange, 0, sizeof *exchange);
  exchange->daemon = daemon;
  exchange->request = request;
  exchange->arrived = now;
  exchange->deadline = now + daemon->settings.deadline_ms * CS_US_PER_MS;
  const char *id = cs_exchange_header (exchange, "X-Request-Id");
  if (id != NULL && is_valid_request_id (id))
    cs_name_set (&exchange->request_id, cs_str (id));
  else
    generate_request_id (exchange);
  exchange->forwarded = has_hop_proof (exchange);
  cs_counters_add (daemon->counters, CS_COUNTER_REQUESTS, 1);
}

void
cs_exchange_end (cs_exchange_t *exchange)
{
  cs_counters_t *counters = exchange->daemon->counters;
  cs_counters_add_answer (counters, exchange->error);
  cs_counters_observe (counters, CS_HISTOGRAM_ANSWER,
                       cs_clock_now () - exchange->arrived);
  cs_buf_free (&exchange->body);
}

static void
send_head (cs_exchange_t *exchange, int status, const char *content_type,
           const char *extra_headers)
{
  bool leaving = atomic_load (&exchange->daemon->leaving);
  if (leaving)
    cs_web_close_after (exchange->request);
  cs_web_printf (
      exchange->request,
      "HTTP/1.1 %d %s\r\n"
      "Content-Type: %s\r\n"
      "X-Request-Id: %s\r\n"
      "%s%s%s"
      "%s"
      "%s\r\n",
      status, cs_http_reason (status), content_type, exchange->request_id.text,
      exchange->served_by[0] == '\0' ? "" : "X-Served-By: ",
      exchange->served_by, exchange->served_by[0] == '\0' ? "" : "\r\n",
      leaving ? "Connection: close\r\n" : "", extra_headers);
  exchange->head_sent = true;
}

static void
record_first_byte (cs_exchange_t *exchange)
{
  if (exchange->first_byte_seen)
    return;
  exchange->first_byte_seen = true;
  cs_counters_observe (exchange->daemon->counters, CS_HISTOGRAM_FIRST_BYTE,
                       cs_clock_now () - exchange->arrived);
}

void
cs_exchange_respond (cs_exchange_t *exchange, int status,
                     const char *content_type, cs_str_t body)
{
  char length[64];
  if (exchange->head_sent)
    return;
  snprintf (length, sizeof length, "Content-Length: %zu\r\n", body.len);
  record_first_byte (exchange);
  send_head (exchange, status, content_type, length);
  if (body.len > 0)
    cs_web_write (exchange->request, body);
}

/* Reports an error within a stream by an error event, then ends the connection
   without the last chunk, so that no caller can mistake a truncated stream for
   a complete one.  */
static void
fail_in_stream (cs_exchange_t *exchange, const cs_buf_t *body)
{
  cs_buf_t event = { 0 };
  if (cs_buf_printf (&event, "event: error\ndata: %s\n\n", body->data) == 0)
    cs_exchange_stream_part (exchange, cs_buf_str (&event));
  cs_web_close_after (exchange->request);
  cs_buf_free (&event);
}

void
cs_exchange_fail (cs_exchange_t *exchange, int error, const char *detail,
                  uint32_t retry_after_s)
{
  const cs_error_response_t *response = cs_error_response_for (error);
  bool may_retry = response->advice == CS_RETRY_ADVICE_LATER
                   || response->advice == CS_RETRY_ADVICE_SAME_KEY;
  uint32_t jittered_s
      = may_retry ? cs_limits_jitter (exchange->daemon->limits, retry_after_s)
                  : 0;
  char extra_headers[128];
  cs_buf_t body = { 0 };
  cs_str_t detail_text = { NULL, 0 };
  if (detail != NULL)
    detail_text = cs_str (detail);
  exchange->error = error;
  cs_log (CS_EV_REQUEST_FAILED, "request=%s error=%s target=%s",
          exchange->request_id.text, cs_error_name (error),
          exchange->served_by);
  if (error == CS_ERR_CALLER_GONE
      || cs_error_response_body (error, detail_text,
                                 cs_name_str (&exchange->request_id),
                                 jittered_s, &body)
             != 0)
    {
      cs_web_close_after (exchange->request);
      goto out;
    }
  if (exchange->head_sent)
    {
      fail_in_stream (exchange, &body);
      goto out;
    }
  int len = snprintf (extra_headers, sizeof extra_headers,
                      "Content-Length: %zu\r\n", body.len);
  if (may_retry && len > 0)
    snprintf (extra_headers + len, sizeof extra_headers - (size_t)len,
              "Retry-After: %u\r\n", jittered_s);
  send_head (exchange, response->status, "application/json", extra_headers);
  cs_web_write (exchange->request, cs_buf_str (&body));
out:
  cs_buf_free (&body);
}

int
cs_exchange_authorise (cs_exchange_t *exchange)
{
  static const char scheme[] = "Bearer ";
  cs_daemon_t *daemon = exchange->daemon;
  uint32_t retry_after_s = 1;
  const char *header = cs_exchange_header (exchange, "Authorization");
  if (!cs_configuration_has_release (daemon->configuration))
    {
      cs_exchange_fail (exchange, CS_ERR_NOT_READY, NULL, 1);
      return CS_ERR_NOT_READY;
    }
  if (header == NULL || strncasecmp (header, scheme, sizeof scheme - 1) != 0
      || !cs_configuration_organisation (daemon->configuration,
                                         cs_str (header + sizeof scheme - 1),
                                         &exchange->organisation))
    {
      cs_exchange_fail (exchange, CS_ERR_UNAUTHORISED, NULL, 0);
      return CS_ERR_UNAUTHORISED;
    }
  /* A forwarded request was counted by the router that received it from the
     caller.  */
  if (!exchange->forwarded
      && !cs_limits_take (daemon->limits, &exchange->organisation,
                          exchange->arrived, &retry_after_s))
    {
      cs_exchange_fail (exchange, CS_ERR_RATE_LIMITED, NULL, retry_after_s);
      return CS_ERR_RATE_LIMITED;
    }
  return 0;
}

int
cs_exchange_read_body (cs_exchange_t *exchange)
{
  size_t max_bytes = (size_t)exchange->daemon->settings.body_limit_kib * 1024;
  const char *expect = cs_exchange_header (exchange, "Expect");
  int rc = 0;
  if (cs_web_is_too_large (exchange->request, max_bytes))
    rc = CS_ERR_TOO_LARGE;
  else
    {
      if (expect != NULL && strcasecmp (expect, "100-continue") == 0)
        cs_web_printf (exchange->request, "HTTP/1.1 100 Continue\r\n\r\n");
      rc = cs_web_read_body (exchange->request, max_bytes, &exchange->body);
    }
  if (rc != 0)
    {
      /* The rest of the body would be parsed as the next request.  */
      cs_web_close_after (exchange->request);
      cs_exchange_fail (exchange, rc, NULL, 0);
    }
  return rc;
}

int
cs_exchange_stream_begin (cs_exchange_t *exchange)
{
  if (exchange->head_sent)
    return 0;
  exchange->chunked = cs_web_is_http_1_1 (exchange->request);
  cs_counters_add (exchange->daemon->counters, CS_COUNTER_STREAMS, 1);
  record_first_byte (exchange);
  send_head (exchange, 200, "text/event-stream",
             exchange->chunked
                 ? "Cache-Control: no-cache\r\n"
                   "Transfer-Encoding: chunked\r\n"
                 : "Cache-Control: no-cache\r\nConnection: close\r\n");
  return 0;
}

int
cs_exchange_stream_part (cs_exchange_t *exchange, cs_str_t part)
{
  cs_buf_t chunk = { 0 };
  if (part.len == 0)
    return 0;
  if (!exchange->chunked)
    return cs_web_write (exchange->request, part);
  /* Build the chunk with its framing in one buffer, to send it by one write.
   */
  int rc = cs_http_write_chunk (part, &chunk);
  if (rc == 0)
    rc = cs_web_write (exchange->request, cs_buf_str (&chunk));
  cs_buf_free (&chunk);
  return rc == 0 ? 0 : CS_ERR_CALLER_GONE;
}

void
cs_exchange_stream_end (cs_exchange_t *exchange)
{
  if (exchange->chunked)
    cs_web_write (exchange->request, cs_str ("0\r\n\r\n"));
  else
    cs_web_close_after (exchange->request);
}
