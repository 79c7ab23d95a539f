/* Stand-in for a model engine or a plain service.

   Usage: stand-in-target engine|service NAME [LISTEN]

   POST /control?KEY=VALUE injects faults:
     refuse=N      the next N calls get 429 and do not run
     cut=N         the next N responses of an engine are cut in the middle; a
                   service runs the call and closes the connection without a
                   response
     cut_head=N    the next N calls run, but the connection is closed without a
                   response
     hang_reused=1 calls on reused connections hang until it is set to 0
     late_ms=MS    delay before a call is handled
     swap=N        the next N responses carry the id of another call, and those
                   of an engine also its text
     short=N       the next N streams stop in the middle, with a proper end of
                   the chunked body
     fail=N        the next N calls of a service get 500 after they ran
     leave=1       the instance reports that it is leaving
     restart=1     new instance id and an empty cache
   and sets token_ms (time per token, or per call of a service), slots (not
   enforced), cache_tokens and checks_fencing (0: orders with an old fencing
   number are accepted).
   GET /counts returns how often each call ran, by idempotency key or request
   id.  */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <unistd.h>

#include <xxhash.h>

#include "server.h"

#define CACHE_ENTRIES 4096

typedef struct
{
  unsigned long long key;
  long tokens;
  unsigned long last_used;
} cache_entry_t;

static struct
{
  pthread_mutex_t lock;
  char name[64];
  char instance[96];
  long generation;
  bool service;
  long refuse, cut, cut_head, hang_reused, late_ms, swap, leave, fail,
      truncate_stream;
  long token_ms, slots, cache_tokens, checks_fencing;
  long running, waiting, max_running;
  long fencing;
  char version[64];
  cache_entry_t cache[CACHE_ENTRIES];
  unsigned long cache_clock;
  json_t *counts;
} self = { .lock = PTHREAD_MUTEX_INITIALIZER,
           .token_ms = 2,
           .slots = 64,
           .cache_tokens = 10000000,
           .checks_fencing = 1 };

static bool
consume_fault (long *fault)
{
  pthread_mutex_lock (&self.lock);
  bool consumed = *fault > 0;
  if (consumed)
    (*fault)--;
  pthread_mutex_unlock (&self.lock);
  return consumed;
}

static void
set_instance (void)
{
  snprintf (self.instance, sizeof self.instance, "%s-%d-%ld", self.name,
            (int)getpid (), self.generation);
}

static void
count_run (const char *key)
{
  pthread_mutex_lock (&self.lock);
  json_int_t runs = json_integer_value (json_object_get (self.counts, key));
  json_object_set_new (self.counts, key, json_integer (runs + 1));
  pthread_mutex_unlock (&self.lock);
}

/* Caches a prompt of TOKENS tokens under KEY, evicting the least recently used
   entry if necessary.  Returns how many of the tokens were already cached.
   Call with the lock held.  */
static long
update_cache (unsigned long long key, long tokens)
{
  cache_entry_t *entry = NULL;
  cache_entry_t *oldest = &self.cache[0];
  long total = 0;
  for (size_t i = 0; i < CACHE_ENTRIES; i++)
    {
      total += self.cache[i].tokens;
      if (self.cache[i].tokens > 0 && self.cache[i].key == key)
        entry = &self.cache[i];
      if (self.cache[i].last_used < oldest->last_used)
        oldest = &self.cache[i];
    }
  long found = entry == NULL ? 0 : entry->tokens;
  if (entry == NULL)
    entry = oldest;
  entry->key = key;
  entry->tokens = tokens;
  entry->last_used = ++self.cache_clock;
  if (total > self.cache_tokens)
    oldest->tokens = 0;
  return found < tokens ? found : tokens;
}

static void
send_load (struct mg_connection *connection)
{
  pthread_mutex_lock (&self.lock);
  json_t *out = json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:s, s:I}", "instance", self.instance,
      "state", self.leave ? "leaving" : "live", "running",
      (json_int_t)self.running, "waiting", (json_int_t)self.waiting,
      "most_running", (json_int_t)self.max_running, "version", self.version,
      "fencing", (json_int_t)self.fencing);
  pthread_mutex_unlock (&self.lock);
  stand_in_respond (connection, 200, out, "");
}

static void
handle_load_version (struct mg_connection *connection)
{
  size_t len;
  const char *version = "";
  json_int_t fencing = 0;
  int status = 200;
  char *text = stand_in_body (connection, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  json_unpack (body, "{s:s, s:I}", "version", &version, "fencing", &fencing);
  pthread_mutex_lock (&self.lock);
  if (self.checks_fencing && fencing < self.fencing)
    status = 409;
  else
    {
      self.fencing = fencing;
      snprintf (self.version, sizeof self.version, "%s", version);
    }
  pthread_mutex_unlock (&self.lock);
  json_decref (body);
  free (text);
  stand_in_respond (connection, status, json_object (),
                    "X-Request-Id: order\r\n");
}

static void
handle_control (struct mg_connection *connection,
                const struct mg_request_info *info)
{
  pthread_mutex_lock (&self.lock);
  self.refuse = stand_in_query (info, "refuse", self.refuse);
  self.cut = stand_in_query (info, "cut", self.cut);
  self.cut_head = stand_in_query (info, "cut_head", self.cut_head);
  self.hang_reused = stand_in_query (info, "hang_reused", self.hang_reused);
  self.late_ms = stand_in_query (info, "late_ms", self.late_ms);
  self.swap = stand_in_query (info, "swap", self.swap);
  self.truncate_stream = stand_in_query (info, "short", self.truncate_stream);
  self.leave = stand_in_query (info, "leave", self.leave);
  self.fail = stand_in_query (info, "fail", self.fail);
  self.token_ms = stand_in_query (info, "token_ms", self.token_ms);
  self.slots = stand_in_query (info, "slots", self.slots);
  self.cache_tokens = stand_in_query (info, "cache_tokens", self.cache_tokens);
  self.checks_fencing
      = stand_in_query (info, "checks_fencing", self.checks_fencing);
  if (stand_in_query (info, "restart", 0) != 0)
    {
      self.generation++;
      self.leave = 0;
      memset (self.cache, 0, sizeof self.cache);
      set_instance ();
    }
  pthread_mutex_unlock (&self.lock);
  stand_in_respond (connection, 200, json_object (), "");
}

static void
send_counts (struct mg_connection *connection)
{
  pthread_mutex_lock (&self.lock);
  json_t *out = json_deep_copy (self.counts);
  pthread_mutex_unlock (&self.lock);
  stand_in_respond (connection, 200, out, "");
}

static void
refuse_call (struct mg_connection *connection, const char *id)
{
  char headers[256];
  snprintf (headers, sizeof headers, "X-Request-Id: %s\r\nRetry-After: 1\r\n",
            id);
  stand_in_respond (connection, 429, json_object (), headers);
}

/* A request for a completion.  */
typedef struct
{
  char id[128];
  json_t *root;
  bool chat;
  bool stream;
  char tag[32];     /* prefix of all tokens of this chat's answer */
  long first_token; /* above 0 when an earlier attempt is resumed */
  long tokens;      /* length of the answer, including resumed tokens */
  long prompt_tokens;
  long cached_tokens;
} model_call_t;

/* Returns the text of the first user message, which identifies the chat.  */
static const char *
first_user_text (const json_t *root)
{
  const json_t *messages = json_object_get (root, "messages");
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      const json_t *message = json_array_get (messages, i);
      const char *role = json_string_value (json_object_get (message, "role"));
      const char *content
          = json_string_value (json_object_get (message, "content"));
      if (role != NULL && strcmp (role, "user") == 0 && content != NULL)
        return content;
    }
  return "";
}

/* Number of tokens in the final message if it is to be continued, else 0.  */
static long
continued_tokens (const json_t *root)
{
  const json_t *messages = json_object_get (root, "messages");
  const json_t *last
      = json_array_get (messages, json_array_size (messages) - 1);
  const char *text = json_string_value (json_object_get (last, "content"));
  long count = 0;
  if (!json_is_true (json_object_get (root, "continue_final_message")))
    return 0;
  for (; text != NULL && *text != '\0'; text++)
    if (*text == ' ')
      count++;
  return count;
}

static void
read_call (struct mg_connection *connection, model_call_t *call, char *body,
           size_t len)
{
  const char *id = mg_get_header (connection, "X-Request-Id");
  const char *after = mg_get_header (connection, "Last-Event-ID");
  snprintf (call->id, sizeof call->id, "%s", id == NULL ? "" : id);
  call->root = json_loadb (body, len, 0, NULL);
  call->stream = json_is_true (json_object_get (call->root, "stream"));
  const char *text = first_user_text (call->root);
  unsigned long long key = XXH64 (text, strlen (text), 0);
  snprintf (call->tag, sizeof call->tag, "%04llx", key & 0xffff);
  long limit
      = (long)json_integer_value (json_object_get (call->root, "max_tokens"));
  long continued = continued_tokens (call->root);
  call->tokens = continued + (limit > 0 ? limit : 8);
  call->first_token = after != NULL ? strtol (after, NULL, 10) + 1 : continued;
  call->prompt_tokens = (long)len / 4;
  pthread_mutex_lock (&self.lock);
  call->cached_tokens = update_cache (key, call->prompt_tokens);
  pthread_mutex_unlock (&self.lock);
}

static json_t *
make_usage (const model_call_t *call)
{
  return json_pack ("{s:I, s:I, s:{s:I}}", "prompt_tokens",
                    (json_int_t)call->prompt_tokens, "completion_tokens",
                    (json_int_t)call->tokens, "prompt_tokens_details",
                    "cached_tokens", (json_int_t)call->cached_tokens);
}

static bool
send_chunk (struct mg_connection *connection, const char *text)
{
  return mg_send_chunk (connection, text, (unsigned int)strlen (text)) > 0;
}

static bool
send_token (struct mg_connection *connection, const model_call_t *call, long i)
{
  char text[512];
  snprintf (
      text, sizeof text,
      "id: %ld\ndata: {\"id\":\"x\",\"object\":\"chat.completion."
      "chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%ld "
      "\"}}]}\n\n",
      i, call->tag, i);
  return send_chunk (connection, text);
}

static void
send_stream_end (struct mg_connection *connection, const model_call_t *call)
{
  char text[1024];
  json_t *usage = make_usage (call);
  char *usage_text = json_dumps (usage, JSON_COMPACT);
  snprintf (text, sizeof text,
            "data: {\"id\":\"x\",\"object\":\"chat.completion.chunk\","
            "\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":"
            "\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
            usage_text);
  send_chunk (connection, text);
  mg_send_chunk (connection, "", 0);
  free (usage_text);
  json_decref (usage);
}

/* Returns the request id to respond with.  The swap fault replaces it, and the
   tag of the answer's tokens.  */
static const char *
select_response_id (model_call_t *call)
{
  if (!consume_fault (&self.swap))
    return call->id;
  snprintf (call->tag, sizeof call->tag, "other");
  return "of-another-call";
}

static void
send_head (struct mg_connection *connection, const char *id, const char *type,
           const char *extra_headers)
{
  pthread_mutex_lock (&self.lock);
  long running = self.running;
  pthread_mutex_unlock (&self.lock);
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Request-Id: %s\r\n"
             "endpoint-load-metrics: JSON {\"named_metrics\":{\"running\":%ld"
             "}}\r\n%s\r\n",
             type, id, running, extra_headers);
}

static void
respond_stream (struct mg_connection *connection, model_call_t *call)
{
  bool cut = consume_fault (&self.cut);
  bool truncate_stream = consume_fault (&self.truncate_stream);
  send_head (connection, select_response_id (call), "text/event-stream",
             "Transfer-Encoding: chunked\r\n");
  for (long i = call->first_token; i < call->tokens; i++)
    {
      stand_in_sleep_ms (self.token_ms);
      if (cut
          && i >= call->first_token + (call->tokens - call->first_token) / 2)
        {
          mg_disable_connection_keep_alive (connection);
          return;
        }
      if (truncate_stream
          && i >= call->first_token + (call->tokens - call->first_token) / 2)
        {
          mg_send_chunk (connection, "", 0);
          return;
        }
      if (!send_token (connection, call, i))
        {
          count_run ("cancelled");
          return;
        }
    }
  send_stream_end (connection, call);
}

static void
respond_json (struct mg_connection *connection, model_call_t *call)
{
  const char *id = select_response_id (call);
  char extra_headers[64];
  char token[64];
  json_t *content = json_string ("");
  char *text = calloc (1, (size_t)call->tokens * 32 + 1);
  for (long i = 0; i < call->tokens; i++)
    {
      snprintf (token, sizeof token, "%s-%ld ", call->tag, i);
      strcat (text, token);
    }
  stand_in_sleep_ms (self.token_ms * call->tokens);
  json_string_set (content, text);
  json_t *root = json_pack (
      "{s:s, s:s, s:[{s:i, s:{s:s, s:o}, s:s}], s:o}", "id", "x", "object",
      "chat.completion", "choices", "index", 0, "message", "role", "assistant",
      "content", content, "finish_reason", "stop", "usage", make_usage (call));
  char *body = json_dumps (root, JSON_COMPACT);
  size_t len = strlen (body);
  snprintf (extra_headers, sizeof extra_headers, "Content-Length: %zu\r\n",
            len);
  send_head (connection, id, "application/json", extra_headers);
  if (consume_fault (&self.cut))
    {
      len /= 2;
      mg_disable_connection_keep_alive (connection);
    }
  mg_write (connection, body, len);
  free (body);
  free (text);
  json_decref (root);
}

static void
begin_running (void)
{
  pthread_mutex_lock (&self.lock);
  self.running++;
  if (self.running > self.max_running)
    self.max_running = self.running;
  pthread_mutex_unlock (&self.lock);
}

static void
end_running (void)
{
  pthread_mutex_lock (&self.lock);
  self.running--;
  pthread_mutex_unlock (&self.lock);
}

static void
respond_model (struct mg_connection *connection, const char *body, size_t len)
{
  model_call_t call = { 0 };
  read_call (connection, &call, (char *)body, len);
  count_run (call.id);
  if (call.stream)
    respond_stream (connection, &call);
  else
    respond_json (connection, &call);
  json_decref (call.root);
}

static void
respond_service (struct mg_connection *connection, const char *id)
{
  char headers[256];
  const char *key = mg_get_header (connection, "Idempotency-Key");
  count_run (key != NULL ? key : id);
  snprintf (headers, sizeof headers, "X-Request-Id: %s\r\n",
            consume_fault (&self.swap) ? "of-another-call" : id);
  stand_in_sleep_ms (self.token_ms);
  if (consume_fault (&self.cut))
    {
      mg_disable_connection_keep_alive (connection);
      return;
    }
  pthread_mutex_lock (&self.lock);
  json_t *out = json_pack ("{s:s, s:s}", "service", self.name, "confirmed",
                           key != NULL ? key : id);
  pthread_mutex_unlock (&self.lock);
  stand_in_respond (connection, consume_fault (&self.fail) ? 500 : 200, out,
                    headers);
}

/* Returns whether the connection has served a call before.  */
static bool
is_reused (struct mg_connection *connection)
{
  static char mark;
  bool reused = mg_get_user_connection_data (connection) != NULL;
  mg_set_user_connection_data (connection, &mark);
  return reused;
}

static void
serve_call (struct mg_connection *connection)
{
  size_t len;
  const char *id = mg_get_header (connection, "X-Request-Id");
  char *body = stand_in_body (connection, &len);
  if (is_reused (connection))
    while (self.hang_reused)
      stand_in_sleep_ms (50);
  stand_in_sleep_ms (self.late_ms);
  if (consume_fault (&self.refuse))
    refuse_call (connection, id == NULL ? "" : id);
  else if (consume_fault (&self.cut_head))
    {
      count_run (id == NULL ? "" : id);
      mg_disable_connection_keep_alive (connection);
    }
  else
    {
      begin_running ();
      if (self.service)
        respond_service (connection, id == NULL ? "" : id);
      else
        respond_model (connection, body, len);
      end_running ();
    }
  free (body);
}

static int
handle (struct mg_connection *connection, void *context)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  if (strcmp (info->local_uri, "/load") == 0)
    send_load (connection);
  else if (strcmp (info->local_uri, "/control") == 0)
    handle_control (connection, info);
  else if (strcmp (info->local_uri, "/counts") == 0)
    send_counts (connection);
  else if (strcmp (info->local_uri, "/v1/models/load") == 0)
    handle_load_version (connection);
  else
    serve_call (connection);
  return 200;
}

int
main (int argc, char **argv)
{
  if (argc < 3)
    {
      fprintf (stderr,
               "usage: stand-in-target engine|service NAME [LISTEN]\n");
      return 2;
    }
  self.service = strcmp (argv[1], "service") == 0;
  snprintf (self.name, sizeof self.name, "%s", argv[2]);
  self.counts = json_object ();
  set_instance ();
  return stand_in_serve (argc > 3 ? argv[3] : "127.0.0.1:0", handle, NULL);
}
