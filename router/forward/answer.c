/* The answer of a target on its way to the caller.  */

#include "http/answer.h"
#include "router/caller.h"
#include "router/forward/internal.h"
#include "router/health.h"

/* An answer up to this size is collected before the caller sees any of it, so
   that one that breaks can still be replaced.  */
#define COLLECT_BYTES (64U * 1024)
/* The target is not read from while the caller is this far behind.  */
#define CALLER_QUEUE_BYTES (64U * 1024)

#define STATUS_SERVER_ERROR 500

static void
note_load (cs_target_t *target, const cs_target_answer_t *answer,
           cs_time_us_t now)
{
  if (!answer->has_load)
    return;
  target->load.running = answer->running;
  target->load.waiting = answer->waiting;
  target->load.slots = answer->slots;
  target->load.own = target->in_flight;
  target->load.at = now;
  target->load.known = true;
}

/* Whether the answer lacks what makes it the target's own: its signature, or a
   body as the target made it.  */
static bool
is_unusable (const cs_target_answer_t *answer)
{
  return !answer->not_executed
         && (!answer->has_signature || answer->is_encoded);
}

/* A stream that goes on elsewhere needs events, whatever the target says.  */
static bool
is_unfit_to_go_on (const cs_forward_t *forward)
{
  return forward->begun && forward->mode != CS_FORWARD_EVENTS
         && forward->mode != CS_FORWARD_REFUSED;
}

static cs_forward_mode_t
choose_mode (const cs_http_head_t *head, const cs_target_answer_t *answer)
{
  if (answer->not_executed)
    return CS_FORWARD_REFUSED;
  if (head->status >= STATUS_SERVER_ERROR)
    return CS_FORWARD_FAILED;
  if (answer->is_stream && cs_http_is_success (head->status))
    return CS_FORWARD_EVENTS;
  if (head->has_length && head->length > COLLECT_BYTES)
    return CS_FORWARD_PARTS;
  return CS_FORWARD_WHOLE;
}

static void
break_try (cs_forward_t *forward, int error)
{
  cs_connection_t *connection = forward->connection;
  forward->connection = NULL;
  forward->target->in_flight--;
  forward->router->counters.wrong_answers++;
  cs_connection_abort (connection);
  cs_forward_try_failed (forward, error, true,
                         cs_loop_now (forward->router->loop));
}

static void
on_answer (void *context, const cs_http_head_t *head,
           const cs_target_answer_t *answer)
{
  cs_forward_t *forward = context;
  cs_time_us_t now = cs_loop_now (forward->router->loop);
  note_load (forward->target, answer, now);
  forward->target->heard_at = now;
  forward->mode = choose_mode (head, answer);
  if (is_unusable (answer) || is_unfit_to_go_on (forward))
    {
      break_try (forward, CS_ERR_WRONG_ANSWER);
      return;
    }
  if (forward->first_byte == 0)
    {
      forward->first_byte = now;
      cs_latency_add (&forward->router->first_byte, now - forward->arrived);
    }
  forward->has_length = head->has_length;
  forward->length = head->length;
  if (forward->begun || forward->mode == CS_FORWARD_REFUSED)
    return;
  forward->status = head->status;
  cs_buf_clear (&forward->answer_head);
  if (cs_http_write_status (head->status, &forward->answer_head) != 0
      || cs_headers_write_answer_fields (head, &forward->answer_head) != 0)
    break_try (forward, CS_ERR_NO_MEMORY);
}

/* Ends the answer's head with its framing, and sends it.  */
static void
begin_answer (cs_forward_t *forward)
{
  bool old_caller = forward->head.minor == 0;
  forward->begun = true;
  forward->is_events = forward->mode == CS_FORWARD_EVENTS;
  forward->chunked
      = !old_caller
        && !(forward->mode == CS_FORWARD_PARTS && forward->has_length);
  if (!old_caller && !forward->chunked)
    cs_buf_printf (&forward->answer_head, "Content-Length: %llu\r\n",
                   (unsigned long long)forward->length);
  if (forward->chunked)
    cs_buf_printf (&forward->answer_head, "Transfer-Encoding: chunked\r\n");
  if (old_caller || cs_caller_should_close (forward->caller))
    cs_buf_printf (&forward->answer_head, "Connection: close\r\n");
  cs_buf_append (&forward->answer_head, cs_str ("\r\n"));
}

/* Passes on what has been collected, in one write with the head before it.  */
static void
pass_collected (cs_forward_t *forward)
{
  cs_buf_t *out = &forward->answer_head;
  if (forward->answer_body.len == 0)
    return;
  if (!forward->begun)
    begin_answer (forward);
  if (forward->chunked)
    cs_http_write_chunk (cs_buf_str (&forward->answer_body), out);
  else
    cs_buf_append (out, cs_buf_str (&forward->answer_body));
  cs_buf_clear (&forward->answer_body);
  cs_caller_send (forward->caller, cs_buf_str (out));
  cs_buf_clear (out);
  if (cs_caller_queued (forward->caller) > CALLER_QUEUE_BYTES
      && !forward->paused)
    {
      forward->paused = true;
      cs_connection_pause (forward->connection, true);
    }
}

static void
on_body (void *context, cs_str_t part)
{
  cs_forward_t *forward = context;
  switch (forward->mode)
    {
    case CS_FORWARD_REFUSED:
      return;
    case CS_FORWARD_EVENTS:
      forward->event_at = cs_loop_now (forward->router->loop);
      forward->target->heard_at = forward->event_at;
      cs_event_stream_add (&forward->events, part, &forward->answer_body);
      pass_collected (forward);
      return;
    case CS_FORWARD_FAILED:
    case CS_FORWARD_WHOLE:
      cs_buf_append (&forward->answer_body, part);
      if (forward->answer_body.len <= COLLECT_BYTES)
        return;
      forward->mode = CS_FORWARD_PARTS;
      pass_collected (forward);
      return;
    case CS_FORWARD_PARTS:
      cs_buf_append (&forward->answer_body, part);
      pass_collected (forward);
      return;
    }
}

void
cs_forward_pass_whole (cs_forward_t *forward, cs_time_us_t now)
{
  bool is_head = cs_str_equal (forward->head.method, cs_str ("HEAD"));
  bool bodiless = forward->status == 204 || forward->status == 304;
  bool close = cs_caller_should_close (forward->caller);
  cs_buf_t *out = &forward->answer_head;
  uint64_t length = is_head ? forward->length : forward->answer_body.len;
  if (!bodiless && (!is_head || forward->has_length))
    cs_buf_printf (out, "Content-Length: %llu\r\n",
                   (unsigned long long)length);
  cs_buf_printf (out, "%s\r\n", close ? "Connection: close\r\n" : "");
  cs_buf_append (out, cs_buf_str (&forward->answer_body));
  cs_caller_send (forward->caller, cs_buf_str (out));
  cs_forward_complete (forward, close, now);
}

static void
end_passed (cs_forward_t *forward, cs_time_us_t now)
{
  bool close = cs_caller_should_close (forward->caller);
  cs_buf_t last = { 0 };
  if (!forward->begun)
    {
      /* A stream without events.  */
      cs_forward_pass_whole (forward, now);
      return;
    }
  if (forward->chunked
      && cs_http_write_chunk ((cs_str_t){ "", 0 }, &last) == 0)
    cs_caller_send (forward->caller, cs_buf_str (&last));
  cs_buf_free (&last);
  cs_forward_complete (forward, close || forward->head.minor == 0, now);
}

static void
on_complete (cs_forward_t *forward, cs_time_us_t now)
{
  switch (forward->mode)
    {
    case CS_FORWARD_REFUSED:
      cs_forward_try_failed (forward, CS_ERR_REFUSED, true, now);
      return;
    case CS_FORWARD_FAILED:
      cs_forward_try_failed (forward, CS_ERR_TARGET_FAILED, true, now);
      return;
    case CS_FORWARD_EVENTS:
      if (!cs_event_stream_is_at_boundary (&forward->events))
        {
          cs_forward_try_failed (forward, CS_ERR_CUT, true, now);
          return;
        }
      cs_health_ended (forward->router, forward->target, CS_OK, now);
      end_passed (forward, now);
      return;
    case CS_FORWARD_PARTS:
      cs_health_ended (forward->router, forward->target, CS_OK, now);
      end_passed (forward, now);
      return;
    case CS_FORWARD_WHOLE:
      cs_health_ended (forward->router, forward->target, CS_OK, now);
      cs_forward_pass_whole (forward, now);
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
    on_complete (forward, now);
  else
    cs_forward_try_failed (forward, error, was_sent, now);
}

const cs_connection_handlers_t cs_forward_connection_handlers
    = { .on_answer = on_answer, .on_body = on_body, .on_end = on_end };
