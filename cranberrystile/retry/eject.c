#include "cranberrystile/eject.h"

#define MAX_DOUBLINGS 16

cs_eject_policy_t
cs_eject_policy_default (void)
{
  cs_eject_policy_t policy = {
    .failures_to_eject = 3,
    .initial_ejection_us = 1 * CS_US_PER_S,
    .max_ejection_us = 30 * CS_US_PER_S,
    .max_ejected_share = 0.34,
  };
  return policy;
}

void
cs_eject_success (cs_eject_t *eject)
{
  eject->failures = 0;
  eject->ejected_until = 0;
  if (eject->ejections > 0)
    eject->ejections--;
}

static cs_time_us_t
ejection_time (const cs_eject_t *eject, const cs_eject_policy_t *policy)
{
  uint32_t doublings = eject->ejections;
  if (doublings > MAX_DOUBLINGS)
    doublings = MAX_DOUBLINGS;
  cs_time_us_t length = policy->initial_ejection_us << doublings;
  return length > policy->max_ejection_us ? policy->max_ejection_us : length;
}

bool
cs_eject_failure (cs_eject_t *eject, const cs_eject_policy_t *policy,
                  uint32_t ejected, uint32_t total, cs_time_us_t now)
{
  bool on_probation = eject->ejections > 0 && eject->ejected_until != 0;
  if (cs_eject_is_ejected (eject, now))
    return false;
  eject->failures++;
  if (!on_probation && eject->failures < policy->failures_to_eject)
    return false;
  if (ejected + 1 > (uint32_t)(policy->max_ejected_share * total))
    return false;
  return cs_eject_now (eject, policy, now);
}

bool
cs_eject_now (cs_eject_t *eject, const cs_eject_policy_t *policy,
              cs_time_us_t now)
{
  if (cs_eject_is_ejected (eject, now))
    return false;
  eject->ejected_until = now + ejection_time (eject, policy);
  eject->ejections++;
  eject->failures = 0;
  return true;
}

bool
cs_eject_is_ejected (const cs_eject_t *eject, cs_time_us_t now)
{
  return now < eject->ejected_until;
}
