/* Choice of the target of an attempt.  */

#include "common/log.h"
#include "router/cold.h"
#include "router/forward/internal.h"
#include "router/mesh.h"

bool
cs_forward_is_repeatable (const cs_forward_t *forward)
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

uint32_t
cs_forward_remaining_ms (const cs_forward_t *forward, cs_time_us_t now)
{
  if (forward->deadline <= now)
    return 0;
  return (uint32_t)((forward->deadline - now) / CS_US_PER_MS);
}

static uint64_t
organisation_hash (const cs_forward_t *forward)
{
  return forward->organisation == NULL
             ? 0
             : cs_hash (forward->organisation->name, 0);
}

static uint64_t
route_hash (const cs_forward_t *forward)
{
  return cs_hash (forward->route->name, 1);
}

static void
record_refusal (const cs_forward_t *forward, const cs_choice_t *choice,
                const cs_contention_request_t *request,
                const cs_contention_decision_t *decision)
{
  cs_router_counters_t *counters = &forward->router->counters;
  if (decision->verdict == CS_CONTENTION_TOO_LATE)
    counters->refused_too_late++;
  else
    counters->refused_beyond_share++;
  cs_log (
      CS_EV_CALL_REFUSED,
      "id=%.*s service=%s organisation=%.*s why=%s rank=%u expected_ms=%llu "
      "remaining_ms=%llu objective_ms=%llu recent=%.1f share=%.1f "
      "work_ms=%.1f target=%s times=%.2f mean_times=%.2f load=%u "
      "mean=%.1f slots=%.1f live=%u",
      CS_STR_ARG (forward->request.id), forward->service->name.text,
      forward->organisation == NULL ? 0 : (int)forward->organisation->name.len,
      forward->organisation == NULL ? "" : forward->organisation->name.data,
      cs_contention_verdict_name (decision->verdict), forward->rank,
      (unsigned long long)(decision->expected_us / CS_US_PER_MS),
      (unsigned long long)(request->remaining_us / CS_US_PER_MS),
      (unsigned long long)(request->objective_us / CS_US_PER_MS),
      decision->recent, decision->share,
      cs_contention_expected_us (&forward->service->contention, request->route,
                                 1, 0)
          / CS_US_PER_MS,
      choice->target->id.text, choice->expected, choice->mean_expected,
      choice->load, choice->mean_calls, choice->mean_slots, choice->live);
}

/* Whether a request of a plain service is sent.  Where no time was estimated,
   all are.  One whose target is silent was admitted.  */
static bool
is_call_admitted (cs_forward_t *forward, const cs_choice_t *choice,
                  cs_time_us_t now)
{
  if (choice->expected == 0 || forward->connection != NULL)
    return true;
  uint32_t last_rank = cs_routing_rank_count (forward->routing) - 1;
  cs_contention_request_t request = {
    .organisation = organisation_hash (forward),
    .urgency = last_rank == 0 ? 0 : 1 - (double)forward->rank / last_rank,
    .remaining_us = forward->deadline > now ? forward->deadline - now : 0,
    .objective_us = forward->route->latency_objective_ms * CS_US_PER_MS,
    .is_retry = forward->attempt_count > 0,
    .route = route_hash (forward),
  };
  cs_contention_load_t load = {
    .expected = choice->expected,
    .mean_expected = choice->mean_expected,
    .mean_calls = choice->mean_calls,
    .slots = choice->mean_slots,
    .wait = choice->wait,
    .mean_wait = choice->mean_wait,
  };
  cs_contention_decision_t decision = cs_contention_decide (
      &forward->service->contention, &request, &load, now);
  if (decision.verdict == CS_CONTENTION_SENT)
    return true;
  record_refusal (forward, choice, &request, &decision);
  return false;
}

/* Whether the service has capacity for the request.  A response that has been
   started is always continued.  */
static bool
is_admitted (cs_forward_t *forward, const cs_choice_t *choice,
             cs_time_us_t now)
{
  cs_load_shedder_t *load_shedder = &forward->service->load_shedder;
  if (forward->response_started)
    return true;
  if (!forward->route->session_affinity)
    return is_call_admitted (forward, choice, now);
  return cs_load_shedder_admits (load_shedder, forward->rank, choice, now);
}

void
cs_forward_record_time (const cs_forward_t *forward, cs_time_us_t now)
{
  cs_contention_t *contention = &forward->service->contention;
  cs_time_us_t took_us = now - forward->sent_at;
  const cs_choice_t *choice = &forward->choice;
  uint64_t route = route_hash (forward);
  if (choice->expected == 0 || !cs_http_is_success (forward->status))
    return;
  double expected_us = cs_contention_expected_us (
      contention, route, choice->expected, choice->wait);
  if (expected_us > 0)
    cs_slowness_record_ratio (&forward->target->slowness,
                              (double)took_us / expected_us, now);
  cs_contention_record (contention, route, choice->expected, choice->wait,
                        took_us, now);
}

/* Chooses a target of VERSION that has capacity for the request; 0: of any. */
static int
choose_version (cs_forward_t *forward, uint64_t version, cs_choice_t *choice,
                cs_time_us_t now)
{
  cs_router_t *router = forward->router;
  cs_choice_request_t choice_request = {
    .service = cs_name_str (&forward->service->name),
    .data_centre = cs_str (router->settings.data_centre),
    .context
    = forward->route->session_affinity ? &forward->request.context : NULL,
    .version = version,
    .prefer_local = forward->failed_connects > 0,
    .is_plain = forward->is_plain && !forward->route->session_affinity,
    .estimates_time = router->settings.has_contention,
    .at_most_once = !cs_forward_is_repeatable (forward),
    .can_fetch = forward->may_fetch_context,
    .organisation = organisation_hash (forward),
    .route = route_hash (forward),
    .peers = cs_mesh_count_members (router->mesh),
    .routers = cs_mesh_count_routers (router->mesh),
    .regions = &router->settings.regions,
    .route_regions = &forward->route->regions,
    .organisation_regions
    = forward->organisation == NULL ? NULL : &forward->organisation->regions,
    .evacuations = router->evacuations,
    .avoid_count = forward->tried_count,
  };
  for (uint32_t i = 0; i < forward->tried_count; i++)
    choice_request.avoid[i] = forward->tried_targets[i];
  cs_cold_update (router, now);
  int rc = cs_chooser_choose (router->chooser, router->fleet, &choice_request,
                              now, choice);
  router->counters.cold_avoided += choice->avoided_cold;
  if (rc != 0)
    {
      if (forward->connection == NULL)
        forward->available_at = choice->available_at;
      return rc;
    }
  return is_admitted (forward, choice, now) ? CS_OK : CS_ERR_OVERLOADED;
}

int
cs_forward_choose (cs_forward_t *forward, cs_choice_t *choice,
                   cs_time_us_t now)
{
  cs_time_us_t blocked_until;
  if (cs_quarantine_blocks (forward->router->quarantine, &forward->causes, now,
                            &blocked_until))
    {
      if (forward->connection == NULL)
        forward->available_at = blocked_until;
      return CS_ERR_BLOCKED_PART;
    }
  if (forward->route->session_affinity && !forward->response_started
      && forward->connection == NULL)
    cs_load_shedder_record (&forward->service->load_shedder, forward->rank,
                            now);
  uint64_t preferred = cs_forward_preferred_version (forward, now);
  int rc = choose_version (forward, preferred, choice, now);
  if (rc != 0 && preferred != forward->version
      && cs_forward_may_change_version (forward, now))
    rc = choose_version (forward, forward->version, choice, now);
  return rc;
}
