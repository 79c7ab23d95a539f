#include "placement/candidates.h"

#include <stdlib.h>

#include "common/error.h"

void
candidates_free (candidates_t *candidates)
{
  free (candidates->targets);
  free (candidates->members);
}

int
candidates_reserve (candidates_t *candidates, const cs_fleet_t *fleet)
{
  size_t count;
  cs_fleet_targets (fleet, &count);
  if (count <= candidates->capacity)
    return CS_OK;
  cs_target_t **targets
      = realloc (candidates->targets, count * sizeof (cs_target_t *));
  if (targets == NULL)
    return CS_ERR_NO_MEMORY;
  candidates->targets = targets;
  cs_rank_member_t *members
      = realloc (candidates->members, count * sizeof *members);
  if (members == NULL)
    return CS_ERR_NO_MEMORY;
  candidates->members = members;
  candidates->capacity = count;
  return CS_OK;
}

static bool
is_avoided (const cs_choice_request_t *request, const cs_target_t *target)
{
  for (uint32_t i = 0; i < request->avoid_count; i++)
    if (request->avoid[i] == target)
      return true;
  return false;
}

bool
candidates_is_local (const cs_choice_request_t *request,
                     const cs_target_t *target)
{
  return cs_str_equal (cs_name_str (&target->data_centre),
                       request->data_centre);
}

bool
candidates_is_allowed (const cs_choice_request_t *request,
                       const cs_target_t *target)
{
  return cs_region_list_allows (request->route_regions, request->regions,
                                &target->data_centre)
         && cs_region_list_allows (request->organisation_regions,
                                   request->regions, &target->data_centre);
}

static bool
is_evacuated (const cs_choice_request_t *request, const cs_target_t *target)
{
  return cs_evacuations_has (request->evacuations, &target->data_centre);
}

/* Whether TARGET may get calls of the service, apart from its health and its
   distance.  */
static bool
is_usable (const cs_choice_request_t *request, const cs_target_t *target,
           cs_time_us_t now)
{
  return !target->leaving && now >= target->held_until
         && !is_avoided (request, target) && !is_evacuated (request, target)
         && candidates_is_allowed (request, target)
         && (request->version == 0 || target->version == request->version)
         && cs_str_equal (cs_name_str (&target->service), request->service);
}

/* Whether TARGET wants no requests now: it asked for a pause, or has been sent
   as many as it takes.  */
static bool
declines (const cs_choice_request_t *request, const cs_target_t *target,
          cs_time_us_t now)
{
  return now < target->paused_until || !cs_cold_allows (&target->cold, now)
         || !cs_named_limit_allows (&target->named_limit, request->routers,
                                    now);
}

static cs_time_us_t
accepts_at (const cs_choice_request_t *request, const cs_target_t *target,
            cs_time_us_t now)
{
  cs_time_us_t at
      = cs_named_limit_allows_at (&target->named_limit, request->routers, now);
  cs_time_us_t warm_at = cs_cold_allows_at (&target->cold, now);
  at = at > warm_at ? at : warm_at;
  return at > target->paused_until ? at : target->paused_until;
}

static void
add (candidates_t *candidates, cs_target_t *target)
{
  candidates->members[candidates->count]
      = (cs_rank_member_t){ target->hash, target->weight };
  candidates->targets[candidates->count++] = target;
}

size_t
candidates_collect (candidates_t *candidates, const cs_fleet_t *fleet,
                    const cs_choice_request_t *request,
                    candidate_filter_t filter, cs_time_us_t now)
{
  size_t total;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  candidates->count = 0;
  candidates->avoided_cold = false;
  for (size_t i = 0; i < total; i++)
    {
      cs_target_t *target = targets[i];
      if (!is_usable (request, target, now))
        continue;
      if (declines (request, target, now))
        {
          candidates->avoided_cold = candidates->avoided_cold
                                     || !cs_cold_allows (&target->cold, now);
          continue;
        }
      if (filter != CANDIDATES_ALL
          && cs_eject_is_ejected (&target->eject, now))
        continue;
      if (filter == CANDIDATES_LOCAL && !candidates_is_local (request, target))
        continue;
      add (candidates, target);
    }
  return candidates->count;
}

void
candidates_add_sources (candidates_t *candidates, const cs_fleet_t *fleet,
                        const cs_choice_request_t *request)
{
  size_t total;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  for (size_t i = 0; i < total; i++)
    if ((targets[i]->leaving || is_evacuated (request, targets[i]))
        && candidates_is_allowed (request, targets[i])
        && cs_str_equal (cs_name_str (&targets[i]->service), request->service))
      add (candidates, targets[i]);
}

cs_time_us_t
candidates_first_accepts_at (const cs_fleet_t *fleet,
                             const cs_choice_request_t *request,
                             cs_time_us_t now)
{
  size_t total;
  cs_time_us_t first = 0;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  for (size_t i = 0; i < total; i++)
    {
      if (!is_usable (request, targets[i], now)
          || !declines (request, targets[i], now))
        continue;
      cs_time_us_t at = accepts_at (request, targets[i], now);
      if (first == 0 || at < first)
        first = at;
    }
  return first;
}

bool
candidates_are_evacuated (const cs_fleet_t *fleet,
                          const cs_choice_request_t *request)
{
  size_t total;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  for (size_t i = 0; i < total; i++)
    if (!targets[i]->leaving && is_evacuated (request, targets[i])
        && cs_str_equal (cs_name_str (&targets[i]->service), request->service))
      return true;
  return false;
}

cs_choice_service_t
candidates_sum_up (const candidates_t *candidates)
{
  cs_choice_service_t service = { .count = candidates->count };
  double known = 0;
  double weights = 0;
  for (size_t i = 0; i < candidates->count; i++)
    {
      const cs_target_t *target = candidates->targets[i];
      service.mean_calls += cs_target_estimated_calls (target);
      weights += target->weight;
      service.mean_slots += target->slots;
      service.own += target->in_flight;
      known += target->slots > 0;
    }
  service.mean = service.mean_calls / weights;
  service.mean_calls /= (double)candidates->count;
  if (known > 0)
    service.mean_slots /= known;
  return service;
}
