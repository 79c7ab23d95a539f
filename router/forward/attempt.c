/* Attempts of a request, and their failures.  */

#include "common/log.h"
#include "router/apply.h"
#include "router/crash_check.h"
#include "router/forward/internal.h"
#include "router/health.h"
#include "router/mesh.h"

static void
record_tried_target (cs_forward_t *forward)
{
  if (forward->tried_count < CS_CHOICE_MAX_AVOIDED)
    forward->tried_targets[forward->tried_count++]
        = cs_target_reference (forward->target);
}

/* Whether the request carries a body, possibly an empty one.  */
static bool
has_body (const cs_forward_t *forward)
{
  return forward->head.has_length || forward->head.chunked;
}

static int
send_to_target (cs_forward_t *forward, cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  cs_target_t *target = forward->target;
  cs_buf_t head = { 0 };
  cs_target_request_t fields = {
    .target_id = cs_name_str (&target->id),
    .deadline_ms = cs_forward_remaining_ms (forward, now),
    .rank = forward->rank,
    .rank_count = forward->route->session_affinity
                      ? cs_routing_rank_count (forward->routing)
                      : 0,
    .has_body = has_body (forward),
    .body_len = forward->body.len,
  };
  if (forward->organisation != NULL)
    fields.organisation = forward->organisation->name;
  if (forward->source != NULL)
    fields.fetch_from = &forward->source->address;
  if (forward->events.last_id.len > 0)
    fields.last_event_id = cs_name_str (&forward->events.last_id);
  int rc = cs_headers_write_request (&forward->head, &fields, &head);
  if (rc != 0)
    goto out;
  cs_connection_request_t request = {
    .head = cs_buf_str (&head),
    .body = cs_buf_str (&forward->body),
    .request_id = forward->request.id,
    .is_head = cs_str_equal (forward->head.method, cs_str ("HEAD")),
    .require_fresh = !cs_forward_is_repeatable (forward),
  };
  forward->connection
      = cs_connection_send (&router->connection_env, target, &request,
                            &cs_forward_connection_handlers, forward);
  if (forward->connection == NULL)
    rc = CS_ERR_CONNECT;
  else
    forward->was_alive = !cs_connection_is_reused (forward->connection);
out:
  cs_buf_free (&head);
  return rc;
}

/* Holds a reference to the source: it may leave the fleet before the request
   ends, and the request's log line contains its id.  */
static void
retain_source (cs_forward_t *forward)
{
  cs_target_release (forward->source);
  forward->source = forward->choice.source;
  if (forward->source != NULL)
    cs_target_reference (forward->source);
}

void
cs_forward_end_wait (cs_forward_t *forward, bool is_answered, cs_time_us_t now)
{
  if (!forward->awaits_event)
    return;
  forward->awaits_event = false;
  bool is_late = now - forward->sent_at
                 > forward->route->latency_objective_ms * CS_US_PER_MS;
  cs_slot_limit_t *limit = &forward->service->load_shedder.slot_limit;
  if ((is_answered || is_late)
      && cs_slot_limit_record (limit, forward->sent_at, is_late, now))
    cs_log (CS_EV_SLOTS_REDUCED, "service=%s share=%.2f",
            forward->service->name.text, cs_slot_limit_share (limit, now));
}

static void
log_failure (const cs_forward_t *forward, int error, bool was_sent,
             const char *next, cs_time_us_t now)
{
  cs_buf_t parts = { 0 };
  (void)cs_id_list_print (&forward->causes.parts, &parts);
  cs_log (CS_EV_ATTEMPT_FAILED,
          "id=%.*s request=%llx target=%s error=%s sent=%d after_ms=%llu "
          "events=%llu parts=%.*s next=%s",
          CS_STR_ARG (forward->request.id),
          (unsigned long long)forward->fingerprint, forward->target->id.text,
          cs_error_name (error), was_sent,
          (unsigned long long)(was_sent
                                   ? (now - forward->sent_at) / CS_US_PER_MS
                                   : 0),
          (unsigned long long)forward->events.count,
          CS_STR_ARG (cs_buf_str (&parts)), next);
  cs_buf_free (&parts);
}

/* Sends the request to the target of CHOICE.  */
static void
send_attempt (cs_forward_t *forward, const cs_choice_t *choice,
              cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  forward->choice = *choice;
  retain_source (forward);
  forward->target = forward->choice.target;
  forward->attempt_count++;
  record_tried_target (forward);
  cs_forward_record_version (forward, now);
  cs_apply_request_sent (router, forward->target, now);
  int rc = send_to_target (forward, now);
  if (rc != 0)
    {
      cs_forward_attempt_failed (forward, rc, false, now);
      return;
    }
  forward->target->in_flight++;
  forward->sent_at = now;
  forward->last_event_at = 0;
  forward->awaits_event = forward->route->session_affinity
                          && forward->route->latency_objective_ms > 0
                          && forward->events.count == 0;
  forward->events_before = forward->events.count;
  forward->watchdog_overdue.since = 0;
  forward->is_silent = false;
  forward->paused = false;
  cs_timer_set (&forward->watchdog,
                cs_forward_silence_deadline (forward) - now);
  router->counters.attempts++;
  if (forward->response_started)
    router->counters.streams_resumed++;
}

void
cs_forward_start_attempt (cs_forward_t *forward, cs_time_us_t now)
{
  cs_choice_t choice = forward->choice;
  int rc = cs_forward_choose (forward, &choice, now);
  if (rc == CS_OK)
    {
      send_attempt (forward, &choice, now);
      return;
    }
  forward->choice = choice;
  if (rc == CS_ERR_NO_TARGET
      && (forward->route->regions.is_stated
          || (forward->organisation != NULL
              && forward->organisation->regions.is_stated)))
    forward->router->counters.refused_regions++;
  forward->router->counters.refused_evacuated += choice.is_evacuated;
  cs_forward_fail (forward, rc, now);
}

/* Whether the connection broke when the target had written nothing or little
   of its answer, so that the request may be what ended it.  */
static bool
has_just_begun (const cs_forward_t *forward, int error)
{
  return error == CS_ERR_CUT
         && forward->events.count - forward->events_before
                <= CS_FORWARD_EVENTS_BEGUN;
}

/* Records that the current attempt has ended with ERROR.  */
static void
end_attempt (cs_forward_t *forward, int error, bool was_sent, cs_time_us_t now)
{
  cs_forward_end_wait_for_save (forward);
  if (!was_sent)
    forward->failed_connects++;
  else
    {
      forward->sent_attempts++;
      cs_forward_end_wait (forward, false, now);
      if (error != CS_ERR_REFUSED)
        forward->outcome_unknown = true;
      if (has_just_begun (forward, error))
        cs_crash_check_begin (
            forward->router, forward->target, &forward->causes,
            forward->was_alive ? 0 : now - forward->sent_at, now);
    }
  cs_health_record_result (forward->router, forward->target, error, now);
}

/* Forgets what an attempt has left that another one begins anew.  */
static void
discard_partial_response (cs_forward_t *forward)
{
  cs_event_stream_discard_partial (&forward->events);
  cs_buf_clear (&forward->response_body);
  if (!forward->response_started)
    cs_buf_clear (&forward->response_head);
}

void
cs_forward_attempt_failed (cs_forward_t *forward, int error, bool was_sent,
                           cs_time_us_t now)
{
  if (!was_sent)
    error = CS_ERR_CONNECT;
  end_attempt (forward, error, was_sent, now);
  bool will_retry = cs_forward_take_retry (forward, error, was_sent, now);
  log_failure (forward, error, was_sent,
               will_retry ? "another target" : "give up", now);
  if (!will_retry && error == CS_ERR_TARGET_FAILED)
    {
      cs_forward_send_buffered (forward, now);
      return;
    }
  if (!will_retry)
    {
      cs_forward_fail (forward, error, now);
      return;
    }
  discard_partial_response (forward);
  cs_forward_start_attempt (forward, now);
}

void
cs_forward_move (cs_forward_t *forward, const cs_choice_t *choice,
                 cs_time_us_t now)
{
  cs_connection_t *connection = forward->connection;
  forward->connection = NULL;
  forward->target->in_flight--;
  cs_connection_abort (connection);
  end_attempt (forward, CS_ERR_SILENT, true, now);
  log_failure (forward, CS_ERR_SILENT, true, "another target", now);
  discard_partial_response (forward);
  send_attempt (forward, choice, now);
}
