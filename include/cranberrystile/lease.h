/* Leases kept in the platform, judged by the holder's own monotonic clock.  */

#ifndef CS_LEASE_H
#define CS_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/* The lease as last read from the platform.  */
typedef struct
{
  cs_name_t holder;     /* empty when nobody holds it */
  uint64_t transitions; /* changes of holder so far: the fencing number */
  uint64_t version;     /* changes with every renewal */
  uint32_t duration_s;
} cs_lease_record_t;

/* One router's knowledge of a lease.  Initialise with zeros.  */
typedef struct
{
  cs_lease_record_t record;
  cs_time_us_t observed; /* when VERSION was first seen to have this value */
  bool held;
  cs_time_us_t valid_until; /* from the time before the last renewal began */
  cs_time_us_t quiet_until; /* a new holder waits out the old one's orders */
} cs_lease_t;

typedef enum
{
  CS_LEASE_WAIT,    /* held by another one, or no need to write yet */
  CS_LEASE_ACQUIRE, /* write oneself as holder, transitions + 1 */
  CS_LEASE_RENEW
} cs_lease_step_t;

/* Takes a fresh reading of the lease.  */
void cs_lease_observe (cs_lease_t *lease, const cs_lease_record_t *record,
                       cs_str_t self, cs_time_us_t now);

/* What to do now.  The lease of another holder counts as expired only when its
   version was seen unchanged for the whole duration, by the own clock.  */
cs_lease_step_t cs_lease_next (const cs_lease_t *lease, cs_str_t self,
                               cs_time_us_t now);

/* Records a write that succeeded.  BEGUN is the time before the write was
   sent.  ORDER_MOST_US is the longest order of an earlier holder that may
   still be under way.  */
void cs_lease_written (cs_lease_t *lease, const cs_lease_record_t *record,
                       cs_time_us_t begun, cs_time_us_t order_most_us);

/* A write failed or its outcome is unknown: the validity does not grow.  */
bool cs_lease_is_valid (const cs_lease_t *lease, cs_time_us_t now);

/* Whether an order that lasts at most ORDER_US may be sent now. CHECKS_FENCING
   says that the target refuses old fencing numbers itself, so that an old
   holder's orders need not be waited out.  */
bool cs_lease_may_order (const cs_lease_t *lease, bool checks_fencing,
                         cs_time_us_t order_us, cs_time_us_t now);

#endif
