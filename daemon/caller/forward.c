#include "daemon/forward.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "daemon/limits.h"
#include "daemon/target_call.h"

/* Buffers for the header lines of one call, which cs_call_request_t points
   to.  */
typedef struct
{
  char hop[128];
  char authorization[1024];
  char idempotency[512];
  char event_id[128];
  char content_type[160];
} header_lines_t;

/* State of one request over all of its attempts.  */
typedef struct
{
  cs_exchange_t *exchange;
  const cs_forward_options_t *options;
  cs_relay_t *relay;
  cs_str_t body;
  char *continued_body; /* owned; the body once another target
                           continues the answer */
  uint32_t attempts_made;
  cs_avoid_list_t avoid;
  bool resume; /* the next attempt resumes the stream */
  /* The placement of the last attempt; valid if HAS_PLACEMENT.  */
  cs_placed_call_t placed_call;
  bool has_placement;
  int last_error; /* result of the last attempt under PLACED_CALL */
} forward_t;

static void
add_header (cs_call_request_t *request, const char *line)
{
  size_t i = 0;
  while (i < CS_CALL_MAX_HEADERS - 1 && request->headers[i] != NULL)
    i++;
  if (i < CS_CALL_MAX_HEADERS - 1)
    request->headers[i] = line;
}

static void
copy_header (const forward_t *forward, cs_call_request_t *request,
             const char *name, char *out, size_t size)
{
  const char *value = cs_exchange_header (forward->exchange, name);
  if (value == NULL)
    return;
  int len = snprintf (out, size, "%s: %s", name, value);
  if (len > 0 && (size_t)len < size)
    add_header (request, out);
}

static void
fill_request (const forward_t *forward, header_lines_t *lines,
              cs_call_request_t *request)
{
  const cs_forward_options_t *options = forward->options;
  memset (request, 0, sizeof *request);
  request->method = options->method;
  request->path = options->path;
  request->body = forward->body;
  request->request_id = cs_name_str (&forward->exchange->request_id);
  request->expect_request_id = true;
  request->repeatable = options->idempotent;
  request->deadline = forward->exchange->deadline;
  snprintf (lines->content_type, sizeof lines->content_type,
            "Content-Type: %s", options->content_type);
  add_header (request, lines->content_type);
  copy_header (forward, request, "Idempotency-Key", lines->idempotency,
               sizeof lines->idempotency);
  if (forward->resume)
    {
      snprintf (lines->event_id, sizeof lines->event_id, "Last-Event-ID: %s",
                forward->relay->last_event_id);
      add_header (request, lines->event_id);
    }
}

static int
call_target (forward_t *forward, cs_endpoint_t *endpoint,
             const cs_call_request_t *request)
{
  cs_exchange_t *exchange = forward->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  cs_call_sink_t sink = cs_relay_sink (forward->relay);
  snprintf (exchange->served_by, sizeof exchange->served_by, "%s",
            cs_endpoint_target (endpoint)->name.text);
  cs_counters_add (daemon->counters, CS_COUNTER_TRIES, 1);
  if (forward->attempts_made == 0)
    cs_counters_observe (daemon->counters, CS_HISTOGRAM_ROUTER,
                         cs_clock_now () - exchange->arrived);
  int rc = cs_target_call (endpoint, &daemon->settings, request, &sink);
  rc = cs_relay_result (forward->relay, rc);
  if (rc == CS_ERR_WRONG_ANSWER)
    {
      cs_counters_add (daemon->counters, CS_COUNTER_WRONG_ANSWERS, 1);
      cs_log (CS_EV_WRONG_ANSWER, "request=%s target=%s",
              exchange->request_id.text, exchange->served_by);
    }
  if (rc == CS_ERR_SILENT)
    cs_log (CS_EV_TARGET_SILENT, "request=%s target=%s",
            exchange->request_id.text, exchange->served_by);
  return rc;
}

static int
request_placement (forward_t *forward, cs_placed_call_t *placed_call,
                   uint32_t *retry_after_s)
{
  cs_exchange_t *exchange = forward->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  cs_time_us_t now = cs_clock_now ();
  cs_grant_request_t request = {
    .offering = cs_name_str (&exchange->offering.name),
    .organisation = cs_hash (cs_name_str (&exchange->organisation.name), 0),
    .weight = exchange->organisation.weight,
    .key = forward->options->key,
    .context_tokens = forward->options->context_tokens,
    .batch = forward->options->batch,
    .avoid = forward->avoid,
    .deadline = now + daemon->settings.queue_wait_ms * CS_US_PER_MS,
  };
  if (request.deadline > exchange->deadline)
    request.deadline = exchange->deadline;
  return cs_placement_request_grant (daemon->placement, &request, placed_call,
                                     retry_after_s);
}

/* Reports the end of the placement of the last attempt.  It is kept until the
   next placement or the end of the request, so that a stream that is resumed
   on its engine still counts as in flight there.  */
static void
finish_placement (forward_t *forward)
{
  if (forward->has_placement)
    cs_placement_finish (forward->exchange->daemon->placement,
                         &forward->placed_call, forward->last_error);
  forward->has_placement = false;
}

/* Makes one attempt on a target of this region.  *WAS_PLACED is false if no
   target was assigned.  */
static int
attempt_in_region (forward_t *forward, uint32_t *retry_after_s,
                   bool *was_placed)
{
  cs_daemon_t *daemon = forward->exchange->daemon;
  header_lines_t lines;
  cs_call_request_t request;
  *was_placed = false;
  finish_placement (forward);
  int rc = request_placement (forward, &forward->placed_call, retry_after_s);
  if (rc != 0)
    return rc;
  *was_placed = true;
  forward->has_placement = true;
  forward->last_error = 0;
  cs_avoid_list_add (&forward->avoid, forward->placed_call.target);
  cs_endpoint_t *endpoint
      = cs_endpoints_find (daemon->endpoints, forward->placed_call.target);
  /* The owner of the pool may have a newer release than this router.  */
  if (endpoint == NULL)
    return CS_ERR_CONNECT;
  fill_request (forward, &lines, &request);
  rc = call_target (forward, endpoint, &request);
  forward->last_error = rc;
  if (forward->relay->has_load)
    cs_endpoint_set_load (endpoint, &forward->relay->load);
  cs_endpoint_unref (endpoint);
  return rc;
}

/* Resumes an interrupted stream on the engine that produced it, under the same
   placement.  */
static int
attempt_resume (forward_t *forward)
{
  cs_daemon_t *daemon = forward->exchange->daemon;
  header_lines_t lines;
  cs_call_request_t request;
  cs_endpoint_t *endpoint
      = cs_endpoints_find (daemon->endpoints, forward->placed_call.target);
  if (endpoint == NULL)
    return CS_ERR_CONNECT;
  cs_counters_add (daemon->counters, CS_COUNTER_RESUMES, 1);
  cs_log (CS_EV_STREAM_RESUMED, "request=%s target=%s after=%s",
          forward->exchange->request_id.text,
          cs_endpoint_target (endpoint)->name.text,
          forward->relay->last_event_id);
  fill_request (forward, &lines, &request);
  int rc = call_target (forward, endpoint, &request);
  forward->last_error = rc;
  cs_endpoint_unref (endpoint);
  return rc;
}

/* Forwards the request to a router of another region, which does not forward
   it any further.  */
static int
attempt_in_other_region (forward_t *forward)
{
  cs_exchange_t *exchange = forward->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  char proof[65];
  header_lines_t lines;
  cs_call_request_t request;
  cs_endpoint_t *endpoint = cs_remote_capacity_choose (
      daemon->remote_capacity, cs_name_str (&exchange->offering.name),
      forward->options->key, cs_clock_now ());
  if (endpoint == NULL)
    return CS_ERR_NO_TARGET;
  cs_counters_add (daemon->counters, CS_COUNTER_HANDOVERS, 1);
  fill_request (forward, &lines, &request);
  cs_hop_proof (cs_str (daemon->settings.fleet_key), request.request_id,
                proof);
  snprintf (lines.hop, sizeof lines.hop, "X-Cranberrystile-Hop: %s", proof);
  add_header (&request, lines.hop);
  copy_header (forward, &request, "Authorization", lines.authorization,
               sizeof lines.authorization);
  int rc = call_target (forward, endpoint, &request);
  cs_endpoint_unref (endpoint);
  return rc;
}

static bool
may_use_other_region (const forward_t *forward, int rc)
{
  if (forward->exchange->forwarded || forward->attempts_made > 0)
    return false;
  return rc == CS_ERR_OVERLOADED || rc == CS_ERR_NO_TARGET
         || rc == CS_ERR_DEADLINE;
}

/* Makes the next attempt: resumes the stream if that was decided, else uses a
   target of this region, or another region if none is available here.  */
static int
make_attempt (forward_t *forward, uint32_t *retry_after_s)
{
  bool was_placed = true;
  int rc;
  if (forward->resume)
    return attempt_resume (forward);
  rc = attempt_in_region (forward, retry_after_s, &was_placed);
  if (was_placed || !may_use_other_region (forward, rc))
    return rc;
  int other_rc = attempt_in_other_region (forward);
  return other_rc == CS_ERR_NO_TARGET ? rc : other_rc;
}

/* Prepares the next attempt according to ACTION.  Returns false if that is not
   possible.  */
static bool
prepare_attempt (forward_t *forward, cs_retry_action_t action)
{
  cs_relay_t *relay = forward->relay;
  forward->resume = action == CS_RETRY_RESUME;
  if (action == CS_RETRY_CONTINUE)
    {
      char *body = cs_prompt_continue (
          forward->options->prompt, cs_buf_str (&relay->text), relay->tokens);
      if (body == NULL)
        return false;
      free (forward->continued_body);
      forward->continued_body = body;
      forward->body = cs_str (body);
      relay->last_event_id[0] = '\0';
    }
  cs_relay_begin_attempt (relay);
  return true;
}

static cs_retry_action_t
decide_retry (const forward_t *forward, int rc)
{
  const cs_exchange_t *exchange = forward->exchange;
  cs_retry_state_t state = {
    .error = rc,
    .idempotent = forward->options->idempotent,
    .streaming = forward->options->streaming,
    .response_started = forward->relay->begun,
    .resumable = forward->relay->last_event_id[0] != '\0' && !forward->resume
                 && forward->has_placement,
    .tries = forward->attempts_made,
    .max_attempts = exchange->daemon->settings.tries,
  };
  if (cs_clock_now () >= exchange->deadline)
    return CS_RETRY_GIVE_UP;
  return cs_retry_decide (&state);
}

int
cs_forward_request (cs_exchange_t *exchange,
                    const cs_forward_options_t *options, cs_relay_t *relay,
                    uint32_t *retry_after_s)
{
  cs_daemon_t *daemon = exchange->daemon;
  forward_t forward = { .exchange = exchange,
                        .options = options,
                        .relay = relay,
                        .body = cs_buf_str (&exchange->body) };
  int first_error = 0;
  int rc;
  cs_limits_record_first_attempt (daemon->limits);
  while (true)
    {
      rc = make_attempt (&forward, retry_after_s);
      forward.attempts_made++;
      if (rc == 0)
        break;
      /* An error of an attempt that may have been executed takes precedence
         over later ones, such as finding no target for a retry.  */
      if (first_error == 0 || cs_retry_was_not_run (first_error))
        first_error = rc;
      cs_retry_action_t action = decide_retry (&forward, rc);
      if (action == CS_RETRY_GIVE_UP || !cs_limits_take_retry (daemon->limits)
          || !prepare_attempt (&forward, action))
        break;
      cs_counters_add (daemon->counters, CS_COUNTER_RETRIES, 1);
    }
  finish_placement (&forward);
  if (rc == CS_ERR_CALLER_GONE)
    {
      cs_counters_add (daemon->counters, CS_COUNTER_CANCELS, 1);
      first_error = rc;
    }
  if (relay->retry_after_s > *retry_after_s)
    *retry_after_s = relay->retry_after_s;
  free (forward.continued_body);
  return rc == 0 ? 0 : first_error;
}

void
cs_forward_finish (cs_exchange_t *exchange, cs_relay_t *relay, int rc,
                   uint32_t retry_after_s)
{
  if (rc == 0)
    cs_relay_finish (relay);
  else
    cs_exchange_fail (exchange, rc, NULL, retry_after_s);
}
