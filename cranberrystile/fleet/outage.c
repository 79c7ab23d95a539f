#include "cranberrystile/outage.h"

/* Entries lost in an outage are found missing within this time after the first
   response: in that response or the next.  */
#define RESYNC_US (500 * CS_US_PER_MS)

bool
cs_outage_failed (cs_outage_t *outage, cs_time_us_t failed_at)
{
  bool first = !outage->unreachable;
  outage->unreachable = true;
  outage->last_failure_at = failed_at;
  return first;
}

bool
cs_outage_answered (cs_outage_t *outage, cs_time_us_t now)
{
  if (!outage->unreachable)
    return false;
  outage->unreachable = false;
  outage->recovered_at = now;
  return true;
}

cs_time_us_t
cs_outage_kept_until (const cs_outage_t *outage,
                      const cs_outage_policy_t *policy, cs_time_us_t now)
{
  if (outage->recovered_at == 0 || now > outage->recovered_at + RESYNC_US)
    return 0;
  cs_time_us_t reregistered = outage->recovered_at + policy->lapse_us;
  cs_time_us_t settled = outage->last_failure_at + policy->settle_us;
  return reregistered < settled ? reregistered : settled;
}
