/* The tries of a request: where it is sent, and what follows a failure.  */

#include "common/log.h"
#include "cranberrystile/silence.h"
#include "router/forward/internal.h"
#include "router/health.h"
#include "router/mesh.h"

/* Tries that found no connection; those cost the targets nothing, but each one
   costs the caller time.  */
#define CONNECTS_MOST 4
/* Routers that joined a moment ago are not counted yet.  */
#define SLACK_SHARE 0.75

static bool
is_repeatable (const cs_forward_t *forward)
{
  switch (forward->route->kind)
    {
    case CS_ROUTE_SAFE:
      return true;
    case CS_ROUTE_STREAMING:
      return forward->route->resumable;
    case CS_ROUTE_UNSAFE:
      break;
    }
  return false;
}

static uint32_t
milliseconds_left (const cs_forward_t *forward, cs_time_us_t now)
{
  if (forward->give_up <= now)
    return 0;
  return (uint32_t)((forward->give_up - now) / CS_US_PER_MS);
}

static void
remember_tried (cs_forward_t *forward)
{
  if (forward->tried_count < CS_CHOICE_MAX_AVOIDED)
    forward->tried[forward->tried_count++]
        = cs_target_reference (forward->target);
}

/* Whether the request carries a body, be it empty.  */
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
    .deadline_ms = milliseconds_left (forward, now),
    .rank = forward->rank,
    .ranks
    = forward->route->has_context ? cs_routing_ranks (forward->routing) : 0,
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
    .fresh = !is_repeatable (forward),
  };
  forward->connection
      = cs_connection_send (&router->scope, target, &request,
                            &cs_forward_connection_handlers, forward);
  if (forward->connection == NULL)
    rc = CS_ERR_CONNECT;
out:
  cs_buf_free (&head);
  return rc;
}

static cs_time_us_t
silence_limit (const cs_forward_t *forward)
{
  cs_silence_t silence = { .sent_at = forward->sent_at,
                           .event_at = forward->event_at,
                           .heard_at = forward->target->heard_at };
  return cs_silence_limit (forward->route, &silence);
}

/* The source may leave the fleet before the request ends, whose log line names
   it.  */
static void
keep_source (cs_forward_t *forward)
{
  cs_target_release (forward->source);
  forward->source = forward->choice.source;
  if (forward->source != NULL)
    cs_target_reference (forward->source);
}

/* Whether the engine that was chosen should get the request.  A stream that
   has begun goes on in any case.  */
static bool
has_room (cs_forward_t *forward, cs_time_us_t now)
{
  cs_urgency_t *urgency = &forward->service->urgency;
  if (!forward->route->has_context || forward->begun)
    return true;
  cs_urgency_seen (urgency, forward->rank, now);
  return cs_urgency_has_room (urgency, forward->rank, &forward->choice);
}

void
cs_forward_try (cs_forward_t *forward, cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  cs_choice_request_t ask = {
    .service = cs_name_str (&forward->service->name),
    .data_centre = cs_str (router->settings.data_centre),
    .context = forward->route->has_context ? &forward->request.context : NULL,
    .prefer_local = forward->connects > 0,
    .at_most_once = !is_repeatable (forward),
    .can_fetch = forward->may_fetch,
    .avoid_count = forward->tried_count,
  };
  for (uint32_t i = 0; i < forward->tried_count; i++)
    ask.avoid[i] = forward->tried[i];
  int rc = cs_chooser_choose (router->chooser, router->fleet, &ask, now,
                              &forward->choice);
  if (rc != 0)
    {
      cs_forward_fail (forward, rc, now);
      return;
    }
  if (!has_room (forward, now))
    {
      cs_forward_fail (forward, CS_ERR_OVERLOADED, now);
      return;
    }
  keep_source (forward);
  forward->target = forward->choice.target;
  forward->tries++;
  remember_tried (forward);
  rc = send_to_target (forward, now);
  if (rc != 0)
    {
      cs_forward_try_failed (forward, rc, false, now);
      return;
    }
  forward->target->in_flight++;
  forward->sent_at = now;
  forward->event_at = 0;
  cs_timer_set (&forward->watchdog, silence_limit (forward) - now);
  router->counters.attempts++;
}

/* Whether the request itself allows another try after one that ended with
   ERROR; the budget is asked apart.  */
static bool
allows_another_try (const cs_forward_t *forward, int error, bool was_sent,
                    uint32_t sends, cs_time_us_t now)
{
  if (forward->tried_count == CS_CHOICE_MAX_AVOIDED
      || milliseconds_left (forward, now) == 0)
    return false;
  /* Only a stream with numbered events can be taken up in its middle.  */
  if (forward->begun
      && (!forward->is_events || forward->events.last_id.len == 0))
    return false;
  if (!was_sent)
    return forward->connects < CONNECTS_MOST;
  if (sends >= forward->route->attempts_most)
    return false;
  return error == CS_ERR_REFUSED || is_repeatable (forward);
}

void
cs_forward_check_silence (void *context, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  cs_time_us_t limit = silence_limit (forward);
  if (forward->connection == NULL)
    return;
  if (now < limit)
    {
      cs_timer_set (&forward->watchdog, limit - now);
      return;
    }
  cs_log (
      CS_EV_TARGET_SILENT, "id=%.*s target=%s silent_ms=%llu events=%llu",
      CS_STR_ARG (forward->request.id), forward->target->id.text,
      (unsigned long long)((now - forward->target->heard_at) / CS_US_PER_MS),
      (unsigned long long)forward->events.count);
  if (!allows_another_try (forward, CS_ERR_SILENT, true, forward->sends + 1,
                           now))
    {
      /* Nothing better than to wait on; others avoid the target.  */
      cs_health_ended (forward->router, forward->target, CS_ERR_SILENT, now);
      return;
    }
  cs_connection_t *connection = forward->connection;
  forward->connection = NULL;
  forward->target->in_flight--;
  cs_connection_abort (connection);
  cs_forward_try_failed (forward, CS_ERR_SILENT, true, now);
}

/* This router's part of the repeats that the fleet may make beside its
   ratio.  */
static double
allowance (const cs_router_t *router)
{
  return router->settings.retry_slack * SLACK_SHARE
         / (1.0 + cs_mesh_count_members (router->mesh));
}

static bool
may_try_again (cs_forward_t *forward, int error, bool was_sent,
               cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  if (!allows_another_try (forward, error, was_sent, forward->sends, now))
    return false;
  if (!was_sent)
    return true;
  if (cs_retry_window_take (&forward->service->repeats, allowance (router),
                            now))
    {
      router->counters.repeats++;
      return true;
    }
  router->counters.repeats_denied++;
  return false;
}

void
cs_forward_try_failed (cs_forward_t *forward, int error, bool was_sent,
                       cs_time_us_t now)
{
  if (!was_sent)
    {
      error = CS_ERR_CONNECT;
      forward->connects++;
    }
  else
    {
      forward->sends++;
      if (error != CS_ERR_REFUSED)
        forward->outcome_unknown = true;
    }
  cs_health_ended (forward->router, forward->target, error, now);
  bool again = may_try_again (forward, error, was_sent, now);
  cs_log (CS_EV_ATTEMPT_FAILED,
          "id=%.*s target=%s error=%s sent=%d events=%llu next=%s",
          CS_STR_ARG (forward->request.id), forward->target->id.text,
          cs_error_name (error), was_sent,
          (unsigned long long)forward->events.count,
          again ? "another target" : "give up");
  if (!again && error == CS_ERR_TARGET_FAILED)
    {
      cs_forward_pass_whole (forward, now);
      return;
    }
  if (!again)
    {
      cs_forward_fail (forward, error, now);
      return;
    }
  if (forward->begun)
    forward->router->counters.streams_resumed++;
  cs_event_stream_discard_partial (&forward->events);
  cs_buf_clear (&forward->answer_body);
  if (!forward->begun)
    cs_buf_clear (&forward->answer_head);
  cs_forward_try (forward, now);
}
