/* Ejection of failing targets, with graded return.

   A target is ejected after several failures in a row, for a time that doubles
   with each ejection.  When the time is over it is on trial: one success
   returns it, one failure ejects it again.  Not thread-safe.  */

#ifndef CS_EJECT_H
#define CS_EJECT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

typedef struct
{
  uint32_t failures_to_eject;
  cs_time_us_t first_us; /* length of the first ejection */
  cs_time_us_t most_us;
  double share_most; /* largest share of a pool ejected at a time */
} cs_eject_policy_t;

cs_eject_policy_t cs_eject_policy_default (void);

/* History of one target.  Initialise with zeros.  */
typedef struct
{
  uint32_t failures; /* in a row */
  uint32_t ejections;
  cs_time_us_t ejected_until;
} cs_eject_t;

void cs_eject_success (cs_eject_t *eject);

/* Counts a failure; returns true when it ejects the target.  EJECTED of TOTAL
   targets of the pool are ejected already.  */
bool cs_eject_failure (cs_eject_t *eject, const cs_eject_policy_t *policy,
                       uint32_t ejected, uint32_t total, cs_time_us_t now);
/* The target was silent, or took no connection: ejects it at once.  Returns
   true unless it is ejected already.  */
bool cs_eject_now (cs_eject_t *eject, const cs_eject_policy_t *policy,
                   cs_time_us_t now);
bool cs_eject_is_ejected (const cs_eject_t *eject, cs_time_us_t now);

#endif
