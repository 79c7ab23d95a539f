/* Ejection of failing targets, as in outlier detection.

   A target is ejected after several consecutive failures, for a time that
   doubles with each ejection.  Afterwards it is on probation: one success
   reinstates it, one failure ejects it again.  Each success also takes
   back one doubling.  Not thread-safe.  */

#ifndef CS_EJECT_H
#define CS_EJECT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

typedef struct
{
  uint32_t failures_to_eject;       /* consecutive */
  cs_time_us_t initial_ejection_us; /* length of a first ejection */
  cs_time_us_t max_ejection_us;
  double max_ejected_share; /* of a pool, at any time */
} cs_eject_policy_t;

cs_eject_policy_t cs_eject_policy_default (void);

/* Ejection state of one target.  Zero-initialise.  */
typedef struct
{
  uint32_t failures; /* consecutive */
  uint32_t ejections;
  cs_time_us_t ejected_until;
} cs_eject_t;

void cs_eject_success (cs_eject_t *eject);

/* Records a failure; returns true if it ejects the target.  EJECTED of the
   TOTAL targets of the pool are already ejected.  */
bool cs_eject_failure (cs_eject_t *eject, const cs_eject_policy_t *policy,
                       uint32_t ejected, uint32_t total, cs_time_us_t now);

/* Ejects the target at once, without counting failures: it sent no response,
   or accepted no connection.  Returns false if it is already ejected.  */
bool cs_eject_now (cs_eject_t *eject, const cs_eject_policy_t *policy,
                   cs_time_us_t now);
bool cs_eject_is_ejected (const cs_eject_t *eject, cs_time_us_t now);

#endif
