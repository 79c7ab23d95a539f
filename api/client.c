#include "api/client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#define HANDLES_MAX 32
#define WATCH_SILENCE_S 15L

struct cs_platform
{
  char *base;
  char *name_space;
  struct curl_slist *headers;
  uint32_t timeout_ms;
  cs_platform_count_fn *count;
  void *context;
  atomic_bool cancelled;
  pthread_mutex_t lock; /* guards the pool below; a leaf */
  CURL *handles[HANDLES_MAX];
  size_t handle_count;
};

static const char *const kind_paths[]
    = { "cranberrystile.dev/v1", "cranberrystile.dev/v1",
        "cranberrystile.dev/v1", "coordination.k8s.io/v1",
        "discovery.k8s.io/v1" };
static const char *const kind_plurals[]
    = { "releases", "snapshots", "claims", "leases", "endpointslices" };
static const char *const kind_names[]
    = { "Release", "Snapshot", "Claim", "Lease", "EndpointSlice" };

static int
build_headers (cs_platform_t *platform, const char *token)
{
  cs_buf_t line = { 0 };
  int rc = CS_ERR_NO_MEMORY;
  struct curl_slist *list
      = curl_slist_append (NULL, "Content-Type: application/json");
  if (list == NULL)
    return rc;
  platform->headers = list;
  /* curl would wait for a "100 Continue" before larger bodies.  */
  if (curl_slist_append (list, "Expect:") == NULL)
    return rc;
  if (token[0] == '\0')
    return 0;
  if (cs_buf_printf (&line, "Authorization: Bearer %s", token) == 0
      && curl_slist_append (list, line.data) != NULL)
    rc = 0;
  cs_buf_free (&line);
  return rc;
}

cs_platform_t *
cs_platform_create (const char *address, const char *name_space,
                    const char *token, uint32_t timeout_ms,
                    cs_platform_count_fn *count, void *context)
{
  cs_buf_t base = { 0 };
  cs_platform_t *platform = calloc (1, sizeof *platform);
  if (platform == NULL)
    return NULL;
  pthread_mutex_init (&platform->lock, NULL);
  cs_buf_printf (&base, "http://%s/apis/", address);
  platform->base = base.data;
  platform->name_space = strdup (name_space);
  platform->timeout_ms = timeout_ms;
  platform->count = count;
  platform->context = context;
  if (platform->base == NULL || platform->name_space == NULL
      || build_headers (platform, token) != 0)
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
  for (size_t i = 0; i < platform->handle_count; i++)
    curl_easy_cleanup (platform->handles[i]);
  curl_slist_free_all (platform->headers);
  pthread_mutex_destroy (&platform->lock);
  free (platform->base);
  free (platform->name_space);
  free (platform);
}

void
cs_platform_cancel (cs_platform_t *platform)
{
  atomic_store (&platform->cancelled, true);
}

/* A result other than 0 has curl end the call.  */
static int
on_progress (void *context, curl_off_t total_in, curl_off_t in,
             curl_off_t total_out, curl_off_t out)
{
  const cs_platform_t *platform = context;
  return atomic_load (&platform->cancelled) ? 1 : 0;
}

static CURL *
take_handle (cs_platform_t *platform)
{
  CURL *handle = NULL;
  pthread_mutex_lock (&platform->lock);
  if (platform->handle_count > 0)
    handle = platform->handles[--platform->handle_count];
  pthread_mutex_unlock (&platform->lock);
  return handle != NULL ? handle : curl_easy_init ();
}

static void
give_handle (cs_platform_t *platform, CURL *handle)
{
  pthread_mutex_lock (&platform->lock);
  if (platform->handle_count < HANDLES_MAX)
    {
      platform->handles[platform->handle_count++] = handle;
      handle = NULL;
    }
  pthread_mutex_unlock (&platform->lock);
  curl_easy_cleanup (handle);
}

static int
build_url (const cs_platform_t *platform, cs_kind_t kind, const char *name,
           const char *query, cs_buf_t *out)
{
  return cs_buf_printf (out, "%s%s/namespaces/%s/%s%s%s%s", platform->base,
                        kind_paths[kind], platform->name_space,
                        kind_plurals[kind], name == NULL ? "" : "/",
                        name == NULL ? "" : name, query);
}

static size_t
collect (char *data, size_t size, size_t count, void *context)
{
  cs_str_t part = { data, size * count };
  return cs_buf_append (context, part) == 0 ? part.len : 0;
}

static void
set_common (cs_platform_t *platform, CURL *handle, const char *url)
{
  curl_easy_reset (handle);
  curl_easy_setopt (handle, CURLOPT_URL, url);
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, platform->headers);
  curl_easy_setopt (handle, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)platform->timeout_ms);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  curl_easy_setopt (handle, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (handle, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (handle, CURLOPT_XFERINFODATA, platform);
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

static int
perform (cs_platform_t *platform, CURL *handle, const call_t *call,
         const char *text, cs_buf_t *answer)
{
  long status = 0;
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, (long)platform->timeout_ms);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, answer);
  if (text != NULL)
    curl_easy_setopt (handle, CURLOPT_POSTFIELDS, text);
  if (curl_easy_perform (handle) != CURLE_OK)
    return CS_ERR_PLATFORM_DOWN;
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  return error_of_status (status);
}

static int
run (cs_platform_t *platform, const call_t *call, json_t **out)
{
  cs_buf_t url = { 0 };
  cs_buf_t answer = { 0 };
  char *text = NULL;
  int rc = CS_ERR_NO_MEMORY;
  CURL *handle = take_handle (platform);
  if (out != NULL)
    *out = NULL;
  if (handle == NULL
      || build_url (platform, call->kind, call->name, call->query, &url) != 0)
    goto out;
  if (call->body != NULL
      && (text = json_dumps (call->body, JSON_COMPACT)) == NULL)
    goto out;
  set_common (platform, handle, url.data);
  rc = perform (platform, handle, call, text, &answer);
  count_call (platform, answer.len + (text == NULL ? 0 : strlen (text)),
              rc == CS_ERR_PLATFORM_DOWN || rc == CS_ERR_RATE_LIMITED);
  if (rc != 0 || out == NULL)
    goto out;
  *out = json_loadb (answer.data == NULL ? "" : answer.data, answer.len, 0,
                     NULL);
  /* An answer that cannot be read leaves the outcome of a write open.  */
  if (!json_is_object (*out))
    {
      json_decref (*out);
      *out = NULL;
      rc = CS_ERR_PLATFORM_DOWN;
    }
out:
  if (handle != NULL)
    give_handle (platform, handle);
  free (text);
  cs_buf_free (&url);
  cs_buf_free (&answer);
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

typedef struct
{
  cs_buf_t line;
  cs_platform_event_fn *event;
  void *context;
  bool ended; /* by the event function */
  uint64_t bytes;
} watch_t;

static bool
handle_line (watch_t *watch)
{
  const char *type;
  json_t *object;
  bool go_on = true;
  json_t *event = json_loadb (watch->line.data, watch->line.len, 0, NULL);
  if (json_unpack (event, "{s:s, s:o}", "type", &type, "object", &object) == 0)
    go_on = watch->event (watch->context, type, object);
  json_decref (event);
  return go_on;
}

static size_t
watch_data (char *data, size_t size, size_t count, void *context)
{
  watch_t *watch = context;
  cs_str_t rest = { data, size * count };
  watch->bytes += rest.len;
  while (rest.len > 0)
    {
      const char *end = memchr (rest.data, '\n', rest.len);
      size_t len = end == NULL ? rest.len : (size_t)(end - rest.data);
      cs_str_t part = { rest.data, len };
      if (cs_buf_append (&watch->line, part) != 0)
        return 0;
      if (end == NULL)
        break;
      bool go_on = watch->line.len == 0 || handle_line (watch);
      cs_buf_clear (&watch->line);
      if (!go_on)
        {
          watch->ended = true;
          return 0;
        }
      rest.data += len + 1;
      rest.len -= len + 1;
    }
  return size * count;
}

static int
perform_watch (CURL *handle, watch_t *watch, uint32_t seconds)
{
  long status = 0;
  /* The platform sends bookmarks; a watch that is silent for longer is on a
     connection that nobody holds the other end of.  */
  curl_easy_setopt (handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt (handle, CURLOPT_LOW_SPEED_TIME, WATCH_SILENCE_S);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT, (long)seconds + WATCH_SILENCE_S);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, watch_data);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, watch);
  curl_easy_setopt (handle, CURLOPT_FAILONERROR, 1L);
  CURLcode code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  if (watch->ended || code == CURLE_OK)
    return 0;
  if (code == CURLE_HTTP_RETURNED_ERROR)
    return error_of_status (status);
  return CS_ERR_PLATFORM_DOWN;
}

int
cs_platform_watch (cs_platform_t *platform, cs_kind_t kind,
                   const char *version, uint32_t seconds,
                   cs_platform_event_fn *event, void *context)
{
  watch_t watch = { .event = event, .context = context };
  cs_buf_t url = { 0 };
  cs_buf_t query = { 0 };
  int rc = CS_ERR_NO_MEMORY;
  CURL *handle = take_handle (platform);
  if (handle == NULL
      || cs_buf_printf (&query,
                        "?watch=1&allowWatchBookmarks=true"
                        "&resourceVersion=%s&timeoutSeconds=%u",
                        version, seconds)
             != 0
      || build_url (platform, kind, NULL, query.data, &url) != 0)
    goto out;
  set_common (platform, handle, url.data);
  rc = perform_watch (handle, &watch, seconds);
  count_call (platform, watch.bytes, rc == CS_ERR_PLATFORM_DOWN);
out:
  if (handle != NULL)
    give_handle (platform, handle);
  cs_buf_free (&watch.line);
  cs_buf_free (&query);
  cs_buf_free (&url);
  return rc;
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
