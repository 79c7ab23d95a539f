/* Leases stored in the platform.  Each router judges their validity by its own
   monotonic clock.  */

#ifndef CS_LEASE_H
#define CS_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/* The lease as last read from the platform.  */
typedef struct
{
  cs_name_t holder;     /* empty if nobody holds it */
  uint64_t transitions; /* number of holder changes: the fencing token */
  uint64_t version;     /* changes on every renewal */
  uint32_t duration_s;
} cs_lease_record_t;

/* A router's view of a lease.  Zero-initialise.  */
typedef struct
{
  cs_lease_record_t record;
  cs_time_us_t observed_at; /* when this version was first seen */
  bool held;
  cs_time_us_t valid_until; /* counted from before the last renewal was sent */
  cs_time_us_t orders_blocked_until; /* while old holders' orders may run */
} cs_lease_t;

typedef enum
{
  CS_LEASE_WAIT,    /* held by another router, or no write due yet */
  CS_LEASE_ACQUIRE, /* write self as holder, with transitions + 1 */
  CS_LEASE_RENEW
} cs_lease_step_t;

/* Updates LEASE from RECORD, as read from the platform at NOW.  */
void cs_lease_observe (cs_lease_t *lease, const cs_lease_record_t *record,
                       cs_str_t self, cs_time_us_t now);

/* Returns what to do next.  Another holder's lease has expired once its
   version was seen unchanged for the whole duration on the local clock.  */
cs_lease_step_t cs_lease_next (const cs_lease_t *lease, cs_str_t self,
                               cs_time_us_t now);

/* Records a successful write, sent no earlier than SENT_AT.  MAX_ORDER_US is
   the longest duration of an order that the previous holder may still have in
   flight.  */
void cs_lease_written (cs_lease_t *lease, const cs_lease_record_t *record,
                       cs_time_us_t sent_at, cs_time_us_t max_order_us);

/* Whether the lease is held, with a safety margin before its end.  A write
   that failed or whose outcome is unknown doesn't extend it.  */
bool cs_lease_is_valid (const cs_lease_t *lease, cs_time_us_t now);

/* Whether an order that takes at most ORDER_US may be sent at NOW.  Unless the
   target rejects old fencing tokens itself (CHECKS_FENCING), the orders of the
   previous holder have to end first.  */
bool cs_lease_may_order (const cs_lease_t *lease, bool checks_fencing,
                         cs_time_us_t order_us, cs_time_us_t now);

#endif
