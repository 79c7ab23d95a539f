#include "cranberrystile/renewal.h"

/* Additional reads to wait for: the entry may be renewed just after a read,
   and the list that is read may be some seconds old.  */
#define EXTRA_READS 2

void
cs_renewal_record_read (cs_renewal_t *renewal, cs_revision_t revision)
{
  if (cs_revision_compare (renewal->revision, revision) == 0)
    {
      renewal->unchanged_reads++;
      return;
    }
  renewal->revision = revision;
  renewal->unchanged_reads = 0;
}

bool
cs_renewal_has_stopped (const cs_renewal_t *renewal, uint32_t renew_s,
                        uint32_t read_s)
{
  uint32_t reads_per_renewal = renew_s / read_s + 1;
  return renewal->unchanged_reads
         >= CS_MAX_MISSED_RENEWALS * reads_per_renewal + EXTRA_READS;
}
