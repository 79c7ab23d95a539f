/* State of the quarantine, private to this folder.  */

#ifndef CS_QUARANTINE_INTERNAL_H
#define CS_QUARANTINE_INTERNAL_H

#include "quarantine/served.h"
#include "quarantine/suspect.h"

struct cs_quarantine
{
  cs_quarantine_policy_t policy;
  cs_part_blocked_fn *on_blocked;
  void *context;
  cs_suspect_table_t suspects;
  cs_served_t served;
};

/* Whether AT, 0 for never, is less than LIMIT ago.  */
bool cs_quarantine_is_within (cs_time_us_t at, cs_time_us_t limit,
                              cs_time_us_t now);

#endif
