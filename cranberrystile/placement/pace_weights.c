#include "cranberrystile/pace_weights.h"

/* Sums over the other targets of the service of TARGET.  Stores whether the
   service has a pace.  */
static cs_pace_view_t
view_of (cs_target_t *const *targets, size_t count, const cs_target_t *target,
         bool *has_pace, cs_time_us_t now)
{
  cs_pace_view_t view = {
    .calls = cs_target_estimated_calls (target),
    .ends_per_s = cs_outcomes_rate_per_s (&target->outcomes, now),
    .failure_rate = cs_outcomes_failure_rate (&target->outcomes, now),
  };
  double slots = 0;
  double others = 0;
  *has_pace = target->cold.per_s > 0;
  for (size_t i = 0; i < count; i++)
    {
      const cs_target_t *other = targets[i];
      if (!cs_name_equal (&other->service, &target->service))
        continue;
      *has_pace = *has_pace || cs_slowness_is_stated (&other->slowness);
      if (other == target || other->leaving)
        continue;
      view.others_calls += cs_target_estimated_calls (other);
      view.others_ends_per_s += cs_outcomes_rate_per_s (&other->outcomes, now);
      view.others_failure_rate
          += cs_outcomes_failure_rate (&other->outcomes, now);
      slots += other->slots;
      others++;
    }
  if (others > 0)
    view.others_failure_rate /= others;
  view.slots_taken = slots > 0 ? view.others_calls / slots : 0;
  return view;
}

static void
update (cs_target_t *const *targets, size_t count, cs_target_t *target,
        cs_time_us_t now)
{
  cs_pace_t *pace = &target->pace;
  bool has_pace;
  bool was_out = pace->is_out;
  pace->is_out = cs_eject_is_ejected (&target->eject, now)
                 || cs_cold_is_in_force (&target->cold, now);
  if (was_out && !pace->is_out)
    cs_pace_begin (pace, now);
  if (pace->level == 0 || pace->is_out)
    return;
  cs_pace_view_t view = view_of (targets, count, target, &has_pace, now);
  if (!has_pace)
    {
      pace->level = 0;
      return;
    }
  cs_pace_update (pace, &view, now);
  if (!cs_named_limit_is_in_force (&target->named_limit, now))
    target->weight *= cs_pace_weight (pace);
}

void
cs_pace_weights_update (cs_fleet_t *fleet, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (size_t i = 0; i < count; i++)
    update (targets, count, targets[i], now);
}
