/* The verb chats: generates load from chats of several turns and checks each
   answer.  */

#include "scenario.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/hash.h"

#define MAX_ADDRESSES 16
#define MAX_SAMPLES 20000

typedef struct
{
  char addresses[MAX_ADDRESSES][64];
  int address_count;
  const char *key;
  const char *model;
  const char *name;
  long count, chats, tokens, spread, stream, timeout_ms, pause_ms;
  atomic_long next_request;
  atomic_long whole;   /* complete and correct answers */
  atomic_long not_run; /* reported as not run, or connection refused */
  atomic_long failed;  /* error response or event, or a cut transfer */
  atomic_long wrong;   /* truncated, or of another chat, but without error */
  atomic_long ended_whole;   /* failed, but framed as a complete response */
  atomic_long retry_missing; /* 429 or 503 without Retry-After */
  atomic_long prompt_tokens, cached_tokens;
  double first_byte_ms[MAX_SAMPLES];
  atomic_long sample_count;
} load_t;

typedef struct
{
  cs_buf_t body;
  cs_time_us_t started;
  cs_time_us_t first_byte;
  bool retry_after;
} answer_t;

static size_t
receive_data (char *data, size_t size, size_t count, void *context)
{
  answer_t *answer = context;
  cs_str_t part = { data, size * count };
  if (answer->first_byte == 0)
    answer->first_byte = cs_clock_now ();
  return cs_buf_append (&answer->body, part) == 0 ? part.len : 0;
}

static size_t
receive_header (char *data, size_t size, size_t count, void *context)
{
  answer_t *answer = context;
  if (size * count > 12 && strncasecmp (data, "Retry-After:", 12) == 0)
    answer->retry_after = true;
  return size * count;
}

/* Length of the answer to a chat.  With spread=1 it differs between chats:
   answers of equal length would start and end in lockstep, which real ones
   do not.  */
static long
answer_tokens (const load_t *load, long chat)
{
  if (!load->spread)
    return load->tokens;
  return load->tokens / 2 + chat * 7919 % (load->tokens + 1);
}

/* Builds the request for turn TURN of a chat, with the earlier turns as
   context.  The caller frees the result.  */
static char *
make_body (const load_t *load, long chat, long turn)
{
  char text[128];
  json_t *messages = json_array ();
  snprintf (text, sizeof text, "%s-chat-%ld with a long opening text",
            load->name, chat);
  json_array_append_new (
      messages, json_pack ("{s:s, s:s}", "role", "user", "content", text));
  for (long i = 0; i < turn; i++)
    {
      snprintf (text, sizeof text, "answer %ld of the chat, as it was given",
                i);
      json_array_append_new (
          messages,
          json_pack ("{s:s, s:s}", "role", "assistant", "content", text));
      json_array_append_new (messages, json_pack ("{s:s, s:s}", "role", "user",
                                                  "content", "and then?"));
    }
  json_t *root = json_pack ("{s:s, s:b, s:I, s:o}", "model", load->model,
                            "stream", load->stream != 0, "max_tokens",
                            (json_int_t)answer_tokens (load, chat), "messages",
                            messages);
  char *body = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return body;
}

static void
expected_text (const load_t *load, long chat, cs_buf_t *out)
{
  char text[128];
  snprintf (text, sizeof text, "%s-chat-%ld with a long opening text",
            load->name, chat);
  unsigned long long tag = XXH64 (text, strlen (text), 0) & 0xffff;
  for (long i = 0; i < answer_tokens (load, chat); i++)
    cs_buf_printf (out, "%04llx-%ld ", tag, i);
}

/* Appends the text of a streamed answer to TEXT.  Returns whether the stream
   ended with [DONE]; sets *ERROR if it contains an error event.  */
static bool
read_streamed_answer (load_t *load, const cs_buf_t *body, cs_buf_t *text,
                      bool *error)
{
  bool done = false;
  char *copy = strdup (body->data == NULL ? "" : body->data);
  char *rest = NULL;
  for (char *line = strtok_r (copy, "\n", &rest); line != NULL;
       line = strtok_r (NULL, "\n", &rest))
    {
      if (strncmp (line, "event: error", 12) == 0)
        *error = true;
      if (strncmp (line, "data: ", 6) != 0)
        continue;
      if (strcmp (line + 6, "[DONE]") == 0)
        done = true;
      json_t *root = json_loads (line + 6, 0, NULL);
      const char *content = NULL;
      json_int_t prompt_tokens = 0, cached_tokens = 0;
      json_unpack (root, "{s:[{s:{s:s}}]}", "choices", "delta", "content",
                   &content);
      if (json_unpack (root, "{s:{s:I, s:{s:I}}}", "usage", "prompt_tokens",
                       &prompt_tokens, "prompt_tokens_details",
                       "cached_tokens", &cached_tokens)
          == 0)
        {
          atomic_fetch_add (&load->prompt_tokens, prompt_tokens);
          atomic_fetch_add (&load->cached_tokens, cached_tokens);
        }
      if (content != NULL)
        cs_buf_append (text, cs_str (content));
      json_decref (root);
    }
  free (copy);
  return done;
}

static bool
read_json_answer (load_t *load, const cs_buf_t *body, cs_buf_t *text)
{
  const char *content = NULL;
  json_int_t prompt_tokens = 0, cached_tokens = 0;
  json_t *root
      = json_loadb (body->data == NULL ? "" : body->data, body->len, 0, NULL);
  bool valid = json_unpack (root, "{s:[{s:{s:s}}]}", "choices", "message",
                            "content", &content)
               == 0;
  if (valid)
    cs_buf_append (text, cs_str (content));
  json_unpack (root, "{s:{s:I, s:{s:I}}}", "usage", "prompt_tokens",
               &prompt_tokens, "prompt_tokens_details", "cached_tokens",
               &cached_tokens);
  atomic_fetch_add (&load->prompt_tokens, prompt_tokens);
  atomic_fetch_add (&load->cached_tokens, cached_tokens);
  json_decref (root);
  return valid;
}

static void
classify_error (load_t *load, const answer_t *answer, long status)
{
  const char *body = answer->body.data == NULL ? "" : answer->body.data;
  if (strstr (body, "\"ran\":\"no\"") != NULL)
    {
      atomic_fetch_add (&load->not_run, 1);
      if (status == 429 || status == 503)
        atomic_fetch_add (&load->retry_missing, answer->retry_after ? 0 : 1);
      return;
    }
  if (strstr (body, "\"error\"") != NULL)
    atomic_fetch_add (&load->failed, 1);
  else
    atomic_fetch_add (&load->wrong, 1);
}

static void
classify_answer (load_t *load, const answer_t *answer, CURLcode code,
                 long status, long chat)
{
  cs_buf_t text = { 0 };
  cs_buf_t expected = { 0 };
  bool error = false;
  bool done = false;
  if (status == 0)
    {
      /* Connection refused, or closed before the first byte.  */
      if (code == CURLE_COULDNT_CONNECT)
        atomic_fetch_add (&load->not_run, 1);
      else
        atomic_fetch_add (&load->failed, 1);
      return;
    }
  if (status != 200)
    {
      classify_error (load, answer, status);
      return;
    }
  if (load->stream)
    done = read_streamed_answer (load, &answer->body, &text, &error);
  else
    done = read_json_answer (load, &answer->body, &text);
  expected_text (load, chat, &expected);
  bool same = cs_str_equal (cs_buf_str (&text), cs_buf_str (&expected));
  /* curl reports a cut transfer, so the caller can see that it failed.  */
  if (error || code != CURLE_OK)
    {
      atomic_fetch_add (&load->failed, 1);
      atomic_fetch_add (&load->ended_whole, code == CURLE_OK);
    }
  else if (done && same)
    atomic_fetch_add (&load->whole, 1);
  else
    {
      atomic_fetch_add (&load->wrong, 1);
      printf ("wrong answer: %.300s\n",
              answer->body.data == NULL ? "" : answer->body.data);
    }
  cs_buf_free (&text);
  cs_buf_free (&expected);
}

static void
run_request (load_t *load, CURL *handle, long number, cs_random_t *random)
{
  char url[256], authorization[256];
  answer_t answer = { 0 };
  long status = 0;
  long chat = number % load->chats;
  char *body = make_body (load, chat, number / load->chats);
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  unsigned index = (unsigned)(cs_random_unit (random) * load->address_count);
  snprintf (url, sizeof url, "http://%s/v1/chat/completions",
            load->addresses[index]);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            load->key);
  headers = curl_slist_append (headers, authorization);
  curl_easy_reset (handle);
  curl_easy_setopt (handle, CURLOPT_URL, url);
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, load->timeout_ms);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, receive_data);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, &answer);
  answer.started = cs_clock_now ();
  CURLcode code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  classify_answer (load, &answer, code, status, chat);
  long sample = atomic_fetch_add (&load->sample_count, 1);
  if (answer.first_byte != 0 && sample < MAX_SAMPLES)
    load->first_byte_ms[sample]
        = (double)(answer.first_byte - answer.started) / 1000.0;
  curl_slist_free_all (headers);
  cs_buf_free (&answer.body);
  free (body);
}

static void *
run_thread (void *argument)
{
  load_t *load = argument;
  long number;
  CURL *handle = curl_easy_init ();
  cs_random_t random = { .seed = (uint64_t)(uintptr_t)handle };
  while ((number = atomic_fetch_add (&load->next_request, 1)) < load->count)
    {
      run_request (load, handle, number, &random);
      if (load->pause_ms > 0)
        {
          struct timespec pause
              = { load->pause_ms / 1000, load->pause_ms % 1000 * 1000000L };
          nanosleep (&pause, NULL);
        }
    }
  curl_easy_cleanup (handle);
  return NULL;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static void
set_number (scenario_t *scenario, const char *id, const char *field,
            double value)
{
  char name[128], text[64];
  snprintf (name, sizeof name, "%s.%s", id, field);
  snprintf (text, sizeof text, "%.6g", value);
  scenario_set (scenario, name, text);
}

static void
set_results (scenario_t *scenario, const char *id, load_t *load,
             double seconds)
{
  long sample_total
      = load->sample_count < MAX_SAMPLES ? load->sample_count : MAX_SAMPLES;
  qsort (load->first_byte_ms, (size_t)sample_total,
         sizeof load->first_byte_ms[0], compare_doubles);
  set_number (scenario, id, "whole", (double)load->whole);
  set_number (scenario, id, "not-run", (double)load->not_run);
  set_number (scenario, id, "failed", (double)load->failed);
  set_number (scenario, id, "wrong", (double)load->wrong);
  set_number (scenario, id, "ended-whole", (double)load->ended_whole);
  set_number (scenario, id, "retry-missing", (double)load->retry_missing);
  set_number (scenario, id, "cached-percent",
              load->prompt_tokens == 0
                  ? 0
                  : 100.0 * load->cached_tokens / load->prompt_tokens);
  set_number (scenario, id, "seconds", seconds);
  set_number (scenario, id, "median-ms",
              sample_total == 0 ? 0 : load->first_byte_ms[sample_total / 2]);
  set_number (
      scenario, id, "p95-ms",
      sample_total == 0 ? 0 : load->first_byte_ms[sample_total * 95 / 100]);
}

/* chats ID to=ADDRESS,... [key=] [model=] [count=] [chats=] [threads=]
   [tokens=] [spread=] [stream=] [timeout=MS] [pause=MS] [name=]: sends COUNT
   requests from THREADS threads, each to a random address.  Sets $ID.whole,
   .not-run, .failed, .wrong, .ended-whole, .retry-missing, .cached-percent,
   .seconds, .median-ms and .p95-ms.  */
void
verb_chats (scenario_t *scenario, const words_t *words)
{
  pthread_t threads[512];
  load_t *load = calloc (1, sizeof *load);
  long thread_count = words_number (words, "threads", 8);
  char *to = strdup (words_option (words, "to", ""));
  char *rest = NULL;
  for (char *address = strtok_r (to, ",", &rest);
       address != NULL && load->address_count < MAX_ADDRESSES;
       address = strtok_r (NULL, ",", &rest))
    snprintf (load->addresses[load->address_count++], 64, "%s", address);
  load->key = words_option (words, "key", "key1");
  load->model = words_option (words, "model", "m1");
  load->name = words_option (words, "name", words->words[0]);
  load->count = words_number (words, "count", 100);
  load->chats = words_number (words, "chats", load->count);
  load->tokens = words_number (words, "tokens", 8);
  load->spread = words_number (words, "spread", 0);
  load->stream = words_number (words, "stream", 0);
  load->pause_ms = words_number (words, "pause", 0);
  load->timeout_ms = words_number (words, "timeout", 60000);
  cs_time_us_t started = cs_clock_now ();
  for (long i = 0; i < thread_count && i < 512; i++)
    pthread_create (&threads[i], NULL, run_thread, load);
  for (long i = 0; i < thread_count && i < 512; i++)
    pthread_join (threads[i], NULL);
  set_results (scenario, words->words[0], load,
               (double)(cs_clock_now () - started) / 1e6);
  free (to);
  free (load);
}
