#include "cranberrystile/choice_policy.h"

#include <math.h>

#include "cranberrystile/rank.h"

cs_choice_policy_t
cs_choice_policy_default (void)
{
  cs_choice_policy_t policy = {
    /* Users require that no target exceeds 2 * mean + 3 calls.  The limit of
       homes stays below that, which leaves room for calls that other routers
       send at the same time.  */
    .home_factor = 1.45,
    .home_extra = 2,
    /* The last tenth is for calls that are not reported yet.  */
    .home_max_slot_share = 0.9,
    .homes = 4,
    /* The rest up to the limit is for the unevenness of the other contexts. */
    .hot_factor = 1.1,
    .hot_extra = 0.6,
    .spread_us = 3 * CS_US_PER_S,
    .busy_slot_share = 0.5,
    .busy_homes = 6,
    .busy_target_share = 0.1,
    .surge_share = 1.0 / 12,
    .surge_min_recent = 2.5,
    .surge_per_target = 3,
    /* Three hops, with a wait for the next heartbeat at each.  */
    .view_age_us = CS_US_PER_S,
    .remote_penalty = 1,
    /* Losing a request that cannot be repeated costs more than waiting for a
       slot of a plain service.  16 delayed more requests than it saved.  */
    .failure_penalty_once = 8,
    /* A retry takes about as long as a wait behind a few calls.  */
    .failure_penalty_repeatable = 4,
    .home_max_failure_rate = 0.2,
  };
  return policy;
}

/* Beyond its slots a call would wait, while another target may have a free
   slot.  */
double
cs_choice_home_limit (const cs_choice_policy_t *policy, uint32_t slots,
                      double mean)
{
  double limit = mean * policy->home_factor + policy->home_extra;
  double slot_limit = slots * policy->home_max_slot_share;
  double busy_limit = mean + policy->home_extra;
  if (slots == 0 || limit <= slot_limit)
    return limit;
  return slot_limit > busy_limit ? slot_limit : busy_limit;
}

static bool
is_busy (const cs_choice_policy_t *policy, const cs_choice_service_t *service)
{
  return service->mean_slots > 0
         && service->mean >= policy->busy_slot_share * service->mean_slots
         && (double)service->count * policy->busy_target_share > policy->homes;
}

uint32_t
cs_choice_homes_needed (const cs_choice_policy_t *policy,
                        const cs_choice_service_t *service, double share,
                        bool surges)
{
  double count = (double)service->count;
  double mean = service->mean;
  double calls = share * mean * count;
  double others = mean * (1 - share);
  double room = mean * policy->hot_factor + policy->hot_extra - others;
  double needed = fmax (ceil (calls / room), policy->homes);
  if (surges)
    needed = fmax (needed, policy->surge_share * count);
  if (is_busy (policy, service))
    needed = fmax (needed, policy->busy_homes);
  return needed < CS_MAX_RANKED ? (uint32_t)needed : CS_MAX_RANKED;
}

double
cs_choice_min_surge (const cs_choice_policy_t *policy, size_t count,
                     double routers)
{
  return fmax (policy->surge_min_recent,
               policy->surge_per_target * (double)count / routers);
}
