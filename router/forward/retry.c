/* Retries of a request: whether there may be one, and when the target has been
   silent for so long that another one is tried.  */

#include "common/log.h"
#include "cranberrystile/silence.h"
#include "router/forward/internal.h"
#include "router/health.h"
#include "router/mesh.h"

/* Failed connection attempts per request.  They put no load on targets, but
   each one delays the caller.  */
#define MAX_FAILED_CONNECTS 4
/* Fraction of the fleet's retry slack that routers divide among themselves;
   the rest covers routers that joined too recently to be counted.  */
#define RETRY_SLACK_SHARE 0.75
/* How often another target is looked for while the current one is silent.  */
#define SILENCE_RECHECK_US (250 * CS_US_PER_MS)

static cs_time_us_t
latest (cs_time_us_t a, cs_time_us_t b)
{
  return a > b ? a : b;
}

cs_time_us_t
cs_forward_silence_deadline (const cs_forward_t *forward)
{
  cs_silence_t silence
      = { .sent_at = latest (forward->sent_at, forward->unpaused_at),
          .event_at
          = forward->last_event_at == 0
                ? 0
                : latest (forward->last_event_at, forward->unpaused_at),
          .last_received_at = forward->target->last_received_at };
  return cs_silence_deadline (forward->route, &silence);
}

/* Whether the request may be retried after an attempt that ended with ERROR,
   apart from the retry budget.  */
static bool
is_retry_possible (const cs_forward_t *forward, int error, bool was_sent,
                   uint32_t sent_attempts, cs_time_us_t now)
{
  if (forward->tried_count == CS_CHOICE_MAX_AVOIDED
      || cs_forward_remaining_ms (forward, now) == 0)
    return false;
  /* A started response can be resumed only if it is an event stream with
     event ids.  */
  if (forward->response_started
      && (!forward->is_event_stream || forward->events.last_id.len == 0))
    return false;
  if (!was_sent)
    return forward->failed_connects < MAX_FAILED_CONNECTS;
  if (sent_attempts >= forward->route->max_attempts)
    return false;
  return error == CS_ERR_REFUSED || cs_forward_is_repeatable (forward);
}

/* This router's share of the retries that the fleet may make.  */
static cs_retry_share_t
retry_share (const cs_forward_t *forward, cs_time_us_t now)
{
  const cs_router_t *router = forward->router;
  double allowance = router->settings.retry_slack * RETRY_SLACK_SHARE
                     / (1.0 + cs_mesh_count_members (router->mesh));
  cs_time_us_t age_us;
  if (!cs_mesh_has_restarted (router->mesh, now, &age_us))
    return (cs_retry_share_t){ 1, allowance };
  return cs_retry_window_restart_share (&forward->service->retry_window,
                                        allowance, age_us);
}

static bool
take_from_budget (cs_forward_t *forward, cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  if (cs_retry_window_take (&forward->service->retry_window,
                            retry_share (forward, now), now))
    {
      router->counters.repeats++;
      return true;
    }
  if (!forward->is_silent)
    router->counters.repeats_denied++;
  return false;
}

bool
cs_forward_take_retry (cs_forward_t *forward, int error, bool was_sent,
                       cs_time_us_t now)
{
  if (!is_retry_possible (forward, error, was_sent, forward->sent_attempts,
                          now))
    return false;
  return !was_sent || take_from_budget (forward, now);
}

static void
log_silence (const cs_forward_t *forward, cs_time_us_t now)
{
  if (forward->is_silent)
    return;
  cs_log (CS_EV_TARGET_SILENT, "id=%.*s target=%s silent_ms=%llu events=%llu",
          CS_STR_ARG (forward->request.id), forward->target->id.text,
          (unsigned long long)((now - forward->target->last_received_at)
                               / CS_US_PER_MS),
          (unsigned long long)forward->events.count);
}

void
cs_forward_check_silence (void *context, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  cs_time_us_t deadline = cs_forward_silence_deadline (forward);
  cs_choice_t choice;
  if (forward->connection == NULL)
    return;
  /* While the caller doesn't read, nothing is read from the target.  */
  if (forward->paused && !forward->is_held)
    {
      cs_timer_set (&forward->watchdog, SILENCE_RECHECK_US);
      return;
    }
  if (now < deadline)
    {
      forward->watchdog_overdue.since = 0;
      forward->is_silent = false;
      cs_timer_set (&forward->watchdog, deadline - now);
      return;
    }
  if (cs_forward_read_first (forward, &forward->watchdog,
                             &forward->watchdog_overdue, now))
    return;
  log_silence (forward, now);
  if (is_retry_possible (forward, CS_ERR_SILENT, true,
                         forward->sent_attempts + 1, now)
      && cs_forward_choose (forward, &choice, now) == CS_OK
      && take_from_budget (forward, now))
    {
      cs_forward_move (forward, &choice, now);
      return;
    }
  /* The target may still answer, and nobody else can now.  The failure is
     recorded so that other requests avoid the target.  */
  if (!forward->is_silent)
    cs_health_record_result (forward->router, forward->target, CS_ERR_SILENT,
                             now);
  forward->is_silent = true;
  cs_timer_set (&forward->watchdog, SILENCE_RECHECK_US);
}
