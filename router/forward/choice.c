/* Choice of the target of an attempt.  */

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

/* Whether the chosen engine has capacity for the request.  A response that has
   been started is always continued.  */
static bool
is_admitted (cs_forward_t *forward, const cs_choice_t *choice,
             cs_time_us_t now)
{
  cs_load_shedder_t *load_shedder = &forward->service->load_shedder;
  if (!forward->route->session_affinity || forward->response_started)
    return true;
  return cs_load_shedder_admits (load_shedder, forward->rank, choice, now);
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
    .at_most_once = !cs_forward_is_repeatable (forward),
    .can_fetch = forward->may_fetch_context,
    .organisation = forward->organisation == NULL
                        ? 0
                        : cs_hash (forward->organisation->name, 0),
    .route = cs_hash (forward->route->name, 1),
    .peers = cs_mesh_count_members (router->mesh),
    .routers = cs_mesh_count_routers (router->mesh),
    .regions = &router->settings.regions,
    .route_regions = &forward->route->allowed_regions,
    .organisation_regions = forward->organisation == NULL
                                ? NULL
                                : &forward->organisation->allowed_regions,
    .evacuations = router->evacuations,
    .avoid_count = forward->tried_count,
  };
  for (uint32_t i = 0; i < forward->tried_count; i++)
    choice_request.avoid[i] = forward->tried_targets[i];
  int rc = cs_chooser_choose (router->chooser, router->fleet, &choice_request,
                              now, choice);
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
  uint64_t preferred = cs_forward_preferred_version (forward);
  int rc = choose_version (forward, preferred, choice, now);
  if (rc != 0 && preferred != forward->version
      && cs_forward_may_change_version (forward, now))
    rc = choose_version (forward, forward->version, choice, now);
  return rc;
}
