#include "daemon/run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "daemon/limits.h"
#include "daemon/target_call.h"

/* Headers of one call and the texts they point to.  */
typedef struct
{
  char hop[128];
  char authorization[1024];
  char idempotency[512];
  char event_id[128];
  char content_type[160];
} header_texts_t;

/* The state of one request over its tries.  */
typedef struct
{
  cs_exchange_t *exchange;
  const cs_run_t *run;
  cs_relay_t *relay;
  cs_str_t body;
  char *continued_body; /* owned; the body once an answer is continued */
  uint32_t tries;
  cs_avoid_list_t avoid;
  bool resume;
  cs_placed_call_t placed; /* the place of the last try, while HAS_PLACE */
  bool has_place;
  int last_error; /* how the last try there ended */
} attempt_t;

static void
add_header (cs_call_request_t *request, const char *line)
{
  size_t i = 0;
  while (i < CS_CALL_HEADERS_MAX - 1 && request->headers[i] != NULL)
    i++;
  if (i < CS_CALL_HEADERS_MAX - 1)
    request->headers[i] = line;
}

static void
copy_header (const attempt_t *attempt, cs_call_request_t *request,
             const char *name, char *out, size_t size)
{
  const char *value = cs_exchange_header (attempt->exchange, name);
  if (value == NULL)
    return;
  int len = snprintf (out, size, "%s: %s", name, value);
  if (len > 0 && (size_t)len < size)
    add_header (request, out);
}

static void
fill_request (const attempt_t *attempt, header_texts_t *texts,
              cs_call_request_t *request)
{
  const cs_run_t *run = attempt->run;
  memset (request, 0, sizeof *request);
  request->method = run->method;
  request->path = run->path;
  request->body = attempt->body;
  request->request_id = cs_name_str (&attempt->exchange->request_id);
  request->expect_request_id = true;
  request->repeatable = run->idempotent;
  request->deadline = attempt->exchange->deadline;
  snprintf (texts->content_type, sizeof texts->content_type,
            "Content-Type: %s", run->content_type);
  add_header (request, texts->content_type);
  copy_header (attempt, request, "Idempotency-Key", texts->idempotency,
               sizeof texts->idempotency);
  if (attempt->resume)
    {
      snprintf (texts->event_id, sizeof texts->event_id, "Last-Event-ID: %s",
                attempt->relay->last_event_id);
      add_header (request, texts->event_id);
    }
}

static int
call_endpoint (attempt_t *attempt, cs_endpoint_t *endpoint,
               const cs_call_request_t *request)
{
  cs_exchange_t *exchange = attempt->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  cs_call_sink_t sink = cs_relay_sink (attempt->relay);
  snprintf (exchange->served_by, sizeof exchange->served_by, "%s",
            cs_endpoint_target (endpoint)->name.text);
  cs_counters_add (daemon->counters, CS_COUNTER_TRIES, 1);
  if (attempt->tries == 0)
    cs_counters_observe (daemon->counters, CS_HISTOGRAM_ROUTER,
                         cs_clock_now () - exchange->arrived);
  int rc = cs_target_call (endpoint, &daemon->settings, request, &sink);
  rc = cs_relay_result (attempt->relay, rc);
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
place (attempt_t *attempt, cs_placed_call_t *placed, uint32_t *retry_after_s)
{
  cs_exchange_t *exchange = attempt->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  cs_time_us_t now = cs_clock_now ();
  cs_grant_request_t request = {
    .offering = cs_name_str (&exchange->offering.name),
    .organisation = cs_hash (cs_name_str (&exchange->organisation.name), 0),
    .weight = exchange->organisation.weight,
    .key = attempt->run->key,
    .context_tokens = attempt->run->context_tokens,
    .batch = attempt->run->batch,
    .avoid = attempt->avoid,
    .deadline = now + daemon->settings.queue_wait_ms * CS_US_PER_MS,
  };
  if (request.deadline > exchange->deadline)
    request.deadline = exchange->deadline;
  return cs_placement_request_grant (daemon->placement, &request, placed,
                                     retry_after_s);
}

/* Gives the place of the last try back.  It is kept until then, so that a
   stream which is resumed on its engine still counts there.  */
static void
end_place (attempt_t *attempt)
{
  if (attempt->has_place)
    cs_placement_finish (attempt->exchange->daemon->placement,
                         &attempt->placed, attempt->last_error);
  attempt->has_place = false;
}

/* One try on a target of this region.  */
static int
try_here (attempt_t *attempt, uint32_t *retry_after_s, bool *was_placed)
{
  cs_daemon_t *daemon = attempt->exchange->daemon;
  header_texts_t texts;
  cs_call_request_t request;
  *was_placed = false;
  end_place (attempt);
  int rc = place (attempt, &attempt->placed, retry_after_s);
  if (rc != 0)
    return rc;
  *was_placed = true;
  attempt->has_place = true;
  attempt->last_error = 0;
  cs_avoid_list_add (&attempt->avoid, attempt->placed.target);
  cs_endpoint_t *endpoint
      = cs_endpoints_find (daemon->endpoints, attempt->placed.target);
  /* The owner may have a newer release than this router.  */
  if (endpoint == NULL)
    return CS_ERR_CONNECT;
  fill_request (attempt, &texts, &request);
  rc = call_endpoint (attempt, endpoint, &request);
  attempt->last_error = rc;
  if (attempt->relay->has_load)
    cs_endpoint_set_load (endpoint, &attempt->relay->load);
  cs_endpoint_unref (endpoint);
  return rc;
}

/* Takes a cut stream up again on the engine that has it, in the place that it
   has there.  */
static int
try_resume (attempt_t *attempt)
{
  cs_daemon_t *daemon = attempt->exchange->daemon;
  header_texts_t texts;
  cs_call_request_t request;
  cs_endpoint_t *endpoint
      = cs_endpoints_find (daemon->endpoints, attempt->placed.target);
  if (endpoint == NULL)
    return CS_ERR_CONNECT;
  cs_counters_add (daemon->counters, CS_COUNTER_RESUMES, 1);
  cs_log (CS_EV_STREAM_RESUMED, "request=%s target=%s after=%s",
          attempt->exchange->request_id.text,
          cs_endpoint_target (endpoint)->name.text,
          attempt->relay->last_event_id);
  fill_request (attempt, &texts, &request);
  int rc = call_endpoint (attempt, endpoint, &request);
  attempt->last_error = rc;
  cs_endpoint_unref (endpoint);
  return rc;
}

/* Hands the request to a router of another region.  One hop only.  */
static int
try_elsewhere (attempt_t *attempt)
{
  cs_exchange_t *exchange = attempt->exchange;
  cs_daemon_t *daemon = exchange->daemon;
  char proof[65];
  header_texts_t texts;
  cs_call_request_t request;
  cs_endpoint_t *endpoint = cs_remote_capacity_choose (
      daemon->cells, cs_name_str (&exchange->offering.name), attempt->run->key,
      cs_clock_now ());
  if (endpoint == NULL)
    return CS_ERR_NO_TARGET;
  cs_counters_add (daemon->counters, CS_COUNTER_HANDOVERS, 1);
  fill_request (attempt, &texts, &request);
  cs_hop_proof (cs_str (daemon->settings.fleet_key), request.request_id,
                proof);
  snprintf (texts.hop, sizeof texts.hop, "X-Cranberrystile-Hop: %s", proof);
  add_header (&request, texts.hop);
  copy_header (attempt, &request, "Authorization", texts.authorization,
               sizeof texts.authorization);
  int rc = call_endpoint (attempt, endpoint, &request);
  cs_endpoint_unref (endpoint);
  return rc;
}

static bool
may_hand_over (const attempt_t *attempt, int rc)
{
  if (attempt->exchange->handed_over || attempt->tries > 0)
    return false;
  return rc == CS_ERR_OVERLOADED || rc == CS_ERR_NO_TARGET
         || rc == CS_ERR_DEADLINE;
}

static int
one_try (attempt_t *attempt, uint32_t *retry_after_s)
{
  bool was_placed = true;
  int rc;
  if (attempt->resume)
    return try_resume (attempt);
  rc = try_here (attempt, retry_after_s, &was_placed);
  if (was_placed || !may_hand_over (attempt, rc))
    return rc;
  int elsewhere = try_elsewhere (attempt);
  return elsewhere == CS_ERR_NO_TARGET ? rc : elsewhere;
}

/* Prepares the next try by ACTION; returns false when it cannot be made.  */
static bool
prepare (attempt_t *attempt, cs_retry_action_t action)
{
  cs_relay_t *relay = attempt->relay;
  attempt->resume = action == CS_RETRY_RESUME;
  if (action == CS_RETRY_CONTINUE)
    {
      char *body = cs_prompt_continue (
          attempt->run->prompt, cs_buf_str (&relay->text), relay->tokens);
      if (body == NULL)
        return false;
      free (attempt->continued_body);
      attempt->continued_body = body;
      attempt->body = cs_str (body);
      relay->last_event_id[0] = '\0';
    }
  cs_relay_next_try (relay);
  return true;
}

static cs_retry_action_t
next_action (const attempt_t *attempt, int rc)
{
  const cs_exchange_t *exchange = attempt->exchange;
  cs_retry_state_t state = {
    .error = rc,
    .idempotent = attempt->run->idempotent,
    .streaming = attempt->run->streaming,
    .response_started = attempt->relay->begun,
    .resumable = attempt->relay->last_event_id[0] != '\0' && !attempt->resume
                 && attempt->has_place,
    .tries = attempt->tries,
    .max_attempts = exchange->daemon->settings.tries,
  };
  if (cs_clock_now () >= exchange->deadline)
    return CS_RETRY_GIVE_UP;
  return cs_retry_decide (&state);
}

int
cs_run (cs_exchange_t *exchange, const cs_run_t *run, cs_relay_t *relay,
        uint32_t *retry_after_s)
{
  cs_daemon_t *daemon = exchange->daemon;
  attempt_t attempt = { .exchange = exchange,
                        .run = run,
                        .relay = relay,
                        .body = cs_buf_str (&exchange->body) };
  int first_error = 0;
  int rc;
  cs_limits_first_try (daemon->limits);
  while (true)
    {
      rc = one_try (&attempt, retry_after_s);
      attempt.tries++;
      if (rc == 0)
        break;
      /* What happened to the request outweighs that no place was found for
         another try.  */
      if (first_error == 0 || cs_retry_was_not_run (first_error))
        first_error = rc;
      cs_retry_action_t action = next_action (&attempt, rc);
      if (action == CS_RETRY_GIVE_UP || !cs_limits_take_retry (daemon->limits)
          || !prepare (&attempt, action))
        break;
      cs_counters_add (daemon->counters, CS_COUNTER_RETRIES, 1);
    }
  end_place (&attempt);
  if (rc == CS_ERR_CALLER_GONE)
    {
      cs_counters_add (daemon->counters, CS_COUNTER_CANCELS, 1);
      first_error = rc;
    }
  if (relay->retry_after_s > *retry_after_s)
    *retry_after_s = relay->retry_after_s;
  free (attempt.continued_body);
  return rc == 0 ? 0 : first_error;
}

void
cs_run_answer (cs_exchange_t *exchange, cs_relay_t *relay, int rc,
               uint32_t retry_after_s)
{
  if (rc == 0)
    cs_relay_finish (relay);
  else
    cs_exchange_fail (exchange, rc, NULL, retry_after_s);
}
