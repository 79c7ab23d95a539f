/* When the platform was away, and until when targets whose entries vanished
   meanwhile may still be alive.

   A live target's entry that lapsed during an outage is back within a known
   time after it.  The end of an outage is not seen; it lies between the last
   sign of the outage and the first answer after it.  */

#ifndef CS_OUTAGE_H
#define CS_OUTAGE_H

#include <stdbool.h>

#include "common/clock.h"

typedef struct
{
  cs_time_us_t lapse_us;  /* entries are back this long after an outage */
  cs_time_us_t settle_us; /* all rules hold again this long after it */
} cs_outage_policy_t;

/* Initialise with zeros.  */
typedef struct
{
  bool away;
  cs_time_us_t last_sign; /* of the last outage */
  cs_time_us_t back_at;   /* first answer after it; 0: no outage yet */
} cs_outage_t;

/* A call failed that showed the platform away at SIGN: the time of a refusal,
   or the time at which a call was sent that got no answer.  Returns true for
   the first of an outage.  */
bool cs_outage_failed (cs_outage_t *outage, cs_time_us_t sign);

/* A call was answered.  Returns true when that ends an outage.  */
bool cs_outage_answered (cs_outage_t *outage, cs_time_us_t now);

/* Until when a target is kept whose entry is found missing NOW; 0 when the
   entry was removed after the outage, so that the target has left.  */
cs_time_us_t cs_outage_kept_until (const cs_outage_t *outage,
                                   const cs_outage_policy_t *policy,
                                   cs_time_us_t now);

#endif
