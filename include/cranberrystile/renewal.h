/* Whether the owner of an entry in the platform's store still renews it.

   Counted in looks at the store, not in time: while the store cannot be read
   nobody can renew either, and the hosts' clocks need not agree.  */

#ifndef CS_RENEWAL_H
#define CS_RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

/* An owner that lives misses so many renewals in a row only when it is cut off
   from the store, not by lost calls.  */
#define CS_MAX_MISSED_RENEWALS 3

typedef struct
{
  uint64_t revision; /* of the entry, as last seen */
  uint32_t looks;    /* that found it unchanged since */
} cs_renewal_t;

/* The store was read, and holds the entry at REVISION.  */
void cs_renewal_record_read (cs_renewal_t *renewal, uint64_t revision);

/* Whether an entry that should be renewed each RENEW_S, and is looked at each
   LOOK_S, has missed CS_MAX_MISSED_RENEWALS renewals.  */
bool cs_renewal_has_stopped (const cs_renewal_t *renewal, uint32_t renew_s,
                             uint32_t look_s);

#endif
