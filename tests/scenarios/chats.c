/* The verb chats: many chats that return, each answer checked.  */

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

#define ADDRESSES_MAX 16
#define TIMES_MAX 20000

typedef struct
{
  char addresses[ADDRESSES_MAX][64];
  int address_count;
  const char *key;
  const char *model;
  const char *name;
  long count, chats, tokens, spread, stream, timeout_ms, pause_ms;
  atomic_long next;
  atomic_long whole;   /* the whole answer of the chat that asked */
  atomic_long not_run; /* told so, or no connection */
  atomic_long failed;  /* told that it failed */
  atomic_long wrong;   /* part of an answer as a whole one, or another's */
  atomic_long retry_missing; /* "come back later" without saying when */
  atomic_long prompt, cached;
  double first_ms[TIMES_MAX];
  atomic_long time_count;
} load_t;

typedef struct
{
  cs_buf_t body;
  cs_time_us_t begun;
  cs_time_us_t first;
  bool retry_after;
} answer_t;

static size_t
take_data (char *data, size_t size, size_t count, void *context)
{
  answer_t *answer = context;
  cs_str_t part = { data, size * count };
  if (answer->first == 0)
    answer->first = cs_clock_now ();
  return cs_buf_append (&answer->body, part) == 0 ? part.len : 0;
}

static size_t
take_header (char *data, size_t size, size_t count, void *context)
{
  answer_t *answer = context;
  if (size * count > 12 && strncasecmp (data, "Retry-After:", 12) == 0)
    answer->retry_after = true;
  return size * count;
}

/* Length of the answer to a chat.  Answers of one length would begin and end
   in step, as no real ones do; spread=1 makes them differ.  */
static long
answer_tokens (const load_t *load, long chat)
{
  if (!load->spread)
    return load->tokens;
  return load->tokens / 2 + chat * 7919 % (load->tokens + 1);
}

/* The request of turn TURN of a chat: its earlier turns stand before it.  */
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

/* Collects the text of a streamed answer.  Returns whether it has its proper
   end; *ERROR tells of an error event.  */
static bool
read_stream (load_t *load, const cs_buf_t *body, cs_buf_t *text, bool *error)
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
      json_int_t prompt = 0, cached = 0;
      json_unpack (root, "{s:[{s:{s:s}}]}", "choices", "delta", "content",
                   &content);
      if (json_unpack (root, "{s:{s:I, s:{s:I}}}", "usage", "prompt_tokens",
                       &prompt, "prompt_tokens_details", "cached_tokens",
                       &cached)
          == 0)
        {
          atomic_fetch_add (&load->prompt, prompt);
          atomic_fetch_add (&load->cached, cached);
        }
      if (content != NULL)
        cs_buf_append (text, cs_str (content));
      json_decref (root);
    }
  free (copy);
  return done;
}

static bool
read_plain (load_t *load, const cs_buf_t *body, cs_buf_t *text)
{
  const char *content = NULL;
  json_int_t prompt = 0, cached = 0;
  json_t *root
      = json_loadb (body->data == NULL ? "" : body->data, body->len, 0, NULL);
  bool good = json_unpack (root, "{s:[{s:{s:s}}]}", "choices", "message",
                           "content", &content)
              == 0;
  if (good)
    cs_buf_append (text, cs_str (content));
  json_unpack (root, "{s:{s:I, s:{s:I}}}", "usage", "prompt_tokens", &prompt,
               "prompt_tokens_details", "cached_tokens", &cached);
  atomic_fetch_add (&load->prompt, prompt);
  atomic_fetch_add (&load->cached, cached);
  json_decref (root);
  return good;
}

static void
judge_error (load_t *load, const answer_t *answer, long status)
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
judge (load_t *load, const answer_t *answer, CURLcode code, long status,
       long chat)
{
  cs_buf_t text = { 0 };
  cs_buf_t expected = { 0 };
  bool error = false;
  bool done = false;
  if (status == 0)
    {
      /* Refused, or gone before any byte of an answer.  */
      if (code == CURLE_COULDNT_CONNECT)
        atomic_fetch_add (&load->not_run, 1);
      else
        atomic_fetch_add (&load->failed, 1);
      return;
    }
  if (status != 200)
    {
      judge_error (load, answer, status);
      return;
    }
  if (load->stream)
    done = read_stream (load, &answer->body, &text, &error);
  else
    done = read_plain (load, &answer->body, &text);
  expected_text (load, chat, &expected);
  bool same = cs_str_equal (cs_buf_str (&text), cs_buf_str (&expected));
  /* A transfer that curl reports as cut is no whole answer to the caller.  */
  if (error || code != CURLE_OK)
    atomic_fetch_add (&load->failed, 1);
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
run_one (load_t *load, CURL *handle, long number, cs_random_t *random)
{
  char url[256], authorization[256];
  answer_t answer = { 0 };
  long status = 0;
  long chat = number % load->chats;
  char *body = make_body (load, chat, number / load->chats);
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  unsigned at = (unsigned)(cs_random_unit (random) * load->address_count);
  snprintf (url, sizeof url, "http://%s/v1/chat/completions",
            load->addresses[at]);
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
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, take_data);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, &answer);
  answer.begun = cs_clock_now ();
  CURLcode code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  judge (load, &answer, code, status, chat);
  long slot = atomic_fetch_add (&load->time_count, 1);
  if (answer.first != 0 && slot < TIMES_MAX)
    load->first_ms[slot] = (double)(answer.first - answer.begun) / 1000.0;
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
  while ((number = atomic_fetch_add (&load->next, 1)) < load->count)
    {
      run_one (load, handle, number, &random);
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
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static void
set_number (scenario_t *scenario, const char *id, const char *part,
            double value)
{
  char name[128], text[64];
  snprintf (name, sizeof name, "%s.%s", id, part);
  snprintf (text, sizeof text, "%.6g", value);
  scenario_set (scenario, name, text);
}

static void
report (scenario_t *scenario, const char *id, load_t *load, double seconds)
{
  long times = load->time_count < TIMES_MAX ? load->time_count : TIMES_MAX;
  qsort (load->first_ms, (size_t)times, sizeof load->first_ms[0], compare);
  set_number (scenario, id, "whole", (double)load->whole);
  set_number (scenario, id, "not-run", (double)load->not_run);
  set_number (scenario, id, "failed", (double)load->failed);
  set_number (scenario, id, "wrong", (double)load->wrong);
  set_number (scenario, id, "retry-missing", (double)load->retry_missing);
  set_number (scenario, id, "cached-percent",
              load->prompt == 0 ? 0 : 100.0 * load->cached / load->prompt);
  set_number (scenario, id, "seconds", seconds);
  set_number (scenario, id, "median-ms",
              times == 0 ? 0 : load->first_ms[times / 2]);
  set_number (scenario, id, "p95-ms",
              times == 0 ? 0 : load->first_ms[times * 95 / 100]);
}

/* chats ID to=ADDRESS,... key= model= count= chats= threads= tokens= stream=
   timeout= pause=: sets $ID.whole, .not-run, .failed, .wrong and so on.  */
void
verb_chats (scenario_t *scenario, const words_t *words)
{
  pthread_t threads[512];
  load_t *load = calloc (1, sizeof *load);
  long thread_count = words_number (words, "threads", 8);
  char *to = strdup (words_option (words, "to", ""));
  char *rest = NULL;
  for (char *one = strtok_r (to, ",", &rest);
       one != NULL && load->address_count < ADDRESSES_MAX;
       one = strtok_r (NULL, ",", &rest))
    snprintf (load->addresses[load->address_count++], 64, "%s", one);
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
  cs_time_us_t begun = cs_clock_now ();
  for (long i = 0; i < thread_count && i < 512; i++)
    pthread_create (&threads[i], NULL, run_thread, load);
  for (long i = 0; i < thread_count && i < 512; i++)
    pthread_join (threads[i], NULL);
  report (scenario, words->words[0], load,
          (double)(cs_clock_now () - begun) / 1e6);
  free (to);
  free (load);
}
