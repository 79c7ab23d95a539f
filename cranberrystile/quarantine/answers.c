#include "quarantine/internal.h"

/* Interval at which answers to requests with a part are announced.  */
#define ANNOUNCE_INTERVAL_US CS_US_PER_S

/* The part has been answered since it came under suspicion.  */
static void
clear (cs_quarantine_t *quarantine, cs_suspect_t *suspect, cs_time_us_t now)
{
  bool blocked = cs_suspect_is_blocked (suspect, now);
  suspect->crash_count = 0;
  suspect->blocked_until = 0;
  suspect->blocks = 0;
  if (blocked)
    quarantine->on_blocked (quarantine->context, suspect->part, false, 0);
}

bool
cs_quarantine_is_within (cs_time_us_t at, cs_time_us_t limit, cs_time_us_t now)
{
  return at != 0 && now < at + limit;
}

static void
list_served (cs_quarantine_t *quarantine, const cs_id_list_t *list,
             cs_time_us_t now, cs_part_served_fn *announce, void *context)
{
  for (uint32_t i = 0; i < list->count; i++)
    {
      uint64_t part = list->ids[i];
      cs_suspect_t *suspect
          = cs_suspect_table_find (&quarantine->suspects, part);
      cs_time_us_t at = cs_served_at (&quarantine->served, part);
      if (suspect == NULL
          || !cs_quarantine_is_within (at, quarantine->policy.served_us, now)
          || at < suspect->served_at + ANNOUNCE_INTERVAL_US)
        continue;
      suspect->served_at = at;
      announce (context, &(cs_part_time_t){ part, at });
    }
}

void
cs_quarantine_list_served (cs_quarantine_t *quarantine,
                           const cs_crash_t *crash, cs_time_us_t now,
                           cs_part_served_fn *announce, void *context)
{
  list_served (quarantine, &crash->causes.requests, now, announce, context);
  list_served (quarantine, &crash->causes.parts, now, announce, context);
}

static void
record_served (cs_quarantine_t *quarantine, const cs_id_list_t *list,
               cs_time_us_t now, cs_part_served_fn *announce, void *context)
{
  for (uint32_t i = 0; i < list->count; i++)
    {
      cs_part_time_t served = { list->ids[i], now };
      cs_served_record (&quarantine->served, served.part, now);
      cs_suspect_t *suspect
          = cs_suspect_table_find (&quarantine->suspects, served.part);
      if (suspect == NULL)
        continue;
      if ((suspect->crash_count > 0 || cs_suspect_is_blocked (suspect, now))
          && now >= suspect->served_at + ANNOUNCE_INTERVAL_US)
        {
          suspect->served_at = now;
          announce (context, &served);
        }
      clear (quarantine, suspect, now);
    }
}

void
cs_quarantine_served (cs_quarantine_t *quarantine, const cs_causes_t *causes,
                      cs_time_us_t now, cs_part_served_fn *announce,
                      void *context)
{
  record_served (quarantine, &causes->requests, now, announce, context);
  record_served (quarantine, &causes->parts, now, announce, context);
}

bool
cs_quarantine_add_served (cs_quarantine_t *quarantine,
                          const cs_part_time_t *served, cs_time_us_t now)
{
  cs_suspect_t *suspect
      = cs_suspect_table_find (&quarantine->suspects, served->part);
  if (suspect == NULL || served->at <= suspect->served_at)
    return false;
  bool is_new = served->at >= suspect->served_at + ANNOUNCE_INTERVAL_US;
  suspect->served_at = served->at;
  if (served->at > suspect->first_crash_at)
    clear (quarantine, suspect, now);
  return is_new;
}
