#include "api/client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "http/client.h"

#define MAX_IDLE_CONNECTIONS 32
/* The platform sends bookmarks on idle watches.  A watch that receives nothing
   for this long is on a dead connection.  */
#define WATCH_IDLE_TIMEOUT_US (15 * CS_US_PER_S)
/* Interval at which a waiting call checks whether it has been cancelled.  */
#define CANCEL_POLL_MS 200

struct cs_platform
{
  char *host;
  struct sockaddr_in address;
  char *name_space;
  char *authorization; /* header field with its CRLF, or empty */
  uint32_t timeout_ms;
  cs_platform_count_fn *count;
  void *context;
  atomic_bool cancelled;
  /* Guards the idle connections below.  No other lock is taken while it is
     held.  */
  pthread_mutex_t lock;
  cs_http_client_t *connections[MAX_IDLE_CONNECTIONS];
  size_t connection_count;
};

static const char *const kind_paths[]
    = { "cranberrystile.dev/v1", "cranberrystile.dev/v1",
        "cranberrystile.dev/v1", "coordination.k8s.io/v1",
        "discovery.k8s.io/v1" };
static const char *const kind_plurals[]
    = { "releases", "snapshots", "claims", "leases", "endpointslices" };
static const char *const kind_names[]
    = { "Release", "Snapshot", "Claim", "Lease", "EndpointSlice" };

static char *
build_authorization (const char *token)
{
  cs_buf_t line = { 0 };
  int rc = token[0] == '\0'
               ? cs_buf_append (&line, cs_str (""))
               : cs_buf_printf (&line, "Authorization: Bearer %s\r\n", token);
  if (rc != 0)
    cs_buf_free (&line);
  return line.data;
}

cs_platform_t *
cs_platform_create (const char *address, const char *name_space,
                    const char *token, uint32_t timeout_ms,
                    cs_platform_count_fn *count, void *context)
{
  cs_platform_t *platform = calloc (1, sizeof *platform);
  if (platform == NULL)
    return NULL;
  pthread_mutex_init (&platform->lock, NULL);
  platform->host = strdup (address);
  platform->name_space = strdup (name_space);
  platform->authorization = build_authorization (token);
  platform->timeout_ms = timeout_ms;
  platform->count = count;
  platform->context = context;
  if (platform->host == NULL || platform->name_space == NULL
      || platform->authorization == NULL
      || cs_address_parse (cs_str (address), &platform->address) != 0)
    {
      cs_platform_destroy (platform);
      return NULL;
    }
  return platform;
}

void
cs_platform_destroy (cs_platform_t *platform)
{
  if (platform == NULL)
    return;
  for (size_t i = 0; i < platform->connection_count; i++)
    cs_http_client_destroy (platform->connections[i]);
  pthread_mutex_destroy (&platform->lock);
  free (platform->host);
  free (platform->name_space);
  free (platform->authorization);
  free (platform);
}

void
cs_platform_cancel (cs_platform_t *platform)
{
  atomic_store (&platform->cancelled, true);
}

static cs_http_client_t *
acquire_connection (cs_platform_t *platform)
{
  cs_http_client_t *connection = NULL;
  pthread_mutex_lock (&platform->lock);
  if (platform->connection_count > 0)
    connection = platform->connections[--platform->connection_count];
  pthread_mutex_unlock (&platform->lock);
  return connection != NULL ? connection : cs_http_client_create ();
}

static void
release_connection (cs_platform_t *platform, cs_http_client_t *connection)
{
  pthread_mutex_lock (&platform->lock);
  if (connection != NULL && platform->connection_count < MAX_IDLE_CONNECTIONS)
    {
      platform->connections[platform->connection_count++] = connection;
      connection = NULL;
    }
  pthread_mutex_unlock (&platform->lock);
  cs_http_client_destroy (connection);
}

/* Appends the request head, with a Content-Length if there is a body.  */
static int
build_head (const cs_platform_t *platform, const char *method, cs_kind_t kind,
            const char *name, const char *query, size_t body_len,
            cs_buf_t *out)
{
  int rc = cs_buf_printf (
      out,
      "%s /apis/%s/namespaces/%s/%s%s%s%s HTTP/1.1\r\nHost: %s\r\n"
      "Content-Type: application/json\r\n%s",
      method, kind_paths[kind], platform->name_space, kind_plurals[kind],
      name == NULL ? "" : "/", name == NULL ? "" : name, query, platform->host,
      platform->authorization);
  if (rc == 0 && body_len > 0)
    rc = cs_buf_printf (out, "Content-Length: %zu\r\n", body_len);
  return rc != 0 ? rc : cs_buf_append (out, cs_str ("\r\n"));
}

static void
count_call (const cs_platform_t *platform, uint64_t bytes, bool failed)
{
  if (platform->count != NULL)
    platform->count (platform->context, bytes, failed);
}

static int
error_from_status (long status)
{
  switch (status)
    {
    case 200:
    case 201:
      return 0;
    case 404:
      return CS_ERR_NOT_FOUND;
    case 409:
      return CS_ERR_CONFLICT;
    case 429:
      return CS_ERR_RATE_LIMITED;
    case 400:
    case 401:
    case 403:
    case 413:
    case 422:
      return CS_ERR_BAD_REQUEST;
    default:
      return CS_ERR_PLATFORM_DOWN;
    }
}

typedef struct
{
  const char *method;
  cs_kind_t kind;
  const char *name;
  const char *query;
  const json_t *body;
} call_t;

/* The response to a call, or the events of a watch, as they are received.  */
typedef struct
{
  const cs_platform_t *platform;
  cs_time_us_t deadline;
  cs_time_us_t idle_timeout_us; /* without data, for a watch; 0 for calls,
                                   which have only DEADLINE */
  cs_time_us_t last_data;
  int status;
  cs_buf_t body;               /* of a watch, the current incomplete line */
  cs_platform_event_fn *event; /* set for a watch */
  void *context;
  bool stopped_by_callback;
  uint64_t bytes;
} response_t;

static int
on_head (void *context, const cs_http_head_t *head)
{
  response_t *response = context;
  response->status = head->status;
  response->last_data = cs_clock_now ();
  return 0;
}

static int
on_body (void *context, cs_str_t part)
{
  response_t *response = context;
  response->bytes += part.len;
  return cs_buf_append (&response->body, part);
}

static cs_time_us_t
response_deadline (void *context)
{
  const response_t *response = context;
  cs_time_us_t idle_deadline = response->last_data + response->idle_timeout_us;
  if (response->idle_timeout_us == 0 || response->deadline < idle_deadline)
    return response->deadline;
  return idle_deadline;
}

static int
on_idle (void *context)
{
  const response_t *response = context;
  return atomic_load (&response->platform->cancelled) ? CS_ERR_PLATFORM_DOWN
                                                      : 0;
}

/* Sends a request and passes the parts of the response body to ON_BODY_PART.
   Returns 0, or an error for a failed exchange or for the status.  */
static int
send_request (cs_platform_t *platform, const call_t *call, cs_str_t text,
              int (*on_body_part) (void *context, cs_str_t part),
              response_t *response)
{
  cs_http_sink_t sink = { .on_head = on_head,
                          .on_body = on_body_part,
                          .timeout_at = response_deadline,
                          .on_idle = on_idle,
                          .idle_ms = CANCEL_POLL_MS };
  cs_http_call_t http_call = { .address = platform->address,
                               .body = text,
                               .can_retry = strcmp (call->method, "GET") == 0,
                               .connect_ms = platform->timeout_ms };
  cs_buf_t head = { 0 };
  bool was_sent = false;
  int rc = CS_ERR_NO_MEMORY;
  cs_http_client_t *connection = acquire_connection (platform);
  response->platform = platform;
  response->last_data = cs_clock_now ();
  if (connection != NULL
      && build_head (platform, call->method, call->kind, call->name,
                     call->query, text.len, &head)
             == 0)
    {
      http_call.head = cs_buf_str (&head);
      rc = cs_http_client_call (connection, &http_call, &sink, response,
                                &was_sent);
      if (rc != 0 && !response->stopped_by_callback)
        rc = CS_ERR_PLATFORM_DOWN;
    }
  release_connection (platform, connection);
  cs_buf_free (&head);
  return rc != 0 ? rc : error_from_status (response->status);
}

static int
call_json (cs_platform_t *platform, const call_t *call, json_t **out)
{
  response_t response = { 0 };
  char *text = NULL;
  int rc = CS_ERR_NO_MEMORY;
  if (out != NULL)
    *out = NULL;
  if (call->body != NULL
      && (text = json_dumps (call->body, JSON_COMPACT)) == NULL)
    return rc;
  response.deadline = cs_clock_now () + platform->timeout_ms * CS_US_PER_MS;
  rc = send_request (platform, call, cs_str (text == NULL ? "" : text),
                     on_body, &response);
  count_call (platform, response.bytes + (text == NULL ? 0 : strlen (text)),
              rc == CS_ERR_PLATFORM_DOWN || rc == CS_ERR_RATE_LIMITED);
  if (rc != 0 || out == NULL)
    goto out;
  *out = json_loadb (response.body.data == NULL ? "" : response.body.data,
                     response.body.len, 0, NULL);
  /* Without a readable response, the outcome of a write is unknown.  */
  if (!json_is_object (*out))
    {
      json_decref (*out);
      *out = NULL;
      rc = CS_ERR_PLATFORM_DOWN;
    }
out:
  free (text);
  cs_buf_free (&response.body);
  return rc;
}

int
cs_platform_get (cs_platform_t *platform, cs_kind_t kind, const char *name,
                 json_t **out)
{
  call_t call = { "GET", kind, name, "", NULL };
  return call_json (platform, &call, out);
}

static json_t *
build_object (cs_kind_t kind, const char *name, const char *version,
              json_t *spec)
{
  return json_pack ("{s:s, s:s, s:{s:s, s:s*}, s:O}", "apiVersion",
                    kind_paths[kind], "kind", kind_names[kind], "metadata",
                    "name", name, "resourceVersion", version, "spec", spec);
}

int
cs_platform_create_object (cs_platform_t *platform, cs_kind_t kind,
                           const char *name, json_t *spec, json_t **out)
{
  json_t *body = build_object (kind, name, NULL, spec);
  if (body == NULL)
    return CS_ERR_NO_MEMORY;
  call_t call = { "POST", kind, NULL, "", body };
  int rc = call_json (platform, &call, out);
  json_decref (body);
  return rc;
}

int
cs_platform_replace (cs_platform_t *platform, cs_kind_t kind, const char *name,
                     const char *version, json_t *spec, json_t **out)
{
  json_t *body = build_object (kind, name, version, spec);
  if (body == NULL)
    return CS_ERR_NO_MEMORY;
  call_t call = { "PUT", kind, name, "", body };
  int rc = call_json (platform, &call, out);
  json_decref (body);
  return rc;
}

int
cs_platform_delete (cs_platform_t *platform, cs_kind_t kind, const char *name,
                    const char *version)
{
  json_t *body
      = json_pack ("{s:{s:s}}", "preconditions", "resourceVersion", version);
  if (body == NULL)
    return CS_ERR_NO_MEMORY;
  call_t call = { "DELETE", kind, name, "", body };
  int rc = call_json (platform, &call, NULL);
  json_decref (body);
  return rc;
}

int
cs_platform_list (cs_platform_t *platform, cs_kind_t kind, uint32_t limit,
                  const char *after, json_t **out)
{
  cs_buf_t query = { 0 };
  call_t call = { "GET", kind, NULL, "", NULL };
  if (limit > 0)
    {
      if (cs_buf_printf (&query, "?limit=%u%s%s", limit,
                         after[0] == '\0' ? "" : "&continue=", after)
          != 0)
        return CS_ERR_NO_MEMORY;
      call.query = query.data;
    }
  int rc = call_json (platform, &call, out);
  cs_buf_free (&query);
  return rc;
}

static bool
dispatch_event (response_t *response)
{
  const char *type;
  json_t *object;
  bool keep_watching = true;
  json_t *event
      = json_loadb (response->body.data, response->body.len, 0, NULL);
  if (json_unpack (event, "{s:s, s:o}", "type", &type, "object", &object) == 0)
    keep_watching = response->event (response->context, type, object);
  json_decref (event);
  return keep_watching;
}

/* Passes on the events of a watch, which are one per line.  */
static int
on_watch_data (void *context, cs_str_t rest)
{
  response_t *response = context;
  response->last_data = cs_clock_now ();
  response->bytes += rest.len;
  /* The body of an error response holds no events.  */
  if (response->status >= 300)
    return 0;
  while (rest.len > 0)
    {
      const char *end = memchr (rest.data, '\n', rest.len);
      size_t len = end == NULL ? rest.len : (size_t)(end - rest.data);
      cs_str_t part = { rest.data, len };
      if (cs_buf_append (&response->body, part) != 0)
        return CS_ERR_NO_MEMORY;
      if (end == NULL)
        break;
      bool keep_watching
          = response->body.len == 0 || dispatch_event (response);
      cs_buf_clear (&response->body);
      if (!keep_watching)
        {
          response->stopped_by_callback = true;
          return CS_ERR_CUT;
        }
      rest.data += len + 1;
      rest.len -= len + 1;
    }
  return 0;
}

int
cs_platform_watch (cs_platform_t *platform, cs_kind_t kind,
                   const char *version, uint32_t seconds,
                   cs_platform_event_fn *event, void *context)
{
  response_t response = { .idle_timeout_us = WATCH_IDLE_TIMEOUT_US,
                          .event = event,
                          .context = context };
  call_t call = { "GET", kind, NULL, "", NULL };
  cs_buf_t query = { 0 };
  int rc = cs_buf_printf (&query,
                          "?watch=1&allowWatchBookmarks=true"
                          "&resourceVersion=%s&timeoutSeconds=%u",
                          version, seconds);
  if (rc != 0)
    return rc;
  call.query = query.data;
  response.deadline
      = cs_clock_now () + seconds * CS_US_PER_S + WATCH_IDLE_TIMEOUT_US;
  rc = send_request (platform, &call, cs_str (""), on_watch_data, &response);
  count_call (platform, response.bytes, rc == CS_ERR_PLATFORM_DOWN);
  cs_buf_free (&response.body);
  cs_buf_free (&query);
  return response.stopped_by_callback ? 0 : rc;
}

const char *
cs_platform_resource_version (const json_t *object)
{
  const json_t *metadata = json_object_get (object, "metadata");
  const char *version
      = json_string_value (json_object_get (metadata, "resourceVersion"));
  return version == NULL ? "" : version;
}

const json_t *
cs_platform_spec (const json_t *object)
{
  return json_object_get (object, "spec");
}
