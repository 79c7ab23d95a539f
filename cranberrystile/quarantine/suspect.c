#include "quarantine/suspect.h"

#include <stdlib.h>

/* Entries of a full table that are looked at for a place.  */
#define SAMPLE 64

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

cs_suspect_t *
cs_suspect_table_find (const cs_suspect_table_t *table, uint64_t part)
{
  cs_suspect_t *found = NULL;
  HASH_FIND (hh, table->by_part, &part, sizeof part, found);
  return found;
}

/* Returns the number of crashes under SUSPECT that still count.  */
static uint32_t
recent_crashes (const cs_suspect_t *suspect, cs_time_us_t evidence_us,
                cs_time_us_t now)
{
  return suspect->changed_at + evidence_us < now ? 0 : suspect->crash_count;
}

/* Whether A is under less suspicion than B: it is not blocked, or fewer
   targets crashed under it, or the last of them did so earlier.  */
static bool
is_less_suspect (const cs_suspect_t *a, const cs_suspect_t *b,
                 cs_time_us_t evidence_us, cs_time_us_t now)
{
  uint32_t crashes_a = recent_crashes (a, evidence_us, now);
  uint32_t crashes_b = recent_crashes (b, evidence_us, now);
  if (cs_suspect_is_blocked (a, now) != cs_suspect_is_blocked (b, now))
    return !cs_suspect_is_blocked (a, now);
  if (crashes_a != crashes_b)
    return crashes_a < crashes_b;
  return a->changed_at < b->changed_at;
}

/* Returns the one under the least suspicion of COUNT entries from the next one
   on.  */
static cs_suspect_t *
least_suspect (cs_suspect_table_t *table, size_t count,
               cs_time_us_t evidence_us, cs_time_us_t now)
{
  cs_suspect_t *least = NULL;
  for (size_t i = 0; i < count; i++)
    {
      cs_suspect_t *suspect = &table->entries[table->next++ % table->count];
      if (least == NULL || is_less_suspect (suspect, least, evidence_us, now))
        least = suspect;
    }
  return least;
}

/* Frees a place in TABLE, which is full.  */
static cs_suspect_t *
displace (cs_suspect_table_t *table, cs_time_us_t evidence_us,
          cs_time_us_t now)
{
  cs_suspect_t *suspect = least_suspect (table, SAMPLE, evidence_us, now);
  if (cs_suspect_is_blocked (suspect, now)
      || recent_crashes (suspect, evidence_us, now) > 1)
    suspect = least_suspect (table, table->count, evidence_us, now);
  HASH_DELETE (hh, table->by_part, suspect);
  return suspect;
}

cs_suspect_t *
cs_suspect_table_add (cs_suspect_table_t *table, uint64_t part,
                      cs_time_us_t evidence_us, cs_time_us_t now)
{
  cs_suspect_t *suspect = cs_suspect_table_find (table, part);
  if (suspect != NULL)
    return suspect;
  if (table->entries == NULL)
    table->entries = calloc (CS_QUARANTINE_SUSPECTS, sizeof *table->entries);
  if (table->entries == NULL)
    return NULL;
  suspect = table->count < CS_QUARANTINE_SUSPECTS
                ? &table->entries[table->count++]
                : displace (table, evidence_us, now);
  *suspect = (cs_suspect_t){ .part = part };
  HASH_ADD (hh, table->by_part, part, sizeof suspect->part, suspect);
  return suspect;
}

void
cs_suspect_table_free (cs_suspect_table_t *table)
{
  HASH_CLEAR (hh, table->by_part);
  free (table->entries);
  *table = (cs_suspect_table_t){ 0 };
}
