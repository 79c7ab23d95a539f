/* Detects entries in the platform's store that are no longer renewed.

   This is measured in reads of the store, not in time: while the store cannot
   be read it cannot be updated either, and the clocks of the hosts may
   differ.  */

#ifndef CS_RENEWAL_H
#define CS_RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

#include "cranberrystile/revision.h"

/* A running owner misses this many consecutive renewals only if it is cut off
   from the store, not because of single failed calls.  */
#define CS_MAX_MISSED_RENEWALS 3

typedef struct
{
  cs_revision_t revision;   /* of the entry, as last seen */
  uint32_t unchanged_reads; /* consecutive reads that found it unchanged */
} cs_renewal_t;

/* Records that a read of the store returned the entry at REVISION.  */
void cs_renewal_record_read (cs_renewal_t *renewal, cs_revision_t revision);

/* Returns whether an entry that is due for renewal every RENEW_S and read
   every READ_S seconds has missed CS_MAX_MISSED_RENEWALS renewals.  */
bool cs_renewal_has_stopped (const cs_renewal_t *renewal, uint32_t renew_s,
                             uint32_t read_s);

#endif
