#include "daemon/target_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/error.h"

/* Longest pause between two looks at the time.  */
#define IDLE_MS 1000

#define ORCA_HEADER "endpoint-load-metrics"

typedef struct
{
  const cs_settings_t *settings;
  const cs_call_request_t *request;
  const cs_call_sink_t *sink;
  cs_connection_t *connection;
  cs_call_head_t head;
  bool head_given;
  bool id_seen; /* the answer carries our request id */
  bool id_wrong;
  int sink_rc; /* why the sink ended the call */
  cs_time_us_t last_data;
} call_t;

static cs_str_t
trim (cs_str_t s)
{
  while (s.len > 0 && (s.data[0] == ' ' || s.data[0] == '\t'))
    {
      s.data++;
      s.len--;
    }
  while (s.len > 0 && (unsigned char)s.data[s.len - 1] <= ' ')
    s.len--;
  return s;
}

static bool
split_header (cs_str_t line, cs_str_t *name, cs_str_t *value)
{
  const char *colon = memchr (line.data, ':', line.len);
  if (colon == NULL)
    return false;
  name->data = line.data;
  name->len = (size_t)(colon - line.data);
  value->data = colon + 1;
  value->len = line.len - name->len - 1;
  *value = trim (*value);
  return true;
}

static bool
is_header (cs_str_t name, const char *wanted)
{
  return name.len == strlen (wanted)
         && strncasecmp (name.data, wanted, name.len) == 0;
}

static void
read_orca (call_t *call, cs_str_t value)
{
  static const char format[] = "JSON ";
  if (!cs_str_starts_with (value, cs_str (format)))
    return;
  cs_str_t text
      = { value.data + sizeof format - 1, value.len - (sizeof format - 1) };
  call->head.has_load
      = cs_target_load_parse (text, cs_clock_now (), &call->head.load);
}

static void
read_header (call_t *call, cs_str_t name, cs_str_t value)
{
  uint64_t seconds;
  if (is_header (name, "x-request-id"))
    {
      call->id_seen = cs_str_equal (value, call->request->request_id);
      call->id_wrong = !call->id_seen;
    }
  else if (is_header (name, "content-type"))
    snprintf (call->head.content_type, sizeof call->head.content_type, "%.*s",
              CS_STR_ARG (value));
  else if (is_header (name, "retry-after")
           && cs_str_to_u64 (value, &seconds) == 0 && seconds < 86400)
    call->head.retry_after_s = (uint32_t)seconds;
  else if (is_header (name, ORCA_HEADER))
    read_orca (call, value);
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  call_t *call = context;
  cs_str_t line = { data, size * count };
  cs_str_t name, value;
  call->last_data = cs_clock_now ();
  /* A status line begins a new answer, as after "100 Continue".  */
  if (cs_str_starts_with (line, cs_str ("HTTP/")))
    {
      memset (&call->head, 0, sizeof call->head);
      call->id_seen = false;
      call->id_wrong = false;
      return line.len;
    }
  if (split_header (line, &name, &value))
    read_header (call, name, value);
  return line.len;
}

static int
give_head (call_t *call)
{
  long status = 0;
  if (call->head_given)
    return 0;
  if (call->id_wrong || (call->request->expect_request_id && !call->id_seen))
    return CS_ERR_WRONG_ANSWER;
  call->head_given = true;
  curl_easy_getinfo (call->connection->easy, CURLINFO_RESPONSE_CODE, &status);
  call->head.status = (int)status;
  return call->sink->head (call->sink->context, &call->head);
}

static size_t
on_data (char *data, size_t size, size_t count, void *context)
{
  call_t *call = context;
  cs_str_t part = { data, size * count };
  call->last_data = cs_clock_now ();
  call->sink_rc = give_head (call);
  if (call->sink_rc == 0)
    call->sink_rc = call->sink->data (call->sink->context, part);
  return call->sink_rc == 0 ? part.len : 0;
}

static struct curl_slist *
append_header (struct curl_slist *list, const char *line)
{
  struct curl_slist *longer = curl_slist_append (list, line);
  return longer != NULL ? longer : list;
}

static struct curl_slist *
build_headers (const cs_call_request_t *request)
{
  cs_buf_t id = { 0 };
  /* curl would wait for a "100 Continue" before larger bodies.  */
  struct curl_slist *list = append_header (NULL, "Expect:");
  if (cs_buf_printf (&id, "X-Request-Id: %.*s",
                     CS_STR_ARG (request->request_id))
      == 0)
    list = append_header (list, id.data);
  cs_buf_free (&id);
  for (size_t i = 0; i < CS_CALL_HEADERS_MAX && request->headers[i] != NULL;
       i++)
    list = append_header (list, request->headers[i]);
  return list;
}

static void
set_options (call_t *call, const char *url, struct curl_slist *headers)
{
  CURL *easy = call->connection->easy;
  const cs_settings_t *settings = call->settings;
  const cs_call_request_t *request = call->request;
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)settings->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, 10L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, 5L);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                    (long)settings->connection_age_s);
  if (settings->tls_certificate[0] != '\0')
    curl_easy_setopt (easy, CURLOPT_CAINFO, settings->tls_certificate);
  /* On a reused connection that breaks curl sends the request again by itself;
     a request that may not be repeated gets a connection of its own.  */
  if (!request->repeatable)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request->body.len > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body.data);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)request->body.len);
    }
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
}

/* The time at which the call is given up if nothing more comes.  */
static cs_time_us_t
silence_deadline (const call_t *call, cs_time_us_t begun)
{
  const cs_settings_t *settings = call->settings;
  cs_time_us_t until
      = call->last_data == 0
            ? begun + settings->first_byte_timeout_ms * CS_US_PER_MS
            : call->last_data + settings->token_timeout_ms * CS_US_PER_MS;
  return until < call->request->deadline ? until : call->request->deadline;
}

static CURLcode
result_of (const call_t *call)
{
  int left;
  const CURLMsg *message;
  while ((message = curl_multi_info_read (call->connection->multi, &left))
         != NULL)
    if (message->msg == CURLMSG_DONE)
      return message->data.result;
  return CURLE_OK;
}

/* Runs the transfer.  Returns 0, or CS_ERR_SILENT on a timeout.  */
static int
run_transfer (call_t *call, cs_time_us_t begun, CURLcode *code)
{
  int running = 1;
  cs_time_us_t idle_told = begun;
  while (true)
    {
      if (curl_multi_perform (call->connection->multi, &running) != CURLM_OK)
        return CS_ERR_INTERNAL;
      if (running == 0)
        break;
      cs_time_us_t now = cs_clock_now ();
      cs_time_us_t until = silence_deadline (call, begun);
      if (now >= until)
        return CS_ERR_SILENT;
      if (call->sink->idle != NULL
          && now >= idle_told + IDLE_MS * CS_US_PER_MS)
        {
          idle_told = now;
          call->sink_rc = call->sink->idle (call->sink->context);
          if (call->sink_rc != 0)
            return call->sink_rc;
        }
      uint64_t wait_ms = (until - now) / CS_US_PER_MS + 1;
      if (wait_ms > IDLE_MS)
        wait_ms = IDLE_MS;
      curl_multi_poll (call->connection->multi, NULL, 0, (int)wait_ms, NULL);
    }
  *code = result_of (call);
  return 0;
}

/* Whether the request can have left this host.  */
static bool
was_sent (const call_t *call)
{
  curl_off_t connected = 0;
  long reused_bytes = 0;
  curl_easy_getinfo (call->connection->easy, CURLINFO_REQUEST_SIZE,
                     &reused_bytes);
  curl_easy_getinfo (call->connection->easy, CURLINFO_PRETRANSFER_TIME_T,
                     &connected);
  return reused_bytes > 0 || connected > 0;
}

static int
error_of (const call_t *call, int rc, CURLcode code)
{
  if (call->sink_rc != 0)
    return call->sink_rc;
  if (rc == CS_ERR_SILENT)
    return was_sent (call) ? CS_ERR_SILENT : CS_ERR_CONNECT;
  if (rc != 0)
    return rc;
  switch (code)
    {
    case CURLE_OK:
      return 0;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return CS_ERR_CONNECT;
    case CURLE_OPERATION_TIMEDOUT:
      return was_sent (call) ? CS_ERR_SILENT : CS_ERR_CONNECT;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_HTTP2:
      return CS_ERR_WRONG_ANSWER;
    default:
      return was_sent (call) ? CS_ERR_CUT : CS_ERR_CONNECT;
    }
}

int
cs_target_call (cs_endpoint_t *endpoint, const cs_settings_t *settings,
                const cs_call_request_t *request, const cs_call_sink_t *sink)
{
  call_t call = { .settings = settings, .request = request, .sink = sink };
  cs_buf_t url = { 0 };
  CURLcode code = CURLE_OK;
  cs_time_us_t begun = cs_clock_now ();
  int rc = CS_ERR_NO_MEMORY;
  struct curl_slist *headers = build_headers (request);
  if (cs_buf_printf (&url, "%s://%s%s", request->scheme,
                     cs_endpoint_target (endpoint)->address.text,
                     request->path)
      != 0)
    goto out;
  call.connection
      = cs_endpoint_take (endpoint, !request->repeatable,
                          settings->connection_age_s * CS_US_PER_S, begun);
  if (call.connection == NULL)
    goto out;
  set_options (&call, url.data, headers);
  curl_multi_add_handle (call.connection->multi, call.connection->easy);
  rc = run_transfer (&call, begun, &code);
  rc = error_of (&call, rc, code);
  if (rc == 0)
    rc = give_head (&call);
  curl_multi_remove_handle (call.connection->multi, call.connection->easy);
  cs_endpoint_give (endpoint, call.connection, rc == 0);
  if (rc == CS_ERR_SILENT || rc == CS_ERR_CONNECT)
    cs_endpoint_drop_connections (endpoint);
out:
  curl_slist_free_all (headers);
  cs_buf_free (&url);
  return rc;
}
