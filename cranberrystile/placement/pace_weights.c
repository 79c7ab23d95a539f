#include "cranberrystile/pace_weights.h"

/* Sums over the steady targets of a service.  */
typedef struct
{
  double calls;
  double ends_per_s;
  double failure_rates;
  double slots;
  double count;
  bool states_slowness; /* a target does, leaving or not */
} sums_t;

/* Whether TARGET gets its full share.  The idle slots of others don't show
   that those in use have free ones.  */
static bool
is_steady (const cs_target_t *target, const cs_evacuations_t *evacuations)
{
  return !target->leaving && target->pace.level == 0 && !target->pace.is_out
         && !cs_evacuations_has (evacuations, &target->data_centre);
}

static sums_t
sum_up (cs_target_t *const *targets, size_t count, const cs_name_t *service,
        const cs_evacuations_t *evacuations, cs_time_us_t now)
{
  sums_t sums = { 0 };
  for (size_t i = 0; i < count; i++)
    {
      const cs_target_t *target = targets[i];
      if (!cs_name_equal (&target->service, service))
        continue;
      sums.states_slowness
          = sums.states_slowness || cs_slowness_is_stated (&target->slowness);
      if (!is_steady (target, evacuations))
        continue;
      sums.calls += cs_target_estimated_calls (target);
      sums.ends_per_s += cs_outcomes_rate_per_s (&target->outcomes, now);
      sums.failure_rates += cs_outcomes_failure_rate (&target->outcomes, now);
      sums.slots += target->slots;
      sums.count++;
    }
  return sums;
}

/* Compares TARGET, which has a pace, with the steady ones in SUMS.  */
static cs_pace_view_t
view_of (const cs_target_t *target, const sums_t *sums, cs_time_us_t now)
{
  cs_pace_view_t view = {
    .calls = cs_target_estimated_calls (target),
    .ends_per_s = cs_outcomes_rate_per_s (&target->outcomes, now),
    .failure_rate = cs_outcomes_failure_rate (&target->outcomes, now),
  };
  view.others_calls = sums->calls;
  view.others_ends_per_s = sums->ends_per_s;
  if (sums->count > 0)
    view.others_failure_rate = sums->failure_rates / sums->count;
  if (sums->slots > 0)
    view.slots_taken = sums->calls / sums->slots;
  return view;
}

/* Begins the pace of TARGET if it is no longer ejected or cold.  */
static void
begin_if_back (cs_target_t *target, cs_time_us_t now)
{
  cs_pace_t *pace = &target->pace;
  bool was_out = pace->is_out;
  pace->is_out = cs_eject_is_ejected (&target->eject, now)
                 || cs_cold_is_in_force (&target->cold, now);
  if (was_out && !pace->is_out)
    cs_pace_begin (pace, now);
  pace->is_due = pace->level != 0 && !pace->is_out;
}

static void
update (cs_target_t *target, const sums_t *sums, cs_time_us_t now)
{
  cs_pace_t *pace = &target->pace;
  pace->is_due = false;
  if (target->cold.per_s == 0 && !sums->states_slowness)
    {
      pace->level = 0;
      return;
    }
  cs_pace_view_t view = view_of (target, sums, now);
  cs_pace_update (pace, &view, now);
  if (!cs_named_limit_is_in_force (&target->named_limit, now))
    target->weight *= cs_pace_weight (pace);
}

void
cs_pace_weights_update (cs_fleet_t *fleet, const cs_evacuations_t *evacuations,
                        cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (size_t i = 0; i < count; i++)
    begin_if_back (targets[i], now);
  /* The first target of a service that has a pace stands for all of them.  */
  for (size_t i = 0; i < count; i++)
    {
      if (!targets[i]->pace.is_due)
        continue;
      const cs_name_t *service = &targets[i]->service;
      sums_t sums = sum_up (targets, count, service, evacuations, now);
      for (size_t j = i; j < count; j++)
        if (targets[j]->pace.is_due
            && cs_name_equal (&targets[j]->service, service))
          update (targets[j], &sums, now);
    }
}
