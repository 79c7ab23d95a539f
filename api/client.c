#include "api/client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "http/client.h"

#define CONNECTIONS_MAX 32
/* The platform sends bookmarks; a watch that is silent for longer is on a
   connection that nobody holds the other end of.  */
#define WATCH_SILENCE_US (15 * CS_US_PER_S)
/* Between two looks at whether calls are cancelled.  */
#define IDLE_MS 200

struct cs_platform
{
  char *host;
  struct sockaddr_in address;
  char *name_space;
  char *authorization; /* header line, or empty */
  uint32_t timeout_ms;
  cs_platform_count_fn *count;
  void *context;
  atomic_bool cancelled;
  pthread_mutex_t lock; /* guards the pool below; a leaf */
  cs_http_client_t *connections[CONNECTIONS_MAX];
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
take_connection (cs_platform_t *platform)
{
  cs_http_client_t *connection = NULL;
  pthread_mutex_lock (&platform->lock);
  if (platform->connection_count > 0)
    connection = platform->connections[--platform->connection_count];
  pthread_mutex_unlock (&platform->lock);
  return connection != NULL ? connection : cs_http_client_create ();
}

static void
give_connection (cs_platform_t *platform, cs_http_client_t *connection)
{
  pthread_mutex_lock (&platform->lock);
  if (connection != NULL && platform->connection_count < CONNECTIONS_MAX)
    {
      platform->connections[platform->connection_count++] = connection;
      connection = NULL;
    }
  pthread_mutex_unlock (&platform->lock);
  cs_http_client_destroy (connection);
}

/* Appends the head of a call; the body's length is named when there is one. */
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
error_of_status (long status)
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

/* The answer of a call, or the events of a watch, while they come.  */
typedef struct
{
  const cs_platform_t *platform;
  cs_time_us_t deadline;
  cs_time_us_t silence_us; /* longest pause; 0: none but DEADLINE */
  cs_time_us_t last_data;
  int status;
  cs_buf_t body; /* of a watch, the line that is not complete yet */
  cs_platform_event_fn *event; /* of a watch */
  void *context;
  bool ended; /* by the event function */
  uint64_t bytes;
} answer_t;

static int
on_head (void *context, const cs_http_head_t *head)
{
  answer_t *answer = context;
  answer->status = head->status;
  answer->last_data = cs_clock_now ();
  return 0;
}

static int
on_body (void *context, cs_str_t part)
{
  answer_t *answer = context;
  answer->bytes += part.len;
  return cs_buf_append (&answer->body, part);
}

static cs_time_us_t
give_up_at (void *context)
{
  const answer_t *answer = context;
  cs_time_us_t until = answer->last_data + answer->silence_us;
  if (answer->silence_us == 0 || answer->deadline < until)
    return answer->deadline;
  return until;
}

static int
on_idle (void *context)
{
  const answer_t *answer = context;
  return atomic_load (&answer->platform->cancelled) ? CS_ERR_PLATFORM_DOWN : 0;
}

/* Sends a call and gives its answer to ON_BODY.  Returns 0, or an error of the
   client's or of the status.  */
static int
perform (cs_platform_t *platform, const call_t *call, cs_str_t text,
         int (*on_part) (void *context, cs_str_t part), answer_t *answer)
{
  cs_http_sink_t sink = { .on_head = on_head,
                          .on_body = on_part,
                          .until = give_up_at,
                          .on_idle = on_idle,
                          .idle_ms = IDLE_MS };
  cs_http_call_t http_call = { .address = platform->address,
                               .body = text,
                               .can_retry = strcmp (call->method, "GET") == 0,
                               .connect_ms = platform->timeout_ms };
  cs_buf_t head = { 0 };
  bool was_sent = false;
  int rc = CS_ERR_NO_MEMORY;
  cs_http_client_t *connection = take_connection (platform);
  answer->platform = platform;
  answer->last_data = cs_clock_now ();
  if (connection != NULL
      && build_head (platform, call->method, call->kind, call->name,
                     call->query, text.len, &head)
             == 0)
    {
      http_call.head = cs_buf_str (&head);
      rc = cs_http_client_call (connection, &http_call, &sink, answer,
                                &was_sent);
      if (rc != 0 && !answer->ended)
        rc = CS_ERR_PLATFORM_DOWN;
    }
  give_connection (platform, connection);
  cs_buf_free (&head);
  return rc != 0 ? rc : error_of_status (answer->status);
}

static int
run (cs_platform_t *platform, const call_t *call, json_t **out)
{
  answer_t answer = { 0 };
  char *text = NULL;
  int rc = CS_ERR_NO_MEMORY;
  if (out != NULL)
    *out = NULL;
  if (call->body != NULL
      && (text = json_dumps (call->body, JSON_COMPACT)) == NULL)
    return rc;
  answer.deadline = cs_clock_now () + platform->timeout_ms * CS_US_PER_MS;
  rc = perform (platform, call, cs_str (text == NULL ? "" : text), on_body,
                &answer);
  count_call (platform, answer.bytes + (text == NULL ? 0 : strlen (text)),
              rc == CS_ERR_PLATFORM_DOWN || rc == CS_ERR_RATE_LIMITED);
  if (rc != 0 || out == NULL)
    goto out;
  *out = json_loadb (answer.body.data == NULL ? "" : answer.body.data,
                     answer.body.len, 0, NULL);
  /* An answer that cannot be read leaves the outcome of a write open.  */
  if (!json_is_object (*out))
    {
      json_decref (*out);
      *out = NULL;
      rc = CS_ERR_PLATFORM_DOWN;
    }
out:
  free (text);
  cs_buf_free (&answer.body);
  return rc;
}

int
cs_platform_get (cs_platform_t *platform, cs_kind_t kind, const char *name,
                 json_t **out)
{
  call_t call = { "GET", kind, name, "", NULL };
  return run (platform, &call, out);
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
  int rc = run (platform, &call, out);
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
  int rc = run (platform, &call, out);
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
  int rc = run (platform, &call, NULL);
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
  int rc = run (platform, &call, out);
  cs_buf_free (&query);
  return rc;
}

static bool
handle_line (answer_t *answer)
{
  const char *type;
  json_t *object;
  bool go_on = true;
  json_t *event = json_loadb (answer->body.data, answer->body.len, 0, NULL);
  if (json_unpack (event, "{s:s, s:o}", "type", &type, "object", &object) == 0)
    go_on = answer->event (answer->context, type, object);
  json_decref (event);
  return go_on;
}

/* Hands on the events of a watch, one a line.  */
static int
on_watch_data (void *context, cs_str_t rest)
{
  answer_t *answer = context;
  answer->last_data = cs_clock_now ();
  answer->bytes += rest.len;
  /* An error's text is no event.  */
  if (answer->status >= 300)
    return 0;
  while (rest.len > 0)
    {
      const char *end = memchr (rest.data, '\n', rest.len);
      size_t len = end == NULL ? rest.len : (size_t)(end - rest.data);
      cs_str_t part = { rest.data, len };
      if (cs_buf_append (&answer->body, part) != 0)
        return CS_ERR_NO_MEMORY;
      if (end == NULL)
        break;
      bool go_on = answer->body.len == 0 || handle_line (answer);
      cs_buf_clear (&answer->body);
      if (!go_on)
        {
          answer->ended = true;
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
  answer_t answer
      = { .silence_us = WATCH_SILENCE_US, .event = event, .context = context };
  call_t call = { "GET", kind, NULL, "", NULL };
  cs_buf_t query = { 0 };
  int rc = cs_buf_printf (&query,
                          "?watch=1&allowWatchBookmarks=true"
                          "&resourceVersion=%s&timeoutSeconds=%u",
                          version, seconds);
  if (rc != 0)
    return rc;
  call.query = query.data;
  answer.deadline = cs_clock_now () + seconds * CS_US_PER_S + WATCH_SILENCE_US;
  rc = perform (platform, &call, cs_str (""), on_watch_data, &answer);
  count_call (platform, answer.bytes, rc == CS_ERR_PLATFORM_DOWN);
  cs_buf_free (&answer.body);
  cs_buf_free (&query);
  return answer.ended ? 0 : rc;
}

const char *
cs_platform_version (const json_t *object)
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
