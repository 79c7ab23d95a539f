#include "router/health.h"

#include "common/log.h"
#include "router/cold.h"

/* Returns the summed results of all targets of TARGET's service.  Stores the
   number of its targets in *LIVE, and of the ejected ones in *EJECTED.  */
static cs_outcomes_t
sum_service (const cs_router_t *router, const cs_target_t *target,
             uint32_t *live, uint32_t *ejected, cs_time_us_t now)
{
  size_t count;
  cs_outcomes_t sum = { .at = now };
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  *live = 0;
  *ejected = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (!cs_name_equal (&targets[i]->service, &target->service))
        continue;
      /* It doesn't carry the load of ejected targets.  */
      if (targets[i] != target
          && cs_evacuations_has (router->evacuations,
                                 &targets[i]->data_centre))
        continue;
      cs_outcomes_add (&targets[i]->outcomes, 0, 0, now);
      sum.ended += targets[i]->outcomes.ended;
      sum.failed += targets[i]->outcomes.failed;
      (*live)++;
      if (cs_eject_is_ejected (&targets[i]->eject, now))
        (*ejected)++;
    }
  return sum;
}

static void
eject (cs_target_t *target, const char *reason, cs_time_us_t now)
{
  cs_eject_policy_t policy = cs_eject_policy_default ();
  if (cs_eject_now (&target->eject, &policy, now))
    cs_log (CS_EV_TARGET_EJECTED,
            "target=%s why=%s failed=%.1f ended=%.1f for_ms=%llu",
            target->id.text, reason, target->outcomes.failed,
            target->outcomes.ended,
            (unsigned long long)((target->eject.ejected_until - now)
                                 / CS_US_PER_MS));
}

/* Ejects TARGET if it fails much more often than its service as a whole and
   enough other targets stay in use.  */
static void
eject_if_outlier (cs_router_t *router, cs_target_t *target, const char *reason,
                  cs_time_us_t now)
{
  uint32_t live;
  uint32_t ejected;
  cs_eject_policy_t policy = cs_eject_policy_default ();
  /* Not decided by the others, over which sums take time in a large
     service.  */
  if (cs_eject_is_ejected (&target->eject, now)
      || !cs_outcomes_is_outlier (&target->outcomes, &target->outcomes))
    return;
  cs_outcomes_t service = sum_service (router, target, &live, &ejected, now);
  if (cs_outcomes_is_outlier (&target->outcomes, &service)
      && ejected + 1 <= (uint32_t)(policy.max_ejected_share * live))
    eject (target, reason, now);
}

void
cs_health_record_result (cs_router_t *router, cs_target_t *target, int error,
                         cs_time_us_t now)
{
  /* A refusal is a valid response of a healthy target, not a failure.  */
  if (error == CS_ERR_REFUSED)
    return;
  /* Connections to it are given up.  */
  if (error == CS_ERR_CONNECT
      && cs_evacuations_has (router->evacuations, &target->data_centre))
    return;
  target->ended++;
  cs_outcomes_add (&target->outcomes, 1, error == CS_OK ? 0 : 1, now);
  if (error == CS_OK)
    {
      cs_eject_success (&target->eject);
      cs_cold_record_success (router, target, false, now);
      return;
    }
  target->failed++;
  if (error == CS_ERR_CONNECT || error == CS_ERR_SILENT)
    eject (target, cs_error_name (error), now);
  else
    eject_if_outlier (router, target, cs_error_name (error), now);
  if (error == CS_ERR_CONNECT)
    cs_cold_record_failure (router, target, now);
  if (error == CS_ERR_SILENT)
    cs_connections_close_idle (target, true, now);
}

void
cs_health_record_peer_results (cs_router_t *router, cs_target_t *target,
                               uint32_t ended, uint32_t failed,
                               cs_time_us_t now)
{
  cs_outcomes_add (&target->outcomes, ended, failed, now);
  if (ended > failed)
    cs_cold_record_success (router, target, true, now);
  else if (cs_outcomes_is_away (&target->outcomes, now))
    cs_cold_record_failure (router, target, now);
  if (failed > 0)
    eject_if_outlier (router, target, "peers", now);
}
