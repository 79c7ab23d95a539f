#include "router/cold.h"

#include "common/log.h"
#include "router/mesh.h"

static const cs_service_t *
find_service (const cs_router_t *router, const cs_target_t *target)
{
  const cs_routing_t *routing = router->routing;
  for (size_t i = 0; routing != NULL && i < routing->service_count; i++)
    if (cs_str_equal (routing->services[i].name,
                      cs_name_str (&target->service)))
      return &routing->services[i];
  return NULL;
}

/* Returns the time for which targets of SERVICE are cold after a start.  */
static cs_time_us_t
start_us (const cs_service_t *service)
{
  const double max_s = (double)CS_COLD_MAX_US / CS_US_PER_S;
  if (service == NULL || service->cold_per_s == 0)
    return 0;
  double seconds = service->cold_start_s;
  return (cs_time_us_t)((seconds < max_s ? seconds : max_s) * CS_US_PER_S);
}

/* Ranks this router for TARGET, which takes time in a large fleet, so it is
   done only for those that are cold.  */
static void
update_permits (cs_router_t *router, cs_target_t *target, cs_time_us_t now)
{
  size_t routers;
  if (!cs_cold_is_in_force (&target->cold, now))
    return;
  size_t rank = cs_mesh_rank (router->mesh, target->incarnation, &routers);
  target->cold.permits = cs_cold_permits (target->cold.per_s, rank, routers);
}

/* Updates the permits after a statement or an assumption, and logs that TARGET
   is cold if that is new.  */
static void
on_changed (cs_router_t *router, cs_target_t *target, const char *source,
            cs_time_us_t now)
{
  cs_cold_limit_t *cold = &target->cold;
  update_permits (router, target, now);
  if (!cs_cold_is_in_force (cold, now) || cold->is_logged)
    return;
  cold->is_logged = true;
  cs_log (CS_EV_TARGET_COLD,
          "target=%s source=%s remaining_ms=%llu per_s=%u permits=%u",
          target->id.text, source,
          (unsigned long long)((cold->until - now) / CS_US_PER_MS),
          cold->per_s, cold->permits);
}

/* A target of which nobody has said anything is cold if it started recently.
   Its clock may differ from this host's.  */
static void
assume_from_start (cs_router_t *router, cs_target_t *target, cs_time_us_t now)
{
  cs_time_us_t cold_us = start_us (find_service (router, target));
  uint64_t wall_ms = cs_clock_wall_ms ();
  cs_time_us_t age_us = wall_ms > target->started_ms
                            ? (wall_ms - target->started_ms) * CS_US_PER_MS
                            : 0;
  if (target->cold.until != 0 || age_us >= cold_us)
    return;
  cs_cold_assume (&target->cold, now + cold_us - age_us, now);
  on_changed (router, target, "start", now);
}

static void
update_service (cs_router_t *router, cs_target_t *target)
{
  const cs_service_t *service = find_service (router, target);
  target->cold.per_s = service == NULL ? 0 : service->cold_per_s;
}

void
cs_cold_update (cs_router_t *router, cs_time_us_t now)
{
  size_t count;
  uint64_t version = router->routing == NULL ? 0 : router->routing->version;
  uint64_t membership = cs_mesh_membership (router->mesh);
  if (version == router->cold_version && membership == router->cold_membership)
    return;
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    {
      update_service (router, targets[i]);
      if (version != router->cold_version)
        assume_from_start (router, targets[i], now);
      /* Those that were read before the configuration are logged now.  */
      on_changed (router, targets[i], "entry", now);
    }
  router->cold_version = version;
  router->cold_membership = membership;
}

void
cs_cold_log_ended (cs_router_t *router, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i]->cold.is_logged
        && !cs_cold_is_in_force (&targets[i]->cold, now))
      {
        targets[i]->cold.is_logged = false;
        cs_log (CS_EV_TARGET_WARM, "target=%s", targets[i]->id.text);
      }
}

void
cs_cold_apply (cs_router_t *router, cs_target_t *target,
               const cs_cold_statement_t *statement, uint32_t hops,
               cs_time_us_t now)
{
  static const char *const sources[] = { "response", "entry", "peer", "peer" };
  bool was_in_force = cs_cold_is_in_force (&target->cold, now);
  cs_time_us_t stated_until = target->cold.stated_until;
  bool is_news = cs_cold_record (&target->cold, statement, now);
  /* Links that open later are told with so many hops, too.  */
  if (target->cold.stated_until != stated_until || (is_news && hops == 0))
    target->cold.notice_hops = hops;
  /* Statements of a period come by far more often than one begins.  */
  if (!was_in_force)
    on_changed (router, target, sources[statement->source], now);
  if (is_news && cs_cold_is_in_force (&target->cold, now))
    cs_mesh_announce_cold (router->mesh, target, hops);
}

void
cs_cold_apply_entry (cs_router_t *router, cs_target_t *target,
                     const cs_target_entry_t *entry, bool is_new,
                     cs_time_us_t now)
{
  cs_cold_statement_t statement
      = { .source = entry->from_peer ? CS_COLD_LIST : CS_COLD_ENTRY,
          .remaining_us = entry->cold_ms * CS_US_PER_MS };
  if (is_new)
    {
      update_service (router, target);
      /* It may have been removed while it was cold.  */
      update_permits (router, target, now);
    }
  if (entry->states_cold)
    cs_cold_apply (router, target, &statement, 0, now);
  else if (is_new)
    assume_from_start (router, target, now);
}

void
cs_cold_record_taken_back (cs_router_t *router, cs_target_t *target,
                           cs_time_us_t now)
{
  cs_time_us_t cold_us = start_us (find_service (router, target));
  /* The configuration may be newer than the limits of the targets.  */
  cs_cold_update (router, now);
  cs_cold_assume (&target->cold, now + cold_us, now);
  on_changed (router, target, "evacuation", now);
}

void
cs_cold_record_failure (cs_router_t *router, cs_target_t *target,
                        cs_time_us_t now)
{
  if (target->cold.per_s == 0)
    return;
  cs_cold_failed (&target->cold, start_us (find_service (router, target)),
                  now);
  on_changed (router, target, "connection", now);
}

void
cs_cold_record_success (cs_router_t *router, cs_target_t *target,
                        bool by_peers, cs_time_us_t now)
{
  if (!target->cold.awaits_success)
    return;
  cs_cold_succeeded (&target->cold, start_us (find_service (router, target)),
                     by_peers, now);
  on_changed (router, target, "connection", now);
}
