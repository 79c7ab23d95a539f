/* Tracks outages of the platform, and until when targets whose entries were
   lost in one may still be alive.

   A live target whose entry lapsed during an outage registers again within a
   known time after it.  The end of the outage isn't observed directly: it lies
   between the last failure and the first response after it.  */

#ifndef CS_OUTAGE_H
#define CS_OUTAGE_H

#include <stdbool.h>

#include "common/clock.h"

typedef struct
{
  /* Time from the first response after an outage until all live targets have
     registered again.  */
  cs_time_us_t lapse_us;
  /* Time from the last failure until all guarantees hold again.  No target is
     retained for longer.  */
  cs_time_us_t settle_us;
} cs_outage_policy_t;

/* Zero-initialise.  */
typedef struct
{
  bool unreachable;
  cs_time_us_t last_failure_at; /* of the latest outage */
  cs_time_us_t recovered_at;    /* first response after it; 0: no outage yet */
} cs_outage_t;

/* Records a failed call.  FAILED_AT is the time at which the platform is known
   to have been unreachable: when the call was refused, or when the call that
   got no response was sent.  Returns true for the first failure of an outage.
 */
bool cs_outage_failed (cs_outage_t *outage, cs_time_us_t failed_at);

/* Records a response.  Returns true if it ends an outage.  */
bool cs_outage_answered (cs_outage_t *outage, cs_time_us_t now);

/* Until when to retain a target whose entry is found missing at NOW; 0 if the
   entry was removed after the outage, so that the target has left.  */
cs_time_us_t cs_outage_kept_until (const cs_outage_t *outage,
                                   const cs_outage_policy_t *policy,
                                   cs_time_us_t now);

#endif
