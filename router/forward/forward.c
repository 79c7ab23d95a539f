#include "router/forward.h"

#include <stdlib.h>

#include "common/log.h"
#include "cranberrystile/error_response.h"
#include "cranberrystile/fingerprint.h"
#include "http/response.h"
#include "platform/prompt.h"
#include "router/caller.h"
#include "router/forward/internal.h"

/* Retry-After for rejected callers, in seconds; a random part of up to the
   same length is added so that callers do not return together.  A target
   works through its queue in about this time.  */
#define RETRY_AFTER_S 0.4
/* Retry-After is at most this fraction of the caller's remaining time.  */
#define RETRY_AFTER_SHARE (1.0 / 3)

/* Copying context is worth it only below this time per token: engines process
   hundreds of tokens per millisecond at best.  */
#define MAX_FETCH_US_PER_TOKEN 5.0

static void
log_request (const cs_forward_t *forward, const char *outcome, int status,
             cs_time_us_t now)
{
  cs_time_us_t first = forward->first_byte_at == 0
                           ? 0
                           : forward->first_byte_at - forward->received_at;
  cs_log (
      CS_EV_REQUEST_DONE,
      "id=%.*s route=%.*s organisation=%.*s version=%llu target=%s "
      "target_version=%llx resumes=%.*s last_event=%.*s why=%s source=%s "
      "load=%u mean=%.1f live=%u rank=%u tries=%u "
      "connects_failed=%u "
      "first_ms=%llu total_ms=%llu status=%d outcome=%s",
      CS_STR_ARG (forward->request.id),
      forward->route == NULL ? 0 : (int)forward->route->name.len,
      forward->route == NULL ? "" : forward->route->name.data,
      forward->organisation == NULL ? 0 : (int)forward->organisation->name.len,
      forward->organisation == NULL ? "" : forward->organisation->name.data,
      forward->routing == NULL ? 0ULL
                               : (unsigned long long)forward->routing->version,
      forward->target == NULL ? "" : forward->target->id.text,
      forward->target == NULL ? 0ULL
                              : (unsigned long long)forward->target->version,
      CS_STR_ARG (forward->request.resumes),
      CS_STR_ARG (forward->request.last_event_id),
      cs_choice_reason_name (forward->choice.reason),
      forward->source == NULL ? "" : forward->source->id.text,
      forward->choice.load, forward->choice.mean, forward->choice.live,
      forward->rank, forward->attempt_count, forward->failed_connects,
      (unsigned long long)(first / CS_US_PER_MS),
      (unsigned long long)((now - forward->received_at) / CS_US_PER_MS),
      status, outcome);
}

static void
destroy (cs_forward_t *forward)
{
  cs_timer_clear (&forward->deadline_timer);
  cs_timer_clear (&forward->watchdog);
  cs_timer_clear (&forward->hold_timer);
  cs_forward_leave_hold (forward, cs_loop_now (forward->router->loop));
  cs_stream_versions_cancel (forward->router->stream_versions,
                             &forward->lookup);
  cs_stream_versions_end_wait (forward->router->stream_versions,
                               &forward->save);
  if (forward->connection != NULL)
    {
      cs_forward_end_wait (forward, false,
                           cs_loop_now (forward->router->loop));
      forward->target->in_flight--;
      cs_connection_abort (forward->connection);
    }
  for (uint32_t i = 0; i < forward->tried_count; i++)
    cs_target_release (forward->tried_targets[i]);
  cs_target_release (forward->source);
  cs_http_head_free (&forward->head);
  cs_id_list_free (&forward->causes.parts);
  forward->router->body_bytes -= forward->body.len;
  cs_buf_free (&forward->body);
  cs_buf_free (&forward->response_head);
  cs_buf_free (&forward->response_body);
  cs_event_stream_free (&forward->events);
  cs_routing_release (forward->routing);
  forward->router->in_flight--;
  free (forward);
}

void
cs_forward_complete (cs_forward_t *forward, bool close, cs_time_us_t now)
{
  cs_caller_t *caller = forward->caller;
  forward->router->counters.answers_passed++;
  if (cs_forward_is_resumable (forward))
    cs_stream_versions_end (forward->router->stream_versions, forward->stream,
                            now);
  cs_latency_add (&forward->router->total, now - forward->received_at);
  log_request (forward, "passed", forward->status, now);
  destroy (forward);
  cs_caller_complete (caller, close);
}

/* Value of Retry-After, in seconds.  */
static double
retry_after_s (cs_forward_t *forward, cs_time_us_t now)
{
  double retry_after
      = RETRY_AFTER_S * (1.0 + cs_random_unit (&forward->router->random));
  /* Stated as it is, also beyond the caller's deadline: a caller that came
     earlier would be refused again.  */
  if (forward->available_at > now)
    return retry_after + (double)(forward->available_at - now) / CS_US_PER_S;
  cs_time_us_t caller_deadline
      = forward->received_at + forward->request.deadline_ms * CS_US_PER_MS;
  if (forward->request.deadline_ms == 0)
    return retry_after;
  double remaining_s = caller_deadline <= now
                           ? 0
                           : (double)(caller_deadline - now) / CS_US_PER_S;
  double max_after = remaining_s * RETRY_AFTER_SHARE;
  return retry_after < max_after ? retry_after : max_after;
}

static void
send_error (cs_forward_t *forward, int error, cs_time_us_t now)
{
  const cs_error_response_t *error_response = cs_error_response_for (error);
  cs_caller_t *caller = forward->caller;
  bool close = cs_caller_should_close (caller);
  bool is_head = cs_str_equal (forward->head.method, cs_str ("HEAD"));
  cs_buf_t fields = { 0 };
  cs_buf_t body = { 0 };
  cs_buf_t response = { 0 };
  double retry_after = error_response->advice == CS_RETRY_ADVICE_LATER
                           ? retry_after_s (forward, now)
                           : 0;
  int rc = cs_buf_printf (
      &fields, "%s: %.*s\r\n%s", cs_headers_request_id_name (),
      CS_STR_ARG (forward->request.id), "Content-Type: application/json\r\n");
  if (rc == 0 && retry_after > 0)
    rc = cs_buf_printf (&fields, "Retry-After: %.3f\r\n", retry_after);
  if (rc == 0 && !close)
    rc = cs_caller_write_connection_fields (caller, false, &fields);
  if (rc == 0)
    rc = cs_error_response_body (error, (cs_str_t){ NULL, 0 },
                                 forward->request.id,
                                 (uint32_t)(retry_after + 1), &body);
  if (rc == 0)
    rc = cs_http_write_response (error_response->status, cs_buf_str (&fields),
                                 cs_buf_str (&body), is_head, close,
                                 &response);
  if (rc == 0)
    cs_caller_send (caller, cs_buf_str (&response));
  log_request (forward, cs_error_name (error), error_response->status, now);
  destroy (forward);
  if (rc == 0)
    cs_caller_complete (caller, close);
  else
    cs_caller_abort (caller, false);
  cs_buf_free (&fields);
  cs_buf_free (&body);
  cs_buf_free (&response);
}

void
cs_forward_fail (cs_forward_t *forward, int error, cs_time_us_t now)
{
  cs_caller_t *caller = forward->caller;
  cs_forward_end_wait_for_save (forward);
  /* The response may state that the request did not run only if no target
     can have executed it.  */
  if (forward->outcome_unknown
      && cs_error_response_for (error)->ran == CS_RAN_NO)
    error = CS_ERR_CUT;
  forward->router->counters.failed[-error]++;
  if (!forward->response_started)
    {
      send_error (forward, error, now);
      return;
    }
  bool ends_at_close = forward->head.minor == 0;
  forward->router->counters.streams_cut++;
  log_request (forward, cs_error_name (error), forward->status, now);
  destroy (forward);
  cs_caller_abort (caller, ends_at_close);
}

bool
cs_forward_read_first (cs_forward_t *forward, cs_timer_t *timer,
                       cs_overdue_t *overdue, cs_time_us_t now)
{
  if (!cs_overdue_may_read (overdue, now))
    return false;
  cs_timer_set (timer, 0);
  if (cs_connection_read (forward->connection))
    return true;
  cs_timer_clear (timer);
  return false;
}

static void
on_deadline (void *context, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  bool attempt_in_flight = forward->connection != NULL;
  if (attempt_in_flight
      && cs_forward_read_first (forward, &forward->deadline_timer,
                                &forward->deadline_overdue, now))
    return;
  forward->outcome_unknown = forward->outcome_unknown || attempt_in_flight;
  cs_forward_fail (forward,
                   attempt_in_flight ? CS_ERR_SILENT : CS_ERR_DEADLINE, now);
}

/* Resolves the route, organisation and service of the request.  Returns 0 or
   the error to respond with.  */
static int
resolve_route (cs_forward_t *forward)
{
  cs_router_t *router = forward->router;
  const char *reason = "";
  int rc
      = cs_headers_read_request (&forward->head, &forward->request, &reason);
  if (rc != 0)
    return rc;
  if (forward->routing == NULL
      || !cs_evacuations_may_serve (router->evacuations))
    return CS_ERR_NOT_READY;
  forward->route = cs_routing_find_route (
      forward->routing, forward->request.host, forward->request.path);
  if (forward->route == NULL)
    return CS_ERR_NOT_FOUND;
  if (forward->request.key.len > 0)
    forward->organisation
        = cs_routing_find_key (forward->routing, forward->request.key);
  if (forward->organisation == NULL && !forward->route->is_public
      && forward->routing->organisation_count > 0)
    return CS_ERR_UNAUTHORISED;
  forward->rank = cs_routing_rank (forward->routing, forward->route,
                                   forward->organisation);
  const cs_service_t *service = cs_routing_pick_service (
      forward->routing, forward->route, cs_random_unit (&router->random));
  if (service == NULL)
    return CS_ERR_NO_TARGET;
  forward->is_plain = service->slots == 0;
  forward->may_fetch_context
      = service->kv_transfer_us_per_token > 0
        && service->kv_transfer_us_per_token <= MAX_FETCH_US_PER_TOKEN;
  forward->service = cs_service_table_get (&router->services, service->name);
  return forward->service == NULL ? CS_ERR_NO_MEMORY : CS_OK;
}

static uint64_t
fingerprint (const cs_forward_t *forward)
{
  cs_fingerprint_request_t request = {
    .method = forward->head.method,
    .host = forward->request.host,
    .target = forward->head.target,
    .body = cs_buf_str (&forward->body),
  };
  if (forward->organisation != NULL)
    request.organisation = forward->organisation->name;
  return cs_fingerprint (&request);
}

static void
set_deadline_timer (cs_forward_t *forward, cs_time_us_t now)
{
  uint32_t limit_ms = forward->route->timeout_ms;
  if (forward->request.deadline_ms > 0
      && forward->request.deadline_ms < limit_ms)
    limit_ms = forward->request.deadline_ms;
  forward->deadline = forward->received_at + limit_ms * CS_US_PER_MS;
  cs_timer_set (&forward->deadline_timer,
                forward->deadline > now ? forward->deadline - now : 0);
}

/* Whether the router, which is stopping, might have to abort the request.  It
   has not run, so its caller can send it to another router.  */
static bool
may_outlast_stop (const cs_forward_t *forward, cs_time_us_t now)
{
  const cs_router_t *router = forward->router;
  return router->stopping && now >= router->accepts_until
         && forward->deadline >= router->aborts_at;
}

cs_forward_t *
cs_forward_create (cs_router_t *router, cs_caller_t *caller,
                   cs_http_head_t *head, cs_buf_t *body, cs_time_us_t now)
{
  cs_forward_t *forward = calloc (1, sizeof *forward);
  if (forward == NULL)
    return NULL;
  forward->router = router;
  forward->caller = caller;
  forward->head = *head;
  forward->body = *body;
  *head = (cs_http_head_t){ 0 };
  *body = (cs_buf_t){ 0 };
  forward->received_at = now;
  forward->routing = cs_routing_reference (router->routing);
  cs_timer_init (&forward->deadline_timer, router->loop, on_deadline, forward);
  cs_timer_init (&forward->hold_timer, router->loop, cs_forward_check_hold,
                 forward);
  cs_timer_init (&forward->watchdog, router->loop, cs_forward_check_silence,
                 forward);
  router->in_flight++;
  router->counters.requests++;
  return forward;
}

void
cs_forward_run (cs_forward_t *forward, cs_time_us_t now)
{
  int rc = resolve_route (forward);
  if ((rc == CS_OK || rc == CS_ERR_NOT_READY)
      && cs_forward_hold (forward, now))
    return;
  if (rc != 0)
    {
      cs_forward_fail (forward, rc, now);
      return;
    }
  forward->fingerprint = fingerprint (forward);
  forward->causes.requests = (cs_id_list_t){ &forward->fingerprint, 1, 0 };
  rc = cs_prompt_parts_parse (forward->request.prompt, &forward->causes.parts);
  if (rc != 0)
    {
      cs_forward_fail (forward, rc, now);
      return;
    }
  set_deadline_timer (forward, now);
  if (may_outlast_stop (forward, now))
    {
      cs_forward_fail (forward, CS_ERR_STOPPING, now);
      return;
    }
  /* Its time passed while it was held.  */
  if (forward->received_at < now && forward->deadline <= now)
    {
      cs_forward_fail (forward, CS_ERR_DEADLINE, now);
      return;
    }
  cs_forward_find_version (forward, now);
}

void
cs_forward_reject (cs_forward_t *forward, int error, cs_time_us_t now)
{
  const char *reason = "";
  /* The request is rejected whether or not its head is valid.  Reading the
     head provides the request id for the response.  */
  (void)cs_headers_read_request (&forward->head, &forward->request, &reason);
  cs_forward_fail (forward, error, now);
}

void
cs_forward_abandon (cs_forward_t *forward)
{
  cs_time_us_t now = cs_loop_now (forward->router->loop);
  forward->router->counters.callers_gone++;
  log_request (forward, cs_error_name (CS_ERR_CALLER_GONE), 0, now);
  destroy (forward);
}

void
cs_forward_drained (cs_forward_t *forward)
{
  if (!forward->paused)
    return;
  forward->paused = false;
  forward->unpaused_at = cs_loop_now (forward->router->loop);
  if (forward->connection != NULL)
    cs_connection_pause (forward->connection, false);
}
