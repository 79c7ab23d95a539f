/* Timeouts, objectives, attempts and sizes that contradict each other, or that
   no request meets.  */

#include "cranberrystile/routing_check.h"

static cs_place_t
route_place (const cs_route_t *route, cs_field_t field)
{
  return (cs_place_t){ CS_PART_ROUTE, route->position, field };
}

static void
check_times (const cs_route_t *route, cs_findings_t *findings)
{
  if (route->timeout_ms == 0)
    {
      cs_findings_add (findings, CS_SEVERITY_ERROR, "timeout_zero",
                       route_place (route, CS_FIELD_TIMEOUT),
                       "the timeout is 0, so every request times out");
      return;
    }
  if (route->latency_objective_ms > route->timeout_ms)
    cs_findings_add (
        findings, CS_SEVERITY_WARNING, "objective_above_timeout",
        route_place (route, CS_FIELD_OBJECTIVE),
        "the objective of %u ms is above the timeout of %u ms, so no "
        "response is ever late",
        route->latency_objective_ms, route->timeout_ms);
  if (route->event_gap_objective_ms > route->timeout_ms)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "gap_above_timeout",
                     route_place (route, CS_FIELD_GAP_OBJECTIVE),
                     "the objective of %u ms between events is above the "
                     "timeout of %u ms",
                     route->event_gap_objective_ms, route->timeout_ms);
}

/* Settings that only event streams have.  */
static void
check_stream_settings (const cs_route_t *route, cs_findings_t *findings)
{
  if (route->kind == CS_ROUTE_STREAMING)
    return;
  if (route->resumable)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "resume_without_stream",
                     route_place (route, CS_FIELD_RESUMABLE),
                     "only streams can be resumed, and the route isn't "
                     "streaming");
  if (route->event_gap_objective_ms > 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "gap_without_stream",
                     route_place (route, CS_FIELD_GAP_OBJECTIVE),
                     "an objective between events has no effect, because the "
                     "route isn't streaming");
}

static void
check_attempts (const cs_route_t *route, cs_findings_t *findings)
{
  bool may_repeat = route->kind == CS_ROUTE_SAFE
                    || (route->kind == CS_ROUTE_STREAMING && route->resumable);
  if (route->max_attempts == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "attempts_zero",
                     route_place (route, CS_FIELD_ATTEMPTS),
                     "0 attempts count as 1");
  if (route->max_attempts > 1 && !may_repeat)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "attempts_not_repeatable",
                     route_place (route, CS_FIELD_ATTEMPTS),
                     "%u attempts on a route that may not repeat requests: "
                     "only requests that a target refused unprocessed are "
                     "sent again",
                     route->max_attempts);
}

/* Length in bytes of the shortest head of a request that ROUTE serves, which
   has a short method and only the field Host.  */
static size_t
min_head_bytes (const cs_route_t *route)
{
  static const char fixed[] = "GET  HTTP/1.1\r\nHost:\r\n\r\n";
  size_t path_len = route->prefix.len == 0 ? 1 : route->prefix.len;
  return sizeof fixed - 1 + path_len + route->host.len;
}

static void
check_head_limit (const cs_routing_t *routing, cs_findings_t *findings)
{
  uint32_t limit = routing->limits.head_bytes;
  size_t passing = 0;
  for (size_t i = 0; i < routing->route_count; i++)
    if (min_head_bytes (&routing->routes[i]) <= limit)
      passing++;
  cs_place_t place = { CS_PART_LIMITS, 0, CS_FIELD_HEAD_BYTES };
  if (routing->route_count > 0 && passing == 0)
    {
      cs_findings_add (findings, CS_SEVERITY_ERROR, "head_limit_too_low",
                       place,
                       "no request of any route has a head of at most %u "
                       "bytes",
                       limit);
      return;
    }
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const cs_route_t *route = &routing->routes[i];
      if (min_head_bytes (route) > limit)
        cs_findings_add (findings, CS_SEVERITY_ERROR, "route_above_head_limit",
                         route_place (route, CS_FIELD_PREFIX),
                         "the head of each request has at least %zu bytes, "
                         "above the limit of %u",
                         min_head_bytes (route), limit);
    }
}

static void
check_caller_limits (const cs_routing_t *routing, cs_findings_t *findings)
{
  const cs_caller_limits_t *limits = &routing->limits;
  cs_place_t place = { CS_PART_LIMITS, 0, CS_FIELD_BODY_BYTES };
  if (limits->body_bytes == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "body_limit_zero", place,
                     "every request with a body is refused");
  place.field = CS_FIELD_HEAD_TIMEOUT;
  if (limits->head_timeout_ms == 0)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "head_timeout_zero", place,
                     "a request whose head arrives in two parts is refused");
  place.field = CS_FIELD_IDLE_TIMEOUT;
  if (limits->idle_timeout_ms == 0)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "idle_timeout_zero", place,
                     "a connection is closed unless its request has arrived "
                     "already");
}

void
cs_routing_check_limits (const cs_routing_t *routing, cs_findings_t *findings)
{
  for (size_t i = 0; i < routing->route_count; i++)
    {
      check_times (&routing->routes[i], findings);
      check_stream_settings (&routing->routes[i], findings);
      check_attempts (&routing->routes[i], findings);
    }
  check_head_limit (routing, findings);
  check_caller_limits (routing, findings);
}
