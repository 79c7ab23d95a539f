/* Verbs that send requests and check the responses.  */

#include "scenario.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <regex.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>

#include "common/clock.h"

static size_t
append_data (char *data, size_t size, size_t count, void *context)
{
  cs_str_t part = { data, size * count };
  return cs_buf_append (context, part) == 0 ? part.len : 0;
}

int
http_run (const http_request_t *request, cs_buf_t *headers, cs_buf_t *body,
          bool *complete)
{
  long status = 0;
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  CURL *handle = curl_easy_init ();
  for (int i = 0; request->headers[i] != NULL; i++)
    list = curl_slist_append (list, request->headers[i]);
  curl_easy_setopt (handle, CURLOPT_URL, request->url);
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, request->timeout_ms);
  if (request->body != NULL)
    curl_easy_setopt (handle, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (handle, CURLOPT_HEADERFUNCTION, append_data);
  curl_easy_setopt (handle, CURLOPT_HEADERDATA, headers);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, append_data);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, body);
  *complete = curl_easy_perform (handle) == CURLE_OK;
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (handle);
  curl_slist_free_all (list);
  return (int)status;
}

static void
set_result (scenario_t *scenario, const char *id, const char *field,
            const char *value)
{
  char name[128];
  snprintf (name, sizeof name, "%s.%s", id, field);
  scenario_set (scenario, name, value == NULL ? "" : value);
}

/* Replaces values that differ between runs, such as ids, ports and times, so
   that transcripts can be compared with golden files.  */
static void
normalise (cs_buf_t *text)
{
  static const char *const patterns[][2]
      = { { "req-[0-9a-f]{24}", "REQUEST-ID" },
          { "127\\.0\\.0\\.1:[0-9]+", "ADDRESS" },
          { "Retry-After: [0-9]+", "Retry-After: SECONDS" },
          { "\"retry_after\":[1-9][0-9]*", "\"retry_after\":SECONDS" },
          { "Date: [^\r\n]*", "Date: DATE" },
          { "operation=op-[0-9a-f]+", "operation=OPERATION" },
          { "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]+Z", "TIME" } };
  for (size_t i = 0; i < sizeof patterns / sizeof patterns[0]; i++)
    {
      regex_t regex;
      regmatch_t match;
      cs_buf_t out = { 0 };
      const char *cursor = text->data == NULL ? "" : text->data;
      regcomp (&regex, patterns[i][0], REG_EXTENDED);
      cs_buf_append (&out, cs_str (""));
      while (regexec (&regex, cursor, 1, &match, 0) == 0)
        {
          cs_str_t before = { cursor, (size_t)match.rm_so };
          cs_buf_append (&out, before);
          cs_buf_append (&out, cs_str (patterns[i][1]));
          cursor += match.rm_eo;
        }
      cs_buf_append (&out, cs_str (cursor));
      regfree (&regex);
      cs_buf_free (text);
      *text = out;
    }
}

static void
record_exchange (scenario_t *scenario, const http_request_t *request,
                 const cs_buf_t *headers, const cs_buf_t *body)
{
  cs_buf_t text = { 0 };
  const char *path = strstr (request->url, "://") + 3;
  cs_buf_printf (&text, "> %s %s\n", request->method, strchr (path, '/'));
  if (request->body != NULL)
    cs_buf_printf (&text, "> %.200s\n", request->body);
  cs_buf_printf (&text, "%s%s\n\n", headers->len == 0 ? "" : headers->data,
                 body->len == 0 ? "" : body->data);
  normalise (&text);
  scenario_lock ();
  for (size_t i = 0; i < text.len; i++)
    if (text.data[i] != '\r')
      {
        cs_str_t character = { &text.data[i], 1 };
        cs_buf_append (&scenario->transcript, character);
      }
  scenario_unlock ();
  cs_buf_free (&text);
}

/* request ID ADDRESS PATH [method=] [key=] [body=] [header="N: v"]...
   [body_bytes=N] [timeout=MS] [record=1]: sends a request and sets $ID.status,
   .body, .headers, .whole and .ms.  record=1 adds the exchange to the
   transcript.  */
void
verb_request (scenario_t *scenario, const words_t *words)
{
  char url[1024], authorization[256], text[32];
  char *extra[8] = { NULL };
  int count = 0;
  int extra_count = 0;
  bool complete;
  cs_buf_t headers = { 0 };
  cs_buf_t body = { 0 };
  cs_buf_t generated_body = { 0 };
  const char *key = words_option (words, "key", NULL);
  http_request_t request = { 0 };
  long bytes = words_number (words, "body_bytes", 0);
  snprintf (url, sizeof url, "http://%s%s", words->words[1], words->words[2]);
  request.url = url;
  request.body = words_option (words, "body", NULL);
  if (bytes > 0)
    {
      cs_buf_printf (&generated_body,
                     "{\"model\":\"m1\",\"messages\":[{\"role\":"
                     "\"user\",\"content\":\"");
      while ((long)generated_body.len < bytes)
        cs_buf_append (&generated_body, cs_str ("certificate "));
      cs_buf_append (&generated_body, cs_str ("\"}]}"));
      request.body = generated_body.data;
    }
  request.method
      = words_option (words, "method", request.body == NULL ? "GET" : "POST");
  request.timeout_ms = words_number (words, "timeout", 20000);
  if (key != NULL)
    {
      snprintf (authorization, sizeof authorization,
                "Authorization: Bearer %s", key);
      request.headers[count++] = authorization;
    }
  for (int i = 3; i < words->count && extra_count < 8; i++)
    if (strncmp (words->words[i], "header=\"", 8) == 0)
      {
        extra[extra_count] = strdup (words->words[i] + 8);
        extra[extra_count][strcspn (extra[extra_count], "\"")] = '\0';
        request.headers[count++] = extra[extra_count++];
      }
  cs_time_us_t started = cs_clock_now ();
  int status = http_run (&request, &headers, &body, &complete);
  cs_time_us_t elapsed = cs_clock_now () - started;
  if (words_number (words, "record", 0) != 0)
    record_exchange (scenario, &request, &headers, &body);
  snprintf (text, sizeof text, "%d", status);
  set_result (scenario, words->words[0], "status", text);
  snprintf (text, sizeof text, "%llu",
            (unsigned long long)(elapsed / CS_US_PER_MS));
  set_result (scenario, words->words[0], "ms", text);
  set_result (scenario, words->words[0], "whole", complete ? "yes" : "no");
  set_result (scenario, words->words[0], "body", body.data);
  set_result (scenario, words->words[0], "headers", headers.data);
  for (int i = 0; i < extra_count; i++)
    free (extra[i]);
  cs_buf_free (&headers);
  cs_buf_free (&body);
  cs_buf_free (&generated_body);
}

/* get ID ADDRESS PATH: the same as request, for requests that are not
   recorded.  */
void
verb_get (scenario_t *scenario, const words_t *words)
{
  verb_request (scenario, words);
}

/* control ADDRESS QUERY: injects faults into a stand-in.  */
void
verb_control (scenario_t *scenario, const words_t *words)
{
  char url[512];
  bool complete;
  cs_buf_t headers = { 0 };
  cs_buf_t body = { 0 };
  snprintf (url, sizeof url, "http://%s/control?%s", words->words[0],
            words->words[1]);
  http_request_t request
      = { .method = "POST", .url = url, .body = "", .timeout_ms = 5000 };
  if (http_run (&request, &headers, &body, &complete) != 200)
    scenario_fail (scenario, "%s did not accept the control request",
                   words->words[0]);
  cs_buf_free (&headers);
  cs_buf_free (&body);
}

static const char *
unquote (char *text)
{
  size_t len = strlen (text);
  if (len < 2 || text[0] != '"' || text[len - 1] != '"')
    return text;
  char *out = text;
  for (size_t i = 1; i + 1 < len; i++)
    if (text[i] != '\\')
      *out++ = text[i];
  *out = '\0';
  return text;
}

static bool
condition_holds (const char *left, const char *comparison, const char *right)
{
  double x = strtod (left, NULL);
  double y = strtod (right, NULL);
  if (strcmp (comparison, "is") == 0)
    return strcmp (left, right) == 0;
  if (strcmp (comparison, "is-not") == 0)
    return strcmp (left, right) != 0;
  if (strcmp (comparison, "has") == 0)
    return strstr (left, right) != NULL;
  if (strcmp (comparison, "has-not") == 0)
    return strstr (left, right) == NULL;
  if (strcmp (comparison, "<=") == 0)
    return x <= y;
  if (strcmp (comparison, ">=") == 0)
    return x >= y;
  return false;
}

/* expect VALUE is|is-not|has|has-not|<=|>= VALUE */
void
verb_expect (scenario_t *scenario, const words_t *words)
{
  if (words->count != 3)
    {
      scenario_fail (scenario,
                     "expect needs a value, a comparison and a value");
      return;
    }
  const char *left = unquote (words->words[0]);
  const char *right = unquote (words->words[2]);
  if (!condition_holds (left, words->words[1], right))
    scenario_fail (scenario, "expected: %s %s %s", left, words->words[1],
                   right);
}

/* wait MS ADDRESS PATH has|has-not TEXT [key=K]: polls PATH until the body
   satisfies the condition.  */
void
verb_wait (scenario_t *scenario, const words_t *words)
{
  char url[512], authorization[256];
  cs_time_us_t deadline
      = cs_clock_now () + (cs_time_us_t)atol (words->words[0]) * CS_US_PER_MS;
  const char *key = words_option (words, "key", "");
  const char *text = unquote (words->words[4]);
  bool satisfied = false;
  cs_buf_t body = { 0 };
  snprintf (url, sizeof url, "http://%s%s", words->words[1], words->words[2]);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            key);
  while (!satisfied && cs_clock_now () < deadline)
    {
      bool complete;
      cs_buf_t headers = { 0 };
      http_request_t request = { .method = "GET",
                                 .url = url,
                                 .headers = { authorization },
                                 .timeout_ms = 2000 };
      cs_buf_clear (&body);
      int status = http_run (&request, &headers, &body, &complete);
      cs_buf_free (&headers);
      satisfied = status != 0
                  && condition_holds (body.data == NULL ? "" : body.data,
                                      words->words[3], text);
      if (!satisfied)
        poll (NULL, 0, 20);
    }
  if (!satisfied)
    scenario_fail (scenario,
                   "condition not met within %s ms: %s %s %s; last: %.300s",
                   words->words[0], words->words[2], words->words[3], text,
                   body.data == NULL ? "" : body.data);
  cs_buf_free (&body);
}

/* raw ID ADDRESS HEX [timeout=MS]: sends bytes and sets $ID.body to the
   response.  For malformed requests and peer frames.  */
void
verb_raw (scenario_t *scenario, const words_t *words)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char host[64];
  char part[2048];
  unsigned char bytes[4096];
  size_t count = 0;
  ssize_t got;
  cs_buf_t answer = { 0 };
  const char *colon = strchr (words->words[1], ':');
  const char *hex = words->words[2];
  struct timeval timeout = { words_number (words, "timeout", 2000) / 1000, 0 };
  snprintf (host, sizeof host, "%.*s", (int)(colon - words->words[1]),
            words->words[1]);
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  inet_pton (AF_INET, host, &address.sin_addr);
  for (; hex[0] != '\0' && hex[1] != '\0' && count < sizeof bytes; hex += 2)
    {
      unsigned value;
      sscanf (hex, "%2x", &value);
      bytes[count++] = (unsigned char)value;
    }
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      || send (fd, bytes, count, MSG_NOSIGNAL) < 0)
    scenario_fail (scenario, "cannot send to %s", words->words[1]);
  while ((got = recv (fd, part, sizeof part, 0)) > 0)
    {
      cs_str_t read = { part, (size_t)got };
      cs_buf_append (&answer, read);
    }
  close (fd);
  set_result (scenario, words->words[0], "body", answer.data);
  cs_buf_free (&answer);
}

/* transcript TEXT: adds a text, such as $ID.output, to the transcript.  */
void
verb_transcript (scenario_t *scenario, const words_t *words)
{
  cs_buf_t text = { 0 };
  cs_buf_append (&text, cs_str (words->words[0]));
  normalise (&text);
  cs_buf_append (&scenario->transcript, cs_buf_str (&text));
  cs_buf_free (&text);
}

/* golden NAME: checks that the transcript equals tests/golden/NAME, then
   clears it.  With --update, writes the file instead.  */
void
verb_golden (scenario_t *scenario, const words_t *words)
{
  char file[512];
  cs_buf_t expected = { 0 };
  char part[4096];
  size_t len;
  snprintf (file, sizeof file, "tests/golden/%s", words->words[0]);
  cs_str_t got = cs_buf_str (&scenario->transcript);
  if (scenario->update)
    {
      FILE *stream = fopen (file, "w");
      fwrite (got.data, 1, got.len, stream);
      fclose (stream);
      cs_buf_clear (&scenario->transcript);
      return;
    }
  FILE *stream = fopen (file, "r");
  while (stream != NULL && (len = fread (part, 1, sizeof part, stream)) > 0)
    {
      cs_str_t read = { part, len };
      cs_buf_append (&expected, read);
    }
  if (stream != NULL)
    fclose (stream);
  if (!cs_str_equal (cs_buf_str (&expected), got))
    scenario_fail (scenario, "differs from %s; got:\n%.*s", file,
                   CS_STR_ARG (got));
  cs_buf_free (&expected);
  cs_buf_clear (&scenario->transcript);
}
