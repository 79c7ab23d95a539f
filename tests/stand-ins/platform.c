/* Stand-in for the platform's object API: resource versions, conditional
   updates, paged lists, watches and a rate limit.

   POST /control?KEY=VALUE injects faults:
     down=1      connections are closed without a response
     slow_ms=MS  delay before each call is handled
     lose=N      the next N successful writes take effect, but their connection
                 is closed without a response
     stale=N     reads and watches do not see the last N writes
     rate=N      calls beyond N per second get 429; 0 means no limit  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "server.h"

#define WATCH_STEP_MS 20
#define BOOKMARK_MS 1000

/* One write.  All writes are kept in order, so that watches and stale reads
   can replay them.  */
typedef struct
{
  char collection[256];
  char name[128];
  const char *type; /* ADDED, MODIFIED, DELETED */
  json_t *object;   /* NULL for a delete */
} change_t;

static struct
{
  pthread_mutex_t lock;
  change_t *changes; /* changes[i] has resourceVersion i + 1 */
  size_t count;
  size_t capacity;
  long down;
  long slow_ms;
  long lose;
  long stale;
  long rate;
  double tokens;   /* token bucket of the rate limit */
  double refilled; /* time of the last refill in seconds */
  long calls;
  long writes;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

static double
now_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

static bool
take_token (void)
{
  double now = now_s ();
  if (store.rate == 0)
    return true;
  store.tokens += (now - store.refilled) * (double)store.rate;
  store.refilled = now;
  if (store.tokens > (double)store.rate)
    store.tokens = (double)store.rate;
  if (store.tokens < 1)
    return false;
  store.tokens -= 1;
  return true;
}

/* Returns the newest change of an object among the first LIMIT changes, or
   NULL if the object does not exist at that point.  */
static const change_t *
find_object (const char *collection, const char *name, size_t limit)
{
  for (size_t i = limit; i > 0; i--)
    if (strcmp (store.changes[i - 1].name, name) == 0
        && strcmp (store.changes[i - 1].collection, collection) == 0)
      return store.changes[i - 1].object == NULL ? NULL
                                                 : &store.changes[i - 1];
  return NULL;
}

static const char *
resource_version (const json_t *object)
{
  const char *version = json_string_value (json_object_get (
      json_object_get (object, "metadata"), "resourceVersion"));
  return version == NULL ? "" : version;
}

/* Records a change and sets the object's resourceVersion.  Takes ownership of
   OBJECT, which is NULL for a delete, and returns a new reference to it.  */
static json_t *
add_change (const char *collection, const char *name, const char *type,
            json_t *object)
{
  char version[32];
  if (store.count == store.capacity)
    {
      store.capacity = store.capacity == 0 ? 256 : store.capacity * 2;
      store.changes
          = realloc (store.changes, store.capacity * sizeof *store.changes);
    }
  change_t *change = &store.changes[store.count++];
  snprintf (change->collection, sizeof change->collection, "%s", collection);
  snprintf (change->name, sizeof change->name, "%s", name);
  snprintf (version, sizeof version, "%zu", store.count);
  change->type = type;
  change->object = object;
  if (object != NULL)
    json_object_set_new (json_object_get (object, "metadata"),
                         "resourceVersion", json_string (version));
  store.writes++;
  return json_incref (object);
}

/* Number of changes that reads can see.  */
static size_t
visible_changes (void)
{
  size_t lag = (size_t)store.stale;
  return lag > store.count ? 0 : store.count - lag;
}

static json_t *
list_objects (const struct mg_request_info *info, const char *collection)
{
  char after[128] = "";
  char version[32];
  long limit = stand_in_query (info, "limit", 0);
  json_t *items = json_array ();
  const char *last = NULL;
  bool more = false;
  size_t end = visible_changes ();
  if (info->query_string != NULL)
    mg_get_var (info->query_string, strlen (info->query_string), "continue",
                after, sizeof after);
  /* Sorted by name, so that a client can fetch a long list in pages.  */
  while (true)
    {
      const char *next = NULL;
      const char *previous = last != NULL ? last : after;
      for (size_t i = 0; i < end; i++)
        {
          const change_t *change = &store.changes[i];
          if (strcmp (change->collection, collection) == 0
              && strcmp (change->name, previous) > 0
              && (next == NULL || strcmp (change->name, next) < 0)
              && find_object (collection, change->name, end) != NULL)
            next = change->name;
        }
      if (next == NULL)
        break;
      if (limit > 0 && (long)json_array_size (items) == limit)
        {
          more = true;
          break;
        }
      json_array_append (items, find_object (collection, next, end)->object);
      last = next;
    }
  snprintf (version, sizeof version, "%zu", end);
  return json_pack ("{s:{s:s, s:s}, s:o}", "metadata", "resourceVersion",
                    version, "continue", more ? last : "", "items", items);
}

static bool
send_line (struct mg_connection *connection, const char *type,
           const json_t *object)
{
  json_t *event = json_pack ("{s:s, s:O}", "type", type, "object", object);
  char *text = json_dumps (event, JSON_COMPACT);
  bool sent = mg_printf (connection, "%s\n", text) > 0;
  free (text);
  json_decref (event);
  return sent;
}

static void
watch_objects (struct mg_connection *connection,
               const struct mg_request_info *info, const char *collection)
{
  size_t next = (size_t)stand_in_query (info, "resourceVersion", 0);
  double end = now_s () + (double)stand_in_query (info, "timeoutSeconds", 30);
  double last_bookmark = now_s ();
  bool open = true;
  mg_disable_connection_keep_alive (connection);
  mg_printf (connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                         "\r\nConnection: close\r\n\r\n");
  while (open && now_s () < end)
    {
      pthread_mutex_lock (&store.lock);
      bool down = store.down != 0;
      json_t *object = NULL;
      const char *type = "";
      if (next < visible_changes ())
        {
          const change_t *change = &store.changes[next++];
          if (strcmp (change->collection, collection) == 0)
            object = json_incref (change->object);
          type = change->type;
        }
      bool pending = next < visible_changes ();
      pthread_mutex_unlock (&store.lock);
      if (down)
        return;
      if (object != NULL)
        open = send_line (connection, type, object);
      json_decref (object);
      if (now_s () - last_bookmark > BOOKMARK_MS / 1000.0)
        {
          json_t *empty = json_object ();
          open = open && send_line (connection, "BOOKMARK", empty);
          json_decref (empty);
          last_bookmark = now_s ();
        }
      if (!pending)
        stand_in_sleep_ms (WATCH_STEP_MS);
    }
}

static json_t *
make_failure (int code)
{
  return json_pack ("{s:s, s:i}", "status", "Failure", "code", code);
}

/* Executes a write and sets *OUT to a new reference to its result.  Returns
   the HTTP status; *OUT is unchanged on failure.  Call with the lock held.  */
static int
write_object (const char *method, const char *collection, const char *name,
              json_t *body, json_t **out)
{
  const char *new_name = json_string_value (
      json_object_get (json_object_get (body, "metadata"), "name"));
  if (strcmp (method, "POST") == 0)
    {
      if (new_name == NULL)
        return 400;
      if (find_object (collection, new_name, store.count) != NULL)
        return 409;
      *out = add_change (collection, new_name, "ADDED", json_incref (body));
      return 201;
    }
  const change_t *existing = find_object (collection, name, store.count);
  if (existing == NULL)
    return 404;
  if (strcmp (method, "DELETE") == 0)
    {
      const char *expected_version = json_string_value (json_object_get (
          json_object_get (body, "preconditions"), "resourceVersion"));
      if (expected_version != NULL
          && strcmp (expected_version, resource_version (existing->object))
                 != 0)
        return 409;
      add_change (collection, name, "DELETED", NULL);
      *out = json_object ();
      return 200;
    }
  if (strcmp (resource_version (body), resource_version (existing->object))
      != 0)
    return 409;
  *out = add_change (collection, name, "MODIFIED", json_incref (body));
  return 200;
}

static void
handle_write (struct mg_connection *connection, const char *method,
              const char *collection, const char *name)
{
  size_t len;
  char *text = stand_in_body (connection, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  json_t *out = NULL;
  int status = 400;
  bool lost = false;
  pthread_mutex_lock (&store.lock);
  if (json_is_object (body))
    status = write_object (method, collection, name, body, &out);
  if (status < 300 && store.lose > 0)
    {
      store.lose--;
      lost = true;
    }
  out = out != NULL ? json_deep_copy (out) : make_failure (status);
  pthread_mutex_unlock (&store.lock);
  json_decref (body);
  free (text);
  if (lost)
    {
      /* Closes the connection without a response.  */
      mg_disable_connection_keep_alive (connection);
      json_decref (out);
      return;
    }
  stand_in_respond (connection, status, out, "");
}

static void
handle_read (struct mg_connection *connection, const char *collection,
             const char *name, const struct mg_request_info *info)
{
  int status = 200;
  json_t *out;
  pthread_mutex_lock (&store.lock);
  if (name[0] == '\0')
    out = list_objects (info, collection);
  else
    {
      const change_t *existing
          = find_object (collection, name, visible_changes ());
      status = existing == NULL ? 404 : 200;
      out = existing == NULL ? make_failure (404)
                             : json_incref (existing->object);
    }
  json_t *copy = json_deep_copy (out);
  json_decref (out);
  pthread_mutex_unlock (&store.lock);
  stand_in_respond (connection, status, copy, "");
}

static void
handle_control (struct mg_connection *connection,
                const struct mg_request_info *info)
{
  pthread_mutex_lock (&store.lock);
  store.down = stand_in_query (info, "down", store.down);
  store.slow_ms = stand_in_query (info, "slow_ms", store.slow_ms);
  store.lose = stand_in_query (info, "lose", store.lose);
  store.stale = stand_in_query (info, "stale", store.stale);
  store.rate = stand_in_query (info, "rate", store.rate);
  store.refilled = now_s ();
  json_t *out = json_pack ("{s:I, s:I}", "calls", (json_int_t)store.calls,
                           "writes", (json_int_t)store.writes);
  pthread_mutex_unlock (&store.lock);
  stand_in_respond (connection, 200, out, "");
}

/* Splits .../namespaces/NS/PLURAL[/NAME] into collection and name, which is
   empty for the collection itself.  */
static bool
split_path (const char *uri, char *collection, size_t size, const char **name)
{
  const char *namespaces = strstr (uri, "/namespaces/");
  if (namespaces == NULL)
    return false;
  const char *plural = strchr (namespaces + strlen ("/namespaces/"), '/');
  if (plural == NULL)
    return false;
  const char *slash = strchr (plural + 1, '/');
  size_t len = slash == NULL ? strlen (uri) : (size_t)(slash - uri);
  snprintf (collection, size, "%.*s", (int)len, uri);
  *name = slash == NULL ? "" : slash + 1;
  return true;
}

static int
handle (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *method = info->request_method;
  char collection[256];
  const char *name;
  if (strcmp (info->local_uri, "/control") == 0)
    {
      handle_control (connection, info);
      return 200;
    }
  pthread_mutex_lock (&store.lock);
  bool down = store.down != 0;
  long slow_ms = store.slow_ms;
  bool allowed = take_token ();
  store.calls++;
  pthread_mutex_unlock (&store.lock);
  stand_in_sleep_ms (slow_ms);
  if (down)
    mg_disable_connection_keep_alive (connection);
  else if (!split_path (info->local_uri, collection, sizeof collection, &name))
    stand_in_respond (connection, 404, make_failure (404), "");
  else if (!allowed)
    stand_in_respond (connection, 429, make_failure (429),
                      "Retry-After: 1\r\n");
  else if (strcmp (method, "GET") != 0)
    handle_write (connection, method, collection, name);
  else if (stand_in_query (info, "watch", 0) != 0)
    watch_objects (connection, info, collection);
  else
    handle_read (connection, collection, name, info);
  return 200;
}

int
main (int argc, char **argv)
{
  return stand_in_serve (argc > 1 ? argv[1] : "127.0.0.1:0", handle, NULL);
}
