#include "cranberrystile/outage.h"

/* What vanished during an outage is seen gone within this time after the first
   answer: that answer, or the next.  */
#define CATCH_UP_US (500 * CS_US_PER_MS)

bool
cs_outage_failed (cs_outage_t *outage, cs_time_us_t sign)
{
  bool first = !outage->away;
  outage->away = true;
  outage->last_sign = sign;
  return first;
}

bool
cs_outage_answered (cs_outage_t *outage, cs_time_us_t now)
{
  if (!outage->away)
    return false;
  outage->away = false;
  outage->back_at = now;
  return true;
}

cs_time_us_t
cs_outage_kept_until (const cs_outage_t *outage,
                      const cs_outage_policy_t *policy, cs_time_us_t now)
{
  if (outage->back_at == 0 || now > outage->back_at + CATCH_UP_US)
    return 0;
  cs_time_us_t lapse_over = outage->back_at + policy->lapse_us;
  cs_time_us_t settled = outage->last_sign + policy->settle_us;
  return lapse_over < settled ? lapse_over : settled;
}
