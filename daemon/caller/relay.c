#include "daemon/relay.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

/* Size limits of a single event and of a response that is not streamed.  */
#define MAX_EVENT_BYTES (1024 * 1024)
#define MAX_RESPONSE_BYTES (32 * 1024 * 1024)

void
cs_relay_begin (cs_relay_t *relay, cs_exchange_t *exchange)
{
  memset (relay, 0, sizeof *relay);
  relay->exchange = exchange;
}

void
cs_relay_free (cs_relay_t *relay)
{
  cs_buf_free (&relay->body);
  cs_buf_free (&relay->text);
}

void
cs_relay_begin_attempt (cs_relay_t *relay)
{
  cs_buf_clear (&relay->body);
  relay->status = 0;
  relay->is_stream = false;
  relay->has_load = false;
}

static int
relay_head (void *context, const cs_call_head_t *head)
{
  static const char stream_type[] = "text/event-stream";
  cs_relay_t *relay = context;
  relay->status = head->status;
  relay->retry_after_s = head->retry_after_s;
  relay->has_load = head->has_load;
  relay->load = head->load;
  snprintf (relay->content_type, sizeof relay->content_type, "%s",
            head->content_type);
  relay->is_stream = head->status == 200
                     && strncasecmp (head->content_type, stream_type,
                                     sizeof stream_type - 1)
                            == 0;
  /* The caller has part of a stream, which only another stream can continue.
   */
  if (relay->begun && !relay->is_stream)
    return head->status == 200 ? CS_ERR_WRONG_ANSWER : CS_ERR_CUT;
  return 0;
}

/* Appends the generated text in the data of one event to relay->text.  */
static void
append_generated_text (cs_relay_t *relay, cs_str_t data)
{
  const char *content = NULL;
  json_t *root = json_loadb (data.data, data.len, 0, NULL);
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *delta = json_object_get (choice, "delta");
  content = json_string_value (json_object_get (
      delta != NULL ? delta : choice, delta != NULL ? "content" : "text"));
  if (content != NULL && content[0] != '\0')
    {
      (void)cs_buf_append (&relay->text, cs_str (content));
      relay->tokens++;
    }
  json_decref (root);
}

/* Counts the prompt tokens of the usage object in DATA, if there is one.  */
static void
count_usage (cs_relay_t *relay, cs_str_t data)
{
  cs_counters_t *counters = relay->exchange->daemon->counters;
  if (memmem (data.data, data.len, "\"usage\"", 7) == NULL)
    return;
  json_t *root = json_loadb (data.data, data.len, 0, NULL);
  const json_t *usage = json_object_get (root, "usage");
  json_int_t prompt
      = json_integer_value (json_object_get (usage, "prompt_tokens"));
  json_int_t cached = json_integer_value (json_object_get (
      json_object_get (usage, "prompt_tokens_details"), "cached_tokens"));
  if (prompt > 0)
    cs_counters_add (counters, CS_COUNTER_PROMPT_TOKENS, (uint64_t)prompt);
  if (cached > 0)
    cs_counters_add (counters, CS_COUNTER_CACHED_TOKENS, (uint64_t)cached);
  json_decref (root);
}

/* Returns the value of an event stream field whose name and colon take SKIP
   bytes.  */
static cs_str_t
field_value (cs_str_t line, size_t skip)
{
  cs_str_t value = { line.data + skip, line.len - skip };
  if (value.len > 0 && value.data[0] == ' ')
    {
      value.data++;
      value.len--;
    }
  while (value.len > 0 && value.data[value.len - 1] == '\r')
    value.len--;
  return value;
}

static void
parse_event_line (cs_relay_t *relay, cs_str_t line)
{
  if (cs_str_starts_with (line, cs_str ("id:")))
    {
      cs_str_t id = field_value (line, 3);
      if (id.len < sizeof relay->last_event_id)
        snprintf (relay->last_event_id, sizeof relay->last_event_id, "%.*s",
                  CS_STR_ARG (id));
    }
  if (!cs_str_starts_with (line, cs_str ("data:")))
    return;
  cs_str_t data = field_value (line, 5);
  if (cs_str_equal (data, cs_str ("[DONE]")))
    relay->ended = true;
  else
    {
      append_generated_text (relay, data);
      count_usage (relay, data);
    }
}

static void
parse_event (cs_relay_t *relay, cs_str_t event)
{
  while (event.len > 0)
    {
      const char *end = memchr (event.data, '\n', event.len);
      size_t len = end == NULL ? event.len : (size_t)(end - event.data);
      cs_str_t line = { event.data, len };
      parse_event_line (relay, line);
      if (end == NULL)
        break;
      event.data += len + 1;
      event.len -= len + 1;
    }
}

/* Returns the length of the first complete event in TEXT, or 0 if there is
   none.  */
static size_t
event_length (cs_str_t text)
{
  const char *plain = memmem (text.data, text.len, "\n\n", 2);
  const char *crlf = memmem (text.data, text.len, "\n\r\n", 3);
  if (crlf != NULL && (plain == NULL || crlf < plain))
    return (size_t)(crlf - text.data) + 3;
  return plain == NULL ? 0 : (size_t)(plain - text.data) + 2;
}

/* Sends the complete events in relay->body to the caller and keeps the
   incomplete rest.  */
static int
forward_events (cs_relay_t *relay)
{
  cs_str_t rest = cs_buf_str (&relay->body);
  size_t forwarded = 0;
  size_t len;
  while (!relay->ended
         && (len = event_length (
                 (cs_str_t){ rest.data + forwarded, rest.len - forwarded }))
                > 0)
    {
      cs_str_t event = { rest.data + forwarded, len };
      parse_event (relay, event);
      forwarded += len;
    }
  if (forwarded == 0)
    return 0;
  cs_str_t complete_events = { rest.data, forwarded };
  cs_exchange_stream_begin (relay->exchange);
  relay->begun = true;
  int rc = cs_exchange_stream_part (relay->exchange, complete_events);
  memmove (relay->body.data, relay->body.data + forwarded,
           rest.len - forwarded);
  relay->body.len = rest.len - forwarded;
  return rc;
}

static int
relay_data (void *context, cs_str_t part)
{
  cs_relay_t *relay = context;
  size_t max_bytes = relay->is_stream ? MAX_EVENT_BYTES : MAX_RESPONSE_BYTES;
  if (relay->body.len + part.len > max_bytes)
    return CS_ERR_WRONG_ANSWER;
  int rc = cs_buf_append (&relay->body, part);
  if (rc == 0 && relay->is_stream)
    rc = forward_events (relay);
  return rc;
}

/* Sends an event stream comment while the engine is silent, to detect that the
   caller has disconnected.  */
static int
send_keepalive_comment (void *context)
{
  cs_relay_t *relay = context;
  if (!relay->begun)
    return 0;
  return cs_exchange_stream_part (relay->exchange, cs_str (": waiting\n\n"));
}

cs_call_sink_t
cs_relay_sink (cs_relay_t *relay)
{
  cs_call_sink_t sink
      = { relay, relay_head, relay_data, send_keepalive_comment };
  return sink;
}

int
cs_relay_result (const cs_relay_t *relay, int rc)
{
  if (rc != 0)
    return rc;
  if (relay->status == 429)
    return CS_ERR_REFUSED;
  if (relay->pass_errors)
    return 0;
  if (relay->status == 503)
    return CS_ERR_REFUSED;
  if (relay->status >= 500)
    return CS_ERR_CUT;
  if (relay->is_stream && !relay->ended)
    return CS_ERR_CUT;
  return 0;
}

void
cs_relay_finish (cs_relay_t *relay)
{
  if (relay->is_stream)
    {
      cs_exchange_stream_end (relay->exchange);
      return;
    }
  count_usage (relay, cs_buf_str (&relay->body));
  cs_exchange_respond (relay->exchange, relay->status,
                       relay->content_type[0] == '\0' ? "application/json"
                                                      : relay->content_type,
                       cs_buf_str (&relay->body));
}
