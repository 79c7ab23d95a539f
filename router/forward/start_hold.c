/* Holds requests while the router starts, until it can serve them.  */

#include "common/log.h"
#include "router/forward/internal.h"

/* How often a router that starts checks whether it has become ready, or the
   time of a held request is over.  */
#define CHECK_INTERVAL_US (5 * CS_US_PER_MS)
/* Requests that are run or refused before the event loop goes on: 0.5 ms of a
   whole core, and several times that on a small host.  */
#define MAX_PIECE 16

static cs_start_phase_t
current_phase (const cs_router_t *router)
{
  if (router->stopping)
    return CS_START_STOPPING;
  return cs_router_is_ready (router) ? CS_START_READY : CS_START_LEARNING;
}

/* Requests that are going to be rejected run last.  */
static uint32_t
rank_of (const cs_held_request_t *request)
{
  const cs_forward_t *forward = request->owner;
  const cs_routing_t *routing = forward->router->routing;
  const cs_route_t *route = cs_routing_find_route (
      routing, forward->request.host, forward->request.path);
  if (route == NULL)
    return UINT32_MAX;
  const cs_organisation_t *organisation
      = forward->request.key.len == 0
            ? NULL
            : cs_routing_find_key (routing, forward->request.key);
  return cs_routing_rank (routing, route, organisation);
}

static void
log_end (const cs_forward_t *forward, const char *outcome, cs_time_us_t now)
{
  cs_log (CS_EV_REQUEST_HELD, "id=%.*s held_ms=%llu outcome=%s",
          CS_STR_ARG (forward->request.id),
          (unsigned long long)((now - forward->received_at) / CS_US_PER_MS),
          outcome);
}

/* Runs a request that was held, under the present configuration.  */
static void
run (cs_forward_t *forward, cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  router->counters.start_run++;
  log_end (forward, "run", now);
  forward->route = NULL;
  forward->organisation = NULL;
  cs_routing_release (forward->routing);
  forward->routing = cs_routing_reference (router->routing);
  /* The body may have been read before its limit was known.  */
  if (forward->body.len > forward->routing->limits.body_bytes)
    cs_forward_fail (forward, CS_ERR_TOO_LARGE, now);
  else
    cs_forward_run (forward, now);
}

static void
refuse (cs_forward_t *forward, cs_time_us_t now)
{
  forward->router->counters.start_refused++;
  log_end (forward, "refused", now);
  cs_forward_fail (
      forward, forward->router->stopping ? CS_ERR_STOPPING : CS_ERR_NOT_READY,
      now);
}

static void
log_summary (const cs_router_t *router, cs_start_phase_t phase)
{
  const cs_router_counters_t *counters = &router->counters;
  if (counters->start_held + counters->start_beyond == 0)
    return;
  cs_log (CS_EV_START_HOLD_ENDED,
          "ready=%d held=%llu run=%llu refused=%llu left=%llu beyond=%llu",
          phase == CS_START_READY, (unsigned long long)counters->start_held,
          (unsigned long long)counters->start_run,
          (unsigned long long)counters->start_refused,
          (unsigned long long)counters->start_left,
          (unsigned long long)counters->start_beyond);
}

static void
on_check (void *context, cs_time_us_t now)
{
  cs_router_t *router = context;
  cs_start_hold_t *hold = &router->start_hold;
  cs_start_phase_t phase = current_phase (router);
  cs_held_request_t *request = NULL;
  cs_start_hold_verdict_t verdict;
  for (int i = 0; i < MAX_PIECE; i++)
    {
      request = cs_start_hold_next (hold, phase, now, &verdict);
      if (request == NULL)
        break;
      if (verdict == CS_START_HOLD_RUN)
        run (request->owner, now);
      else
        refuse (request->owner, now);
    }
  if (request != NULL)
    cs_timer_set (&router->start_hold_timer, 0);
  else if (cs_start_hold_is_over (hold, phase, now))
    log_summary (router, phase);
  else
    cs_timer_set (&router->start_hold_timer, CHECK_INTERVAL_US);
}

void
cs_forward_start_hold_init (cs_router_t *router, cs_time_us_t started_at)
{
  const cs_router_settings_t *settings = &router->settings;
  cs_start_hold_init (&router->start_hold, started_at,
                      settings->start_hold_ms * CS_US_PER_MS,
                      settings->memory_mb * (1U << 20), rank_of);
  cs_timer_init (&router->start_hold_timer, router->loop, on_check, router);
  if (settings->start_hold_ms > 0)
    cs_timer_set (&router->start_hold_timer, 0);
}

bool
cs_forward_hold (cs_forward_t *forward, cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  if (current_phase (router) != CS_START_LEARNING)
    return false;
  forward->held = (cs_held_request_t){
    .owner = forward,
    .arrived_at = forward->received_at,
    .caller_us = forward->request.deadline_ms * CS_US_PER_MS,
    .body_bytes = forward->body.len,
  };
  int rc = cs_start_hold_add (&router->start_hold, &forward->held, now);
  if (rc == CS_OK)
    router->counters.start_held++;
  else if (rc == CS_ERR_OVERLOADED)
    router->counters.start_beyond++;
  return rc == CS_OK;
}

void
cs_forward_leave_hold (cs_forward_t *forward, cs_time_us_t now)
{
  if (!cs_start_hold_remove (&forward->router->start_hold, &forward->held))
    return;
  forward->router->counters.start_left++;
  log_end (forward, "left", now);
}
