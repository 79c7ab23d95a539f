#include <stdlib.h>

#include "cranberrystile/fleet.h"

cs_target_t *
cs_target_reference (cs_target_t *target)
{
  target->references++;
  return target;
}

void
cs_target_release (cs_target_t *target)
{
  if (target != NULL && --target->references == 0)
    free (target);
}

void
cs_target_update_data_centre (cs_target_t *target,
                              const cs_target_entry_t *entry)
{
  cs_name_t data_centre;
  cs_name_set (&data_centre, entry->data_centre);
  if (cs_revision_compare (entry->revision, target->changed_revision) <= 0
      || cs_name_equal (&data_centre, &target->data_centre))
    return;
  target->data_centre = data_centre;
  target->changed_revision = entry->revision;
}

cs_target_t *
cs_fleet_find_version (const cs_fleet_t *fleet, uint64_t version)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i]->version == version && !targets[i]->leaving)
      return targets[i];
  return NULL;
}

/* Calls of other routers, from the newer report: that of the routers or that
   of the target.  */
static uint32_t
other_routers_calls (const cs_target_t *target)
{
  if (target->peer_calls_at != 0
      && (!target->load.valid || target->peer_calls_at >= target->load.at))
    return target->peer_calls;
  if (!target->load.valid)
    return 0;
  uint32_t reported = target->load.running + target->load.waiting;
  return reported > target->load.own_in_flight
             ? reported - target->load.own_in_flight
             : 0;
}

uint32_t
cs_target_estimated_calls (const cs_target_t *target)
{
  return other_routers_calls (target) + target->in_flight;
}
