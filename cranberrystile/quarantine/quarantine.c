#include "cranberrystile/quarantine.h"

#include <stdlib.h>

#include "quarantine/suspect.h"

/* Parts of which the latest answer is known.  Of those that share an entry the
   latest is kept.  */
#define SERVED_PARTS 2048
/* Peers hear of the answers to requests with a part this often.  */
#define ANNOUNCE_INTERVAL_US CS_US_PER_S

struct cs_quarantine
{
  cs_quarantine_policy_t policy;
  cs_part_blocked_fn *on_blocked;
  void *context;
  cs_suspect_t *suspects; /* allocated with the first crash */
  size_t suspect_count;
  cs_part_served_t served[SERVED_PARTS];
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

static void
set_blocked (cs_quarantine_t *quarantine, cs_suspect_t *suspect,
             uint32_t crashes, cs_time_us_t now)
{
  suspect->blocked_until = now + quarantine->policy.block_us;
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
  suspect->was_blocked = false;
  if (blocked)
    quarantine->on_blocked (quarantine->context, suspect->part, false, 0);
}

/* When this router last answered a request with PART; 0: not known.  */
static cs_time_us_t
own_served_at (const cs_quarantine_t *quarantine, uint64_t part)
{
  const cs_part_served_t *entry = &quarantine->served[part % SERVED_PARTS];
  return entry->part == part ? entry->at : 0;
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
         || is_within (own_served_at (quarantine, suspect->part), limit, now);
}

static uint32_t
crashes_to_block (const cs_quarantine_t *quarantine,
                  const cs_suspect_t *suspect, cs_time_us_t now)
{
  if (suspect->was_blocked)
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

/* Blocks those parts of CRASH under which most targets crashed, if these are
   enough.  Returns whether there are any.  */
static bool
block_candidates (cs_quarantine_t *quarantine, const cs_crash_t *crash,
                  cs_time_us_t now)
{
  uint32_t most = 0;
  cs_suspect_t *candidates[CS_MAX_PART_IDS];
  uint32_t count = 0;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      cs_suspect_t *suspect = find (quarantine, crash->parts.ids[i]);
      if (!is_candidate (quarantine, suspect, now)
          || suspect->crash_count < most)
        continue;
      if (suspect->crash_count > most)
        count = 0;
      most = suspect->crash_count;
      candidates[count++] = suspect;
    }
  for (uint32_t i = 0; i < count; i++)
    set_blocked (quarantine, candidates[i], candidates[i]->crash_count, now);
  for (uint32_t i = 0; i < count; i++)
    explain_crashes (quarantine, candidates[i], now);
  return count > 0;
}

void
cs_quarantine_drop_innocent (const cs_quarantine_t *quarantine,
                             cs_crash_t *crash, cs_time_us_t now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    if (!is_within (own_served_at (quarantine, crash->parts.ids[i]),
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
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      cs_suspect_t *suspect
          = explained ? find (quarantine, crash->parts.ids[i])
                      : find_or_add (quarantine, crash->parts.ids[i], now);
      if (suspect == NULL
          || (explained && !cs_suspect_is_blocked (suspect, now)))
        continue;
      if (cs_suspect_add_crash (suspect, crash,
                                quarantine->policy.evidence_us))
        is_news = true;
    }
  if (is_news && !explained && block_candidates (quarantine, crash, now))
    return CS_CRASH_BLOCKED;
  return is_news ? CS_CRASH_NEWS : CS_CRASH_KNOWN;
}

size_t
cs_quarantine_list_served (cs_quarantine_t *quarantine,
                           const cs_crash_t *crash, cs_time_us_t now,
                           cs_part_served_t out[CS_MAX_PART_IDS])
{
  size_t count = 0;
  for (uint32_t i = 0; i < crash->parts.count; i++)
    {
      uint64_t part = crash->parts.ids[i];
      cs_suspect_t *suspect = find (quarantine, part);
      cs_time_us_t at = own_served_at (quarantine, part);
      if (suspect == NULL || !is_within (at, quarantine->policy.served_us, now)
          || at < suspect->served_at + ANNOUNCE_INTERVAL_US)
        continue;
      suspect->served_at = at;
      out[count++] = (cs_part_served_t){ part, at };
    }
  return count;
}

size_t
cs_quarantine_served (cs_quarantine_t *quarantine,
                      const cs_prompt_parts_t *parts, cs_time_us_t now,
                      cs_part_served_t out[CS_MAX_PART_IDS])
{
  size_t count = 0;
  for (uint32_t i = 0; i < parts->count; i++)
    {
      cs_part_served_t served = { parts->ids[i], now };
      quarantine->served[served.part % SERVED_PARTS] = served;
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
                          const cs_part_served_t *served, cs_time_us_t now)
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
cs_quarantine_block (cs_quarantine_t *quarantine, uint64_t part,
                     cs_time_us_t now)
{
  cs_suspect_t *suspect = find_or_add (quarantine, part, now);
  if (suspect == NULL || cs_suspect_is_blocked (suspect, now)
      || is_served (quarantine, suspect, quarantine->policy.served_us, now))
    return false;
  if (suspect->crash_count == 0)
    suspect->first_crash_at = now;
  set_blocked (quarantine, suspect, 0, now);
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
  suspect->was_blocked = true;
  quarantine->on_blocked (quarantine->context, suspect->part, false, 0);
}

bool
cs_quarantine_blocks (cs_quarantine_t *quarantine,
                      const cs_prompt_parts_t *parts, cs_time_us_t now,
                      cs_time_us_t *until)
{
  for (uint32_t i = 0; i < parts->count; i++)
    {
      cs_suspect_t *suspect = find (quarantine, parts->ids[i]);
      if (suspect == NULL)
        continue;
      end_block (quarantine, suspect, now);
      if (!cs_suspect_is_blocked (suspect, now))
        continue;
      suspect->blocked_until = now + quarantine->policy.block_us;
      *until = suspect->blocked_until;
      return true;
    }
  return false;
}

size_t
cs_quarantine_list_blocked (const cs_quarantine_t *quarantine,
                            cs_time_us_t now,
                            uint64_t out[CS_QUARANTINE_SUSPECTS])
{
  size_t count = 0;
  for (size_t i = 0; i < quarantine->suspect_count; i++)
    if (cs_suspect_is_blocked (&quarantine->suspects[i], now))
      out[count++] = quarantine->suspects[i].part;
  return count;
}
