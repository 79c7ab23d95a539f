#include "router/evacuations.h"

#include "common/error.h"
#include "common/log.h"
#include "router/cold.h"

static void
record_taken_back (cs_router_t *router, cs_target_t *target)
{
  cs_time_us_t now = cs_loop_now (router->loop);
  cs_cold_record_taken_back (router, target, now);
  cs_pace_begin (&target->pace, now);
}

/* Returns the number of targets in DATA_CENTRE.  Closes their idle connections
   if they are EVACUATED, and takes them for cold if they no longer are.  */
static size_t
update_targets (cs_router_t *router, const cs_name_t *data_centre,
                bool is_evacuated)
{
  size_t count;
  size_t found = 0;
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    {
      if (!cs_name_equal (&targets[i]->data_centre, data_centre))
        continue;
      found++;
      if (is_evacuated)
        cs_connections_close_idle (targets[i], true, 0);
      else
        record_taken_back (router, targets[i]);
    }
  return found;
}

static void
on_changed (void *context, const cs_name_t *data_centre, bool is_evacuated)
{
  cs_router_t *router = context;
  size_t targets = update_targets (router, data_centre, is_evacuated);
  cs_revision_t revision = cs_evacuations_revision (router->evacuations);
  cs_log (is_evacuated ? CS_EV_EVACUATED : CS_EV_TAKEN_BACK,
          "data_centre=%s source=%s revision=%llu targets=%zu",
          data_centre->text, router->evacuations_source,
          (unsigned long long)revision.number, targets);
}

int
cs_router_evacuations_create (cs_router_t *router)
{
  if (router->settings.evacuation_ms <= 0)
    return CS_OK;
  router->evacuations = cs_evacuations_create (on_changed, router);
  router->connection_env.evacuations = router->evacuations;
  return router->evacuations == NULL ? CS_ERR_NO_MEMORY : CS_OK;
}

static cs_time_us_t
kept_until (const cs_router_t *router, cs_time_us_t now)
{
  return now + router->settings.lapse_ms * CS_US_PER_MS;
}

int
cs_router_evacuations_end_list (cs_router_t *router, cs_revision_t revision,
                                cs_time_us_t now)
{
  router->evacuations_source = "platform";
  return cs_evacuations_list_end (router->evacuations, revision,
                                  kept_until (router, now));
}

int
cs_router_evacuations_replace (cs_router_t *router, const cs_name_t *names,
                               size_t count, cs_revision_t revision,
                               cs_time_us_t now)
{
  router->evacuations_source = "peer";
  return cs_evacuations_replace (router->evacuations, names, count, revision,
                                 kept_until (router, now));
}

void
cs_router_evacuations_keep (cs_router_t *router,
                            const cs_evacuation_kept_t *kept,
                            cs_revision_t revision, cs_time_us_t now)
{
  router->evacuations_source = "peer";
  (void)cs_evacuations_keep (router->evacuations, kept, revision, now);
}

int
cs_router_evacuations_change (cs_router_t *router, cs_str_t data_centre,
                              bool is_evacuated, cs_revision_t revision)
{
  router->evacuations_source = "platform";
  return cs_evacuations_change (router->evacuations, data_centre, is_evacuated,
                                revision);
}

void
cs_router_evacuations_tick (cs_router_t *router, cs_time_us_t now)
{
  cs_time_us_t limit_us
      = (cs_time_us_t)(router->settings.evacuation_ms * CS_US_PER_MS);
  if (router->evacuations == NULL)
    return;
  router->evacuations_source = "lapse";
  cs_evacuations_expire (router->evacuations, now);
  if (cs_evacuations_wait (router->evacuations, router->fleet_synced, limit_us,
                           now))
    cs_log (CS_EV_EVACUATIONS_UNKNOWN, "waited_ms=%.0f",
            router->settings.evacuation_ms);
}
