#include "cranberrystile/limit_weights.h"

#include <math.h>

/* Even a target that takes next to nothing stays the home of some contexts:
   its answers show when the limit ends.  */
#define MIN_WEIGHT 0.01
/* Part of a change that each update applies, as the rates that are measured
   vary by chance.  */
#define UPDATE_SHARE 0.1
/* Rounds after which the rate at an unlimited target is close enough.  */
#define ROUNDS 6

/* Returns the rate at which an unlimited target of SERVICE is to be sent
   requests, so that the limited ones get at most their limits; infinite where
   all are limited to less than there is.  */
static double
unlimited_rate (cs_target_t *const *targets, size_t count,
                const cs_name_t *service, cs_time_us_t now)
{
  double total = 0;
  double members = 0;
  for (size_t i = 0; i < count; i++)
    if (cs_name_equal (&targets[i]->service, service))
      {
        total += cs_outcomes_rate_per_s (&targets[i]->outcomes, now);
        members++;
      }
  double rate = total / members;
  for (int round = 0; round < ROUNDS && rate > 0; round++)
    {
      double weights = 0;
      for (size_t i = 0; i < count; i++)
        if (cs_name_equal (&targets[i]->service, service))
          weights += cs_named_limit_is_in_force (&targets[i]->named_limit, now)
                         ? fmin (1, targets[i]->named_limit.per_s / rate)
                         : 1;
      if (weights <= 0)
        return INFINITY;
      rate = total / weights;
    }
  return rate;
}

static void
update_weight (cs_target_t *target, double rate)
{
  double weight = rate > 0 ? fmin (1, target->named_limit.per_s / rate) : 1;
  weight = fmax (weight, MIN_WEIGHT);
  if (target->weight < 1)
    weight = target->weight + UPDATE_SHARE * (weight - target->weight);
  target->weight = weight;
}

/* Updates all limited targets of the service of target FROM, which is the
   first of them.  Their weights are negative until then.  */
static void
update_service (cs_target_t *const *targets, size_t count, size_t from,
                cs_time_us_t now)
{
  const cs_name_t *service = &targets[from]->service;
  double rate = unlimited_rate (targets, count, service, now);
  for (size_t i = from; i < count; i++)
    if (targets[i]->weight < 0
        && cs_name_equal (&targets[i]->service, service))
      {
        targets[i]->weight = -targets[i]->weight;
        update_weight (targets[i], rate);
      }
}

void
cs_limit_weights_update (cs_fleet_t *fleet, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (cs_named_limit_is_in_force (&targets[i]->named_limit, now))
      targets[i]->weight = -targets[i]->weight;
    else
      targets[i]->weight = 1;
  for (size_t i = 0; i < count; i++)
    if (targets[i]->weight < 0)
      update_service (targets, count, i, now);
}
