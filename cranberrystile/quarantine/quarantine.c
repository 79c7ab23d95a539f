#include "cranberrystile/quarantine.h"

#include <stdlib.h>

#include "quarantine/served.h"
#include "quarantine/suspect.h"

/* Peers hear of the answers to requests with a part this often.  */
#define ANNOUNCE_INTERVAL_US CS_US_PER_S
/* A block is at most 64 times as long as the first one.  */
#define MAX_DOUBLINGS 6

struct cs_quarantine
{
  cs_quarantine_policy_t policy;
  cs_part_blocked_fn *on_blocked;
  void *context;
  cs_suspect_t *suspects; /* allocated with the first crash */
  size_t suspect_count;
  cs_served_t served;
};

cs_quarantine_policy_t
cs_quarantine_policy_default (void)
{
  cs_quarantine_policy_t policy = {
    .crashes = 3,
    .crashes_served = 5,
    .served_us = 60 * CS_US_PER_S,
    .innocent_us = 2 * CS_US_PER_S,
    .evidence_us = 600 * CS_US_PER_S,
    .block_us = 600 * CS_US_PER_S,
  };
  return policy;
}

cs_quarantine_t *
cs_quarantine_create (const cs_quarantine_policy_t *policy,
                      cs_part_blocked_fn *on_blocked, void *context)
{
  cs_quarantine_t *quarantine = calloc (1, sizeof *quarantine);
  if (quarantine == NULL)
    return NULL;
  quarantine->policy = *policy;
  quarantine->on_blocked = on_blocked;
  quarantine->context = context;
  return quarantine;
}

void
cs_quarantine_destroy (cs_quarantine_t *quarantine)
{
  if (quarantine == NULL)
    return;
  free (quarantine->suspects);
  free (quarantine);
}

static cs_suspect_t *
find (const cs_quarantine_t *quarantine, uint64_t part)
{
  for (size_t i = 0; i < quarantine->suspect_count; i++)
    if (quarantine->suspects[i].part == part)
      return &quarantine->suspects[i];
  return NULL;
}

/* Returns the entry whose suspicion is oldest; blocked ones come last.  */
static cs_suspect_t *
find_oldest (const cs_quarantine_t *quarantine, cs_time_us_t now)
{
  cs_suspect_t *oldest = &quarantine->suspects[0];
  for (size_t i = 1; i < quarantine->suspect_count; i++)
    {
      cs_suspect_t *other = &quarantine->suspects[i];
      if (cs_suspect_is_blocked (oldest, now)
                  != cs_suspect_is_blocked (other, now)
              ? cs_suspect_is_blocked (oldest, now)
              : other->changed_at < oldest->changed_at)
        oldest = other;
    }
  return oldest;
}

/* Returns NULL if memory is exhausted.  */
static cs_suspect_t *
find_or_add (cs_quarantine_t *quarantine, uint64_t part, cs_time_us_t now)
{
  cs_suspect_t *suspect = find (quarantine, part);
  if (suspect != NULL)
    return suspect;
  if (quarantine->suspects == NULL)
    quarantine->suspects
        = calloc (CS_QUARANTINE_SUSPECTS, sizeof *quarantine->suspects);
  if (quarantine->suspects == NULL)
    return NULL;
  if (quarantine->suspect_count < CS_QUARANTINE_SUSPECTS)
    suspect = &quarantine->suspects[quarantine->suspect_count++];
  else
    suspect = find_oldest (quarantine, now);
  *suspect = (cs_suspect_t){ .part = part };
  return suspect;
}

/* Blocks SUSPECT from AT on.  */
static void
set_blocked (cs_quarantine_t *quarantine, cs_suspect_t *suspect,
             uint32_t crashes, cs_time_us_t at, cs_time_us_t now)
{
  uint32_t doublings
      = suspect->blocks < MAX_DOUBLINGS ? suspect->blocks : MAX_DOUBLINGS;
  suspect->blocks++;
  suspect->blocked_at = at;
  suspect->blocked_until = at + (quarantine->policy.block_us << doublings);
  suspect->changed_at = now;
  quarantine->on_blocked (quarantine->context, suspect->part, true, crashes);
}

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

static bool
is_within (cs_time_us_t at, cs_time_us_t limit, cs_time_us_t now)
{
  return at != 0 && now < at + limit;
}

static bool
is_served (const cs_quarantine_t *quarantine, const cs_suspect_t *suspect,
           cs_time_us_t limit, cs_time_us_t now)
{
  return is_within (suspect->served_at, limit, now)
         || is_within (cs_served_at (&quarantine->served, suspect->part),
                       limit, now);
}

static uint32_t
crashes_to_block (const cs_quarantine_t *quarantine,
                  const cs_suspect_t *suspect, cs_time_us_t now)
{
  if (suspect->blocks > 0)
    return 1;
  if (is_served (quarantine, suspect, quarantine->policy.served_us, now))
    return quarantine->policy.crashes_served;
  return quarantine->policy.crashes;
}

/* Whether the crash is due to a part that is blocked.  */
static bool
is_explained (const cs_quarantine_t *quarantine, const cs_crash_t *crash,
              cs_time_us_t now)
{
  for (size_t i = 0; i < quarantine->suspect_count; i++)
    {
      const cs_suspect_t *suspect = &quarantine->suspects[i];
      if (!cs_suspect_is_blocked (suspect, now))
        continue;
      if (cs_suspect_has_crash (suspect, crash->target))
        return true;
      for (uint32_t j = 0; j < crash->parts.count; j++)
        if (suspect->part == crash->parts.ids[j])
          return true;
    }
  return false;
}

/* Removes the crashes under the blocked part CAUSE from the other suspects. */
static void
explain_crashes (cs_quarantine_t *quarantine, const cs_suspect_t *cause,
                 cs_time_us_t now)
{
  for (size_t i = 0; i < quarantine->suspect_count; i++)
    {
      cs_suspect_t *suspect = &quarantine->suspects[i];
      if (!cs_suspect_is_blocked (suspect, now))
        for (uint32_t j = 0; j < cause->crash_count; j++)
          cs_suspect_remove_crash (suspect, cause->crashed[j]);
    }
}

static bool
is_candidate (const cs_quarantine_t *quarantine, const cs_suspect_t *suspect,
              cs_time_us_t now)
{
  return suspect != NULL && !cs_suspect_is_blocked (suspect, now)
         && !is_served (quarantine, suspect, quarantine->policy.innocent_us,
                        now)
         && suspect->crash_count
                >= crashes_to_block (quarantine, suspect, now);
}

/* Blocks the part of CRASH under which most targets crashed, if these are
   enough: the last one of several, as fewer requests share it.  Returns
   whether there is one.  */
static bool
block_candidate (cs_quarantine_t *quarantine, const cs_crash_t *crash,
                 cs_time_us_t now)
{
  cs_suspect_t *cause = NULL;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      cs_suspect_t *suspect = find (quarantine, crash->parts.ids[i]);
      if (is_candidate (quarantine, suspect, now)
          && (cause == NULL || suspect->crash_count >= cause->crash_count))
        cause = suspect;
    }
  if (cause == NULL)
    return false;
  set_blocked (quarantine, cause, cause->crash_count, now, now);
  explain_crashes (quarantine, cause, now);
  return true;
}

void
cs_quarantine_drop_innocent (const cs_quarantine_t *quarantine,
                             cs_crash_t *crash, cs_time_us_t now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    if (!is_within (cs_served_at (&quarantine->served, crash->parts.ids[i]),
                    quarantine->policy.innocent_us, now))
      crash->parts.ids[kept++] = crash->parts.ids[i];
  crash->parts.count = kept;
}

cs_crash_result_t
cs_quarantine_add_crash (cs_quarantine_t *quarantine, const cs_crash_t *crash,
                         cs_time_us_t now)
{
  bool is_news = false;
  bool explained = is_explained (quarantine, crash, now);
  if (crash->at + quarantine->policy.evidence_us < now)
    return CS_CRASH_KNOWN;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      uint64_t part = crash->parts.ids[i];
      if (cs_served_at (&quarantine->served, part) > crash->at)
        continue;
      cs_suspect_t *suspect = explained ? find (quarantine, part)
                                        : find_or_add (quarantine, part, now);
      if (suspect == NULL
          || (explained && !cs_suspect_is_blocked (suspect, now)))
        continue;
      if (cs_suspect_add_crash (suspect, crash,
                                quarantine->policy.evidence_us))
        is_news = true;
    }
  if (is_news && !explained && block_candidate (quarantine, crash, now))
    return CS_CRASH_BLOCKED;
  return is_news ? CS_CRASH_NEWS : CS_CRASH_KNOWN;
}

size_t
cs_quarantine_list_served (cs_quarantine_t *quarantine,
                           const cs_crash_t *crash, cs_time_us_t now,
                           cs_part_time_t out[CS_ID_LIST_MAX])
{
  size_t count = 0;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      uint64_t part = crash->parts.ids[i];
      cs_suspect_t *suspect = find (quarantine, part);
      cs_time_us_t at = cs_served_at (&quarantine->served, part);
      if (suspect == NULL || !is_within (at, quarantine->policy.served_us, now)
          || at < suspect->served_at + ANNOUNCE_INTERVAL_US)
        continue;
      suspect->served_at = at;
      out[count++] = (cs_part_time_t){ part, at };
    }
  return count;
}

size_t
cs_quarantine_served (cs_quarantine_t *quarantine, const cs_id_list_t *parts,
                      cs_time_us_t now, cs_part_time_t out[CS_ID_LIST_MAX])
{
  size_t count = 0;
  for (uint32_t i = 0; i < parts->count; i++)
    {
      cs_part_time_t served = { parts->ids[i], now };
      cs_served_record (&quarantine->served, served.part, now);
      cs_suspect_t *suspect = find (quarantine, served.part);
      if (suspect == NULL)
        continue;
      if ((suspect->crash_count > 0 || cs_suspect_is_blocked (suspect, now))
          && now >= suspect->served_at + ANNOUNCE_INTERVAL_US)
        {
          suspect->served_at = now;
          out[count++] = served;
        }
      clear (quarantine, suspect, now);
    }
  return count;
}

bool
cs_quarantine_add_served (cs_quarantine_t *quarantine,
                          const cs_part_time_t *served, cs_time_us_t now)
{
  cs_suspect_t *suspect = find (quarantine, served->part);
  if (suspect == NULL || served->at <= suspect->served_at)
    return false;
  bool is_news = served->at >= suspect->served_at + ANNOUNCE_INTERVAL_US;
  suspect->served_at = served->at;
  if (served->at > suspect->first_crash_at)
    clear (quarantine, suspect, now);
  return is_news;
}

bool
cs_quarantine_block (cs_quarantine_t *quarantine,
                     const cs_part_time_t *blocked, cs_time_us_t now)
{
  cs_suspect_t *suspect = find_or_add (quarantine, blocked->part, now);
  if (suspect == NULL || cs_suspect_is_blocked (suspect, now)
      || blocked->at + quarantine->policy.block_us <= now
      || is_served (quarantine, suspect, quarantine->policy.served_us, now))
    return false;
  if (suspect->crash_count == 0)
    suspect->first_crash_at = blocked->at;
  set_blocked (quarantine, suspect, 0, blocked->at, now);
  explain_crashes (quarantine, suspect, now);
  return true;
}

/* Ends the block of SUSPECT if it has run out.  The next crash under the part
   blocks it again.  */
static void
end_block (cs_quarantine_t *quarantine, cs_suspect_t *suspect,
           cs_time_us_t now)
{
  if (suspect->blocked_until == 0 || cs_suspect_is_blocked (suspect, now))
    return;
  suspect->blocked_until = 0;
  suspect->crash_count = 0;
  quarantine->on_blocked (quarantine->context, suspect->part, false, 0);
}

bool
cs_quarantine_is_blocked (const cs_quarantine_t *quarantine, uint64_t part,
                          cs_time_us_t now)
{
  const cs_suspect_t *suspect = find (quarantine, part);
  return suspect != NULL && cs_suspect_is_blocked (suspect, now);
}

bool
cs_quarantine_blocks (cs_quarantine_t *quarantine, const cs_id_list_t *parts,
                      cs_time_us_t now, cs_time_us_t *until)
{
  for (uint32_t i = 0; i < parts->count; i++)
    {
      cs_suspect_t *suspect = find (quarantine, parts->ids[i]);
      if (suspect == NULL)
        continue;
      end_block (quarantine, suspect, now);
      if (!cs_suspect_is_blocked (suspect, now))
        continue;
      *until = suspect->blocked_until;
      return true;
    }
  return false;
}

size_t
cs_quarantine_list_blocked (const cs_quarantine_t *quarantine,
                            cs_time_us_t now,
                            cs_part_time_t out[CS_QUARANTINE_SUSPECTS])
{
  size_t count = 0;
  for (size_t i = 0; i < quarantine->suspect_count; i++)
    if (cs_suspect_is_blocked (&quarantine->suspects[i], now))
      out[count++] = (cs_part_time_t){ quarantine->suspects[i].part,
                                       quarantine->suspects[i].blocked_at };
  return count;
}
