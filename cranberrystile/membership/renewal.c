#include "cranberrystile/renewal.h"

/* An entry may be renewed just after a look, and its list may be some seconds
   old.  */
#define LOOKS_LATE 2

void
cs_renewal_record_read (cs_renewal_t *renewal, uint64_t revision)
{
  if (renewal->revision == revision)
    {
      renewal->looks++;
      return;
    }
  renewal->revision = revision;
  renewal->looks = 0;
}

bool
cs_renewal_has_stopped (const cs_renewal_t *renewal, uint32_t renew_s,
                        uint32_t look_s)
{
  uint32_t looks_a_renewal = renew_s / look_s + 1;
  return renewal->looks
         >= CS_MAX_MISSED_RENEWALS * looks_a_renewal + LOOKS_LATE;
}
