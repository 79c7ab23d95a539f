#include "quarantine/suspect.h"

bool
cs_suspect_is_blocked (const cs_suspect_t *suspect, cs_time_us_t now)
{
  return now < suspect->blocked_until;
}

bool
cs_suspect_has_crash (const cs_suspect_t *suspect, uint64_t target)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashed[i] == target)
      return true;
  return false;
}

void
cs_suspect_remove_crash (cs_suspect_t *suspect, uint64_t target)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashed[i] == target)
      {
        suspect->crashed[i] = suspect->crashed[--suspect->crash_count];
        return;
      }
}

bool
cs_suspect_add_crash (cs_suspect_t *suspect, const cs_crash_t *crash,
                      cs_time_us_t evidence_us)
{
  if (suspect->changed_at + evidence_us < crash->at)
    suspect->crash_count = 0;
  if (cs_suspect_has_crash (suspect, crash->target)
      || (suspect->served_at != 0 && crash->at < suspect->served_at))
    return false;
  if (suspect->crash_count == CS_SUSPECT_CRASHES)
    cs_suspect_remove_crash (suspect, suspect->crashed[0]);
  if (suspect->crash_count == 0 || crash->at < suspect->first_crash_at)
    suspect->first_crash_at = crash->at;
  if (crash->at > suspect->changed_at)
    suspect->changed_at = crash->at;
  suspect->crashed[suspect->crash_count++] = crash->target;
  return true;
}
