/* Forwards the response of a target to the caller.  */

#include "http/response.h"
#include "common/log.h"
#include "router/apply.h"
#include "router/caller.h"
#include "router/cold.h"
#include "router/forward/internal.h"
#include "router/health.h"
#include "router/quarantine.h"

/* A response up to this size is buffered before any of it is sent to the
   caller, so that the request can still be retried if the response breaks
   off.  */
#define MAX_BUFFERED_BYTES (64U * 1024)

#define STATUS_SERVER_ERROR 500

static void
record_load (cs_forward_t *forward, const cs_target_response_t *response,
             cs_time_us_t now)
{
  cs_target_t *target = forward->target;
  if (!response->has_load)
    return;
  target->load.running = response->running;
  target->load.waiting = response->waiting;
  target->load.slots = response->slots;
  target->load.own_in_flight = target->in_flight;
  target->load.at = now;
  target->load.valid = true;
  if (response->slowness > 0)
    cs_slowness_record (&target->slowness, response->slowness, now);
  if (!response->has_load_excess)
    return;
  forward->router->counters.load_parts_ignored++;
  if (!target->load_excess_logged)
    cs_log (CS_EV_LOAD_PART_IGNORED, "target=%s id=%.*s", target->id.text,
            CS_STR_ARG (forward->request.id));
  target->load_excess_logged = true;
}

/* That the target names no limit counts only in an answer that is surely its
   own.  */
static void
record_limit (cs_forward_t *forward, const cs_target_response_t *response,
              cs_time_us_t now)
{
  cs_limit_statement_t statement = { .is_limited = response->is_limited,
                                     .per_s = response->limit_per_s,
                                     .at = now };
  if (response->is_limited || response->has_signature)
    cs_apply_target_limit (forward->router, forward->target, &statement, now);
}

/* That the target isn't cold counts only in an answer that is surely its
   own.  */
static void
record_cold (cs_forward_t *forward, const cs_target_response_t *response,
             cs_time_us_t now)
{
  cs_cold_statement_t statement
      = { .source = CS_COLD_ANSWER, .remaining_us = response->cold_us };
  if (response->states_cold
      && (response->cold_us > 0 || response->has_signature))
    cs_cold_apply (forward->router, forward->target, &statement, 0, now);
}

/* Applies what the target says of itself.  */
static void
record_state (cs_forward_t *forward, const cs_target_response_t *response,
              cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  cs_target_t *target = forward->target;
  record_load (forward, response, now);
  if (response->pause_us > 0
      && now + response->pause_us > target->paused_until)
    {
      target->paused_until = now + response->pause_us;
      cs_log (CS_EV_TARGET_PAUSED, "target=%s id=%.*s for_ms=%llu",
              target->id.text, CS_STR_ARG (forward->request.id),
              (unsigned long long)(response->pause_us / CS_US_PER_MS));
    }
  record_limit (forward, response, now);
  record_cold (forward, response, now);
  if (response->is_leaving)
    cs_apply_target_leaving (router, target, "response");
}

/* Whether the response cannot be trusted to be the target's own: it lacks the
   signature, or its body was encoded on the way.  */
static bool
is_unusable (const cs_target_response_t *response)
{
  return !response->not_executed
         && (!response->has_signature || response->is_encoded);
}

/* A started response can be resumed only with another event stream of its
   status.  */
static bool
cannot_resume (const cs_forward_t *forward, const cs_http_head_t *head)
{
  if (!forward->response_started || forward->mode == CS_FORWARD_REFUSED)
    return false;
  return forward->mode != CS_FORWARD_EVENTS || head->status != forward->status;
}

static cs_forward_mode_t
choose_mode (const cs_http_head_t *head, const cs_target_response_t *response)
{
  if (response->not_executed)
    return CS_FORWARD_REFUSED;
  if (head->status >= STATUS_SERVER_ERROR)
    return CS_FORWARD_FAILED;
  if (response->is_stream && cs_http_is_success (head->status))
    return CS_FORWARD_EVENTS;
  if (head->has_length && head->length > MAX_BUFFERED_BYTES)
    return CS_FORWARD_STREAMED;
  return CS_FORWARD_BUFFERED;
}

static void
abort_attempt (cs_forward_t *forward, int error)
{
  cs_connection_t *connection = forward->connection;
  forward->connection = NULL;
  forward->target->in_flight--;
  forward->router->counters.wrong_answers++;
  cs_timer_clear (&forward->watchdog);
  cs_connection_abort (connection);
  cs_forward_attempt_failed (forward, error, true,
                             cs_loop_now (forward->router->loop));
}

static void
on_response (void *context, const cs_http_head_t *head,
             const cs_target_response_t *response)
{
  cs_forward_t *forward = context;
  cs_time_us_t now = cs_loop_now (forward->router->loop);
  record_state (forward, response, now);
  forward->target->last_received_at = now;
  forward->was_alive = true;
  forward->mode = choose_mode (head, response);
  forward->discarded = 0;
  if (is_unusable (response) || cannot_resume (forward, head))
    {
      abort_attempt (forward, CS_ERR_WRONG_ANSWER);
      return;
    }
  if (forward->first_byte_at == 0)
    {
      forward->first_byte_at = now;
      cs_latency_add (&forward->router->first_byte,
                      now - forward->received_at);
    }
  forward->has_length = head->has_length;
  forward->is_framed = !head->ends_at_close;
  forward->length = head->length;
  if (forward->response_started || forward->mode == CS_FORWARD_REFUSED)
    return;
  forward->status = head->status;
  cs_buf_clear (&forward->response_head);
  if (cs_http_write_status (head->status, &forward->response_head) != 0
      || cs_headers_write_response_fields (head, &forward->response_head) != 0)
    abort_attempt (forward, CS_ERR_NO_MEMORY);
}

/* Completes the response head with its framing fields.  The head is sent with
   the first part of the body.  */
static void
start_response (cs_forward_t *forward)
{
  bool is_http_1_0 = forward->head.minor == 0;
  forward->response_started = true;
  forward->is_event_stream = forward->mode == CS_FORWARD_EVENTS;
  if (forward->is_event_stream)
    forward->version = forward->target->version;
  forward->chunked
      = !is_http_1_0
        && !(forward->mode == CS_FORWARD_STREAMED && forward->has_length);
  if (!is_http_1_0 && !forward->chunked)
    cs_buf_printf (&forward->response_head, "Content-Length: %llu\r\n",
                   (unsigned long long)forward->length);
  if (forward->chunked)
    cs_buf_printf (&forward->response_head, "Transfer-Encoding: chunked\r\n");
  cs_caller_write_connection_fields (
      forward->caller, is_http_1_0 || cs_caller_should_close (forward->caller),
      &forward->response_head);
  cs_buf_append (&forward->response_head, cs_str ("\r\n"));
}

void
cs_forward_flush (cs_forward_t *forward)
{
  cs_buf_t *out = &forward->response_head;
  if (forward->response_body.len == 0)
    return;
  if (!forward->response_started)
    start_response (forward);
  if (forward->chunked)
    cs_http_write_chunk (cs_buf_str (&forward->response_body), out);
  else
    cs_buf_append (out, cs_buf_str (&forward->response_body));
  cs_buf_clear (&forward->response_body);
  cs_caller_send (forward->caller, cs_buf_str (out));
  cs_buf_clear (out);
  if (cs_caller_is_behind (forward->caller) && !forward->paused
      && forward->connection != NULL)
    {
      /* The memory of these would be held as long as the caller doesn't read.
       */
      cs_buf_free (out);
      cs_buf_free (&forward->response_body);
      forward->paused = true;
      cs_connection_pause (forward->connection, true);
    }
}

/* Records that the target has written so much of the answer, without crashing,
   that the request doesn't end targets.  */
static void
record_served (const cs_forward_t *forward, cs_time_us_t now)
{
  if (cs_http_is_success (forward->status))
    cs_router_served (forward->router, &forward->causes, now);
}

/* Forwards the events that PART completes.  Only they show that the target is
   alive: one that is stalled may still send bytes.  */
static void
forward_events (cs_forward_t *forward, cs_str_t part)
{
  uint64_t count = forward->events.count;
  int rc
      = cs_event_stream_add (&forward->events, part, &forward->response_body);
  if (rc != 0)
    {
      /* The stream is resumed after the events that were complete.  */
      cs_forward_flush_events (forward);
      abort_attempt (forward, CS_ERR_WRONG_ANSWER);
      return;
    }
  if (forward->events.count > count)
    {
      forward->last_event_at = cs_loop_now (forward->router->loop);
      forward->target->last_received_at = forward->last_event_at;
      cs_forward_end_wait (forward, true, forward->last_event_at);
      uint64_t limit = forward->events_before + CS_FORWARD_EVENTS_BEGUN;
      if (count <= limit && forward->events.count > limit)
        record_served (forward, forward->last_event_at);
    }
  cs_forward_flush_events (forward);
}

/* The body of a refusal is not needed.  One that doesn't end must not delay
   the next attempt.  */
static void
discard (cs_forward_t *forward, cs_str_t part)
{
  forward->discarded += part.len;
  if (forward->discarded > MAX_BUFFERED_BYTES)
    abort_attempt (forward, CS_ERR_REFUSED);
}

static void
on_body (void *context, cs_str_t part)
{
  cs_forward_t *forward = context;
  switch (forward->mode)
    {
    case CS_FORWARD_REFUSED:
      discard (forward, part);
      return;
    case CS_FORWARD_EVENTS:
      forward_events (forward, part);
      return;
    case CS_FORWARD_FAILED:
    case CS_FORWARD_BUFFERED:
      if (cs_buf_append (&forward->response_body, part) != 0)
        {
          abort_attempt (forward, CS_ERR_NO_MEMORY);
          return;
        }
      if (forward->response_body.len <= MAX_BUFFERED_BYTES)
        return;
      forward->mode = CS_FORWARD_STREAMED;
      cs_forward_flush (forward);
      return;
    case CS_FORWARD_STREAMED:
      if (cs_buf_append (&forward->response_body, part) != 0)
        abort_attempt (forward, CS_ERR_NO_MEMORY);
      else
        cs_forward_flush (forward);
      return;
    }
}

void
cs_forward_send_buffered (cs_forward_t *forward, cs_time_us_t now)
{
  bool is_head = cs_str_equal (forward->head.method, cs_str ("HEAD"));
  bool bodiless = forward->status == 204 || forward->status == 304;
  bool close = cs_caller_should_close (forward->caller);
  cs_buf_t *out = &forward->response_head;
  uint64_t length = is_head ? forward->length : forward->response_body.len;
  if (!bodiless && (!is_head || forward->has_length))
    cs_buf_printf (out, "Content-Length: %llu\r\n",
                   (unsigned long long)length);
  cs_caller_write_connection_fields (forward->caller, close, out);
  cs_buf_append (out, cs_str ("\r\n"));
  cs_buf_append (out, cs_buf_str (&forward->response_body));
  cs_caller_send (forward->caller, cs_buf_str (out));
  cs_forward_complete (forward, close, now);
}

static void
finish_response (cs_forward_t *forward, cs_time_us_t now)
{
  bool close = cs_caller_should_close (forward->caller);
  cs_buf_t last = { 0 };
  if (!forward->response_started)
    {
      /* An event stream without any event.  */
      cs_forward_send_buffered (forward, now);
      return;
    }
  if (forward->chunked
      && cs_http_write_chunk ((cs_str_t){ "", 0 }, &last) == 0)
    cs_caller_send (forward->caller, cs_buf_str (&last));
  cs_buf_free (&last);
  cs_forward_complete (forward, close || forward->head.minor == 0, now);
}

/* Whether the stream ended with its connection before its first event: the
   target may have crashed.  */
static bool
is_empty_stream (const cs_forward_t *forward)
{
  return !forward->is_framed
         && forward->events.count == forward->events_before;
}

static void
on_response_complete (cs_forward_t *forward, cs_time_us_t now)
{
  switch (forward->mode)
    {
    case CS_FORWARD_REFUSED:
      cs_forward_attempt_failed (forward, CS_ERR_REFUSED, true, now);
      return;
    case CS_FORWARD_FAILED:
      cs_forward_attempt_failed (forward, CS_ERR_TARGET_FAILED, true, now);
      return;
    case CS_FORWARD_EVENTS:
      if (!cs_event_stream_is_at_boundary (&forward->events)
          || is_empty_stream (forward))
        {
          cs_forward_attempt_failed (forward, CS_ERR_CUT, true, now);
          return;
        }
      record_served (forward, now);
      cs_health_record_result (forward->router, forward->target, CS_OK, now);
      finish_response (forward, now);
      return;
    case CS_FORWARD_STREAMED:
      if (forward->is_framed)
        record_served (forward, now);
      cs_health_record_result (forward->router, forward->target, CS_OK, now);
      finish_response (forward, now);
      return;
    case CS_FORWARD_BUFFERED:
      if (forward->is_framed)
        record_served (forward, now);
      cs_forward_record_time (forward, now);
      cs_health_record_result (forward->router, forward->target, CS_OK, now);
      cs_forward_send_buffered (forward, now);
      return;
    }
}

static void
on_end (void *context, int error, bool was_sent)
{
  cs_forward_t *forward = context;
  cs_time_us_t now = cs_loop_now (forward->router->loop);
  forward->connection = NULL;
  forward->target->in_flight--;
  cs_timer_clear (&forward->watchdog);
  if (error == CS_OK)
    on_response_complete (forward, now);
  else
    cs_forward_attempt_failed (forward, error, was_sent, now);
}

const cs_connection_handlers_t cs_forward_connection_handlers
    = { .on_response = on_response, .on_body = on_body, .on_end = on_end };
