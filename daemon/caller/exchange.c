#include "daemon/exchange.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "common/hash.h"
#include "common/log.h"
#include "cranberrystile/answer.h"
#include "daemon/limits.h"

const char *
cs_exchange_header (const cs_exchange_t *exchange, const char *name)
{
  return mg_get_header (exchange->connection, name);
}

static bool
is_plain_id (const char *text)
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
make_request_id (cs_exchange_t *exchange)
{
  static atomic_ullong counter;
  char text[64];
  uint64_t number = atomic_fetch_add (&counter, 1);
  uint64_t host = cs_members_self (exchange->daemon->members)->id;
  snprintf (text, sizeof text, "req-%016llx%08llx", (unsigned long long)host,
            (unsigned long long)number);
  cs_name_set (&exchange->request_id, cs_str (text));
}

static bool
has_hop_proof (const cs_exchange_t *exchange)
{
  char expected[65];
  const char *proof = cs_exchange_header (exchange, "X-Cranberrystile-Hop");
  if (proof == NULL)
    return false;
  cs_cells_hop_proof (cs_str (exchange->daemon->settings.fleet_key),
                      cs_name_str (&exchange->request_id), expected);
  return strcmp (proof, expected) == 0;
}

void
cs_exchange_begin (cs_exchange_t *exchange, cs_daemon_t *daemon,
                   struct mg_connection *connection, cs_time_us_t now)
{
  memset (exchange, 0, sizeof *exchange);
  exchange->daemon = daemon;
  exchange->connection = connection;
  exchange->info = mg_get_request_info (connection);
  exchange->arrived = now;
  exchange->deadline = now + daemon->settings.deadline_ms * CS_US_PER_MS;
  const char *id = cs_exchange_header (exchange, "X-Request-Id");
  if (id != NULL && is_plain_id (id))
    cs_name_set (&exchange->request_id, cs_str (id));
  else
    make_request_id (exchange);
  exchange->handed_over = has_hop_proof (exchange);
  cs_counters_add (daemon->counters, CS_COUNTER_REQUESTS, 1);
}

void
cs_exchange_end (cs_exchange_t *exchange)
{
  cs_counters_t *counters = exchange->daemon->counters;
  cs_counters_answer (counters, exchange->error);
  cs_counters_observe (counters, CS_HISTOGRAM_WHOLE,
                       cs_clock_now () - exchange->arrived);
  cs_buf_free (&exchange->body);
}

static const char *
status_text (int status)
{
  const char *text = mg_get_response_code_text (NULL, status);
  return text == NULL ? "Unknown" : text;
}

static void
send_head (cs_exchange_t *exchange, int status, const char *content_type,
           const char *more)
{
  bool stopping = atomic_load (&exchange->daemon->leaving);
  if (stopping)
    mg_disable_connection_keep_alive (exchange->connection);
  mg_printf (exchange->connection,
             "HTTP/1.1 %d %s\r\n"
             "Content-Type: %s\r\n"
             "X-Request-Id: %s\r\n"
             "%s%s%s"
             "%s"
             "%s\r\n",
             status, status_text (status), content_type,
             exchange->request_id.text,
             exchange->served_by[0] == '\0' ? "" : "X-Served-By: ",
             exchange->served_by, exchange->served_by[0] == '\0' ? "" : "\r\n",
             stopping ? "Connection: close\r\n" : "", more);
  exchange->head_sent = true;
}

static void
see_first_byte (cs_exchange_t *exchange)
{
  if (exchange->first_byte_seen)
    return;
  exchange->first_byte_seen = true;
  cs_counters_observe (exchange->daemon->counters, CS_HISTOGRAM_FIRST_BYTE,
                       cs_clock_now () - exchange->arrived);
}

void
cs_exchange_answer (cs_exchange_t *exchange, int status,
                    const char *content_type, cs_str_t body)
{
  char length[64];
  if (exchange->head_sent)
    return;
  snprintf (length, sizeof length, "Content-Length: %zu\r\n", body.len);
  see_first_byte (exchange);
  send_head (exchange, status, content_type, length);
  if (body.len > 0)
    mg_write (exchange->connection, body.data, body.len);
}

/* An error within a stream: an event, then the end of the stream, so that a
   part is never taken for the whole.  */
static void
fail_in_stream (cs_exchange_t *exchange, const cs_buf_t *body)
{
  cs_buf_t event = { 0 };
  if (cs_buf_printf (&event, "event: error\ndata: %s\n\n", body->data) == 0)
    cs_exchange_stream_part (exchange, cs_buf_str (&event));
  cs_exchange_stream_end (exchange);
  mg_disable_connection_keep_alive (exchange->connection);
  cs_buf_free (&event);
}

void
cs_exchange_fail (cs_exchange_t *exchange, int error, const char *detail,
                  uint32_t retry_after_s)
{
  const cs_answer_t *row = cs_answer_for (error);
  bool later
      = row->advice == CS_ADVICE_LATER || row->advice == CS_ADVICE_SAME_KEY;
  uint32_t spread
      = later ? cs_limits_spread (exchange->daemon->limits, retry_after_s) : 0;
  char more[128];
  cs_buf_t body = { 0 };
  cs_str_t detail_text = { NULL, 0 };
  if (detail != NULL)
    detail_text = cs_str (detail);
  exchange->error = error;
  cs_log (CS_EV_REQUEST_FAILED, "request=%s error=%s target=%s",
          exchange->request_id.text, cs_error_name (error),
          exchange->served_by);
  if (error == CS_ERR_CALLER_GONE
      || cs_answer_body (error, detail_text,
                         cs_name_str (&exchange->request_id), spread, &body)
             != 0)
    {
      mg_disable_connection_keep_alive (exchange->connection);
      goto out;
    }
  if (exchange->head_sent)
    {
      fail_in_stream (exchange, &body);
      goto out;
    }
  int len = snprintf (more, sizeof more, "Content-Length: %zu\r\n", body.len);
  if (later && len > 0)
    snprintf (more + len, sizeof more - (size_t)len, "Retry-After: %u\r\n",
              spread);
  send_head (exchange, row->status, "application/json", more);
  mg_write (exchange->connection, body.data, body.len);
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
  if (!cs_configuration_is_known (daemon->configuration))
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
  /* The router that took the request from the caller has counted it.  */
  if (!exchange->handed_over
      && !cs_limits_take (daemon->limits, &exchange->organisation,
                          exchange->arrived, &retry_after_s))
    {
      cs_exchange_fail (exchange, CS_ERR_RATE_LIMITED, NULL, retry_after_s);
      return CS_ERR_RATE_LIMITED;
    }
  return 0;
}

static int
read_parts (cs_exchange_t *exchange, size_t most)
{
  char part[16384];
  int got;
  while ((got = mg_read (exchange->connection, part, sizeof part)) > 0)
    {
      cs_str_t bytes = { part, (size_t)got };
      if (exchange->body.len + bytes.len > most)
        return CS_ERR_TOO_LARGE;
      if (cs_buf_append (&exchange->body, bytes) != 0)
        return CS_ERR_NO_MEMORY;
    }
  long long announced = exchange->info->content_length;
  if (got < 0
      || (announced >= 0 && (long long)exchange->body.len != announced))
    return CS_ERR_BAD_REQUEST;
  return 0;
}

int
cs_exchange_read_body (cs_exchange_t *exchange)
{
  size_t most = (size_t)exchange->daemon->settings.body_limit_kib * 1024;
  const char *expect = cs_exchange_header (exchange, "Expect");
  int rc = 0;
  if (exchange->info->content_length > (long long)most)
    rc = CS_ERR_TOO_LARGE;
  else
    {
      if (expect != NULL && strcasecmp (expect, "100-continue") == 0)
        mg_printf (exchange->connection, "HTTP/1.1 100 Continue\r\n\r\n");
      rc = read_parts (exchange, most);
    }
  if (rc != 0)
    {
      /* What is left of the body would be read as the next request.  */
      mg_disable_connection_keep_alive (exchange->connection);
      cs_exchange_fail (exchange, rc, NULL, 0);
    }
  return rc;
}

int
cs_exchange_stream_begin (cs_exchange_t *exchange)
{
  if (exchange->head_sent)
    return 0;
  const char *version = exchange->info->http_version;
  exchange->chunked = version != NULL && strcmp (version, "1.1") == 0;
  cs_counters_add (exchange->daemon->counters, CS_COUNTER_STREAMS, 1);
  see_first_byte (exchange);
  send_head (exchange, 200, "text/event-stream",
             exchange->chunked
                 ? "Cache-Control: no-cache\r\n"
                   "Transfer-Encoding: chunked\r\n"
                 : "Cache-Control: no-cache\r\nConnection: close\r\n");
  return 0;
}

/* One write a chunk: head, bytes and end in one buffer.  */
static int
send_chunk (cs_exchange_t *exchange, cs_str_t part)
{
  cs_buf_t chunk = { 0 };
  int sent = -1;
  if (cs_buf_printf (&chunk, "%zx\r\n", part.len) == 0
      && cs_buf_append (&chunk, part) == 0
      && cs_buf_append (&chunk, cs_str ("\r\n")) == 0)
    sent = mg_write (exchange->connection, chunk.data, chunk.len);
  cs_buf_free (&chunk);
  return sent;
}

int
cs_exchange_stream_part (cs_exchange_t *exchange, cs_str_t part)
{
  int sent;
  if (part.len == 0)
    return 0;
  if (exchange->chunked)
    sent = send_chunk (exchange, part);
  else
    sent = mg_write (exchange->connection, part.data, part.len);
  return sent <= 0 ? CS_ERR_CALLER_GONE : 0;
}

void
cs_exchange_stream_end (cs_exchange_t *exchange)
{
  if (exchange->chunked)
    mg_send_chunk (exchange->connection, "", 0);
  else
    mg_disable_connection_keep_alive (exchange->connection);
}
