#include "cranberrystile/quarantine.h"

#include <stdlib.h>

#include "quarantine/internal.h"

/* A block is at most 64 times as long as the first one.  */
#define MAX_DOUBLINGS 6

cs_quarantine_policy_t
cs_quarantine_policy_default (void)
{
  cs_quarantine_policy_t policy = {
    .crashes = 3,
    .crashes_served = 5,
    .served_us = 60 * CS_US_PER_S,
    .trusted_us = 2 * CS_US_PER_S,
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
  cs_suspect_table_free (&quarantine->suspects);
  free (quarantine);
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

static bool
is_served (const cs_quarantine_t *quarantine, const cs_suspect_t *suspect,
           cs_time_us_t limit, cs_time_us_t now)
{
  return cs_quarantine_is_within (suspect->served_at, limit, now)
         || cs_quarantine_is_within (
             cs_served_at (&quarantine->served, suspect->part), limit, now);
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

/* Whether the crash is due to a part that is blocked, or also, with
   BY_REQUESTS, to a request.  */
static bool
is_explained (const cs_quarantine_t *quarantine, const cs_crash_t *crash,
              bool by_requests, cs_time_us_t now)
{
  for (size_t i = 0; i < quarantine->suspects.count; i++)
    {
      const cs_suspect_t *suspect = &quarantine->suspects.entries[i];
      if (!cs_suspect_is_blocked (suspect, now)
          || (suspect->is_request && !by_requests))
        continue;
      if (cs_suspect_has_crash (suspect, crash->target)
          || cs_id_list_has (&crash->causes.parts, suspect->part)
          || cs_id_list_has (&crash->causes.requests, suspect->part))
        return true;
    }
  return false;
}

/* Removes the crashes under the blocked part CAUSE from the other suspects.  A
   request explains none of other requests: if one that always came with the
   cause were blocked first, the cause would not be.  */
static void
explain_crashes (cs_quarantine_t *quarantine, const cs_suspect_t *cause,
                 cs_time_us_t now)
{
  for (size_t i = 0; i < quarantine->suspects.count; i++)
    {
      cs_suspect_t *suspect = &quarantine->suspects.entries[i];
      if (cs_suspect_is_blocked (suspect, now)
          || (cause->is_request && suspect->is_request))
        continue;
      for (uint32_t j = 0; j < cause->crash_count; j++)
        cs_suspect_remove_crash (suspect, cause->crashed[j]);
    }
}

static bool
is_candidate (const cs_quarantine_t *quarantine, const cs_suspect_t *suspect,
              cs_time_us_t now)
{
  return suspect != NULL && !cs_suspect_is_blocked (suspect, now)
         && !is_served (quarantine, suspect, quarantine->policy.trusted_us,
                        now)
         && suspect->crash_count
                >= crashes_to_block (quarantine, suspect, now);
}

static void
block (cs_quarantine_t *quarantine, cs_suspect_t *cause, cs_time_us_t now)
{
  set_blocked (quarantine, cause, cause->crash_count, now, now);
  explain_crashes (quarantine, cause, now);
}

/* Blocks each request of CRASH under which enough targets crashed.  Returns
   whether there is one.  */
static bool
block_requests (cs_quarantine_t *quarantine, const cs_crash_t *crash,
                cs_time_us_t now)
{
  const cs_id_list_t *requests = &crash->causes.requests;
  bool any = false;
  for (uint32_t i = 0; i < requests->count; i++)
    {
      cs_suspect_t *suspect
          = cs_suspect_table_find (&quarantine->suspects, requests->ids[i]);
      if (!is_candidate (quarantine, suspect, now))
        continue;
      block (quarantine, suspect, now);
      any = true;
    }
  return any;
}

/* Blocks the part of CRASH under which most targets crashed, if these are
   enough: the last one of several, as fewer requests share it.  Returns
   whether there is one.  */
static bool
block_part (cs_quarantine_t *quarantine, const cs_crash_t *crash,
            cs_time_us_t now)
{
  const cs_id_list_t *parts = &crash->causes.parts;
  cs_suspect_t *cause = NULL;
  for (uint32_t i = 0; i < parts->count; i++)
    {
      cs_suspect_t *suspect
          = cs_suspect_table_find (&quarantine->suspects, parts->ids[i]);
      if (is_candidate (quarantine, suspect, now)
          && (cause == NULL || suspect->crash_count >= cause->crash_count))
        cause = suspect;
    }
  if (cause != NULL)
    block (quarantine, cause, now);
  return cause != NULL;
}

/* Removes from LIST what was answered less than LIMIT ago.  */
static void
drop_answered (const cs_quarantine_t *quarantine, cs_id_list_t *list,
               cs_time_us_t limit, cs_time_us_t now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < list->count; i++)
    if (!cs_quarantine_is_within (
            cs_served_at (&quarantine->served, list->ids[i]), limit, now))
      list->ids[kept++] = list->ids[i];
  list->count = kept;
}

uint32_t
cs_quarantine_drop_answered (const cs_quarantine_t *quarantine,
                             cs_crash_t *crash, cs_time_us_t now)
{
  const cs_quarantine_policy_t *policy = &quarantine->policy;
  cs_id_list_t *parts = &crash->causes.parts;
  drop_answered (quarantine, &crash->causes.requests, policy->trusted_us, now);
  drop_answered (quarantine, parts, policy->trusted_us, now);
  if (parts->count <= CS_CRASH_PARTS_MAX)
    return 0;
  drop_answered (quarantine, parts, policy->served_us, now);
  uint32_t rest = parts->count <= CS_CRASH_PARTS_MAX
                      ? 0
                      : parts->count - CS_CRASH_PARTS_MAX;
  for (uint32_t i = rest; i < parts->count; i++)
    parts->ids[i - rest] = parts->ids[i];
  parts->count -= rest;
  return rest;
}

/* Counts CRASH against each id of LIST, or only against those that are blocked
   if it is EXPLAINED.  Returns whether that is new.  */
static bool
count_crash (cs_quarantine_t *quarantine, const cs_crash_t *crash,
             const cs_id_list_t *list, bool explained, cs_time_us_t now)
{
  cs_suspect_table_t *suspects = &quarantine->suspects;
  cs_time_us_t evidence_us = quarantine->policy.evidence_us;
  bool is_new = false;
  for (uint32_t i = 0; i < list->count; i++)
    {
      uint64_t part = list->ids[i];
      if (cs_served_at (&quarantine->served, part) > crash->at)
        continue;
      cs_suspect_t *suspect
          = explained
                ? cs_suspect_table_find (suspects, part)
                : cs_suspect_table_add (suspects, part, evidence_us, now);
      if (suspect == NULL
          || (explained && !cs_suspect_is_blocked (suspect, now)))
        continue;
      if (list == &crash->causes.requests)
        suspect->is_request = true;
      if (cs_suspect_add_crash (suspect, crash, evidence_us))
        is_new = true;
    }
  return is_new;
}

cs_crash_result_t
cs_quarantine_add_crash (cs_quarantine_t *quarantine, const cs_crash_t *crash,
                         cs_time_us_t now)
{
  if (crash->at + quarantine->policy.evidence_us < now)
    return CS_CRASH_KNOWN;
  bool explained = is_explained (quarantine, crash, false, now);
  bool explained_by_any = is_explained (quarantine, crash, true, now);
  bool new_request = count_crash (quarantine, crash, &crash->causes.requests,
                                  explained, now);
  bool new_part = count_crash (quarantine, crash, &crash->causes.parts,
                               explained_by_any, now);
  if (!explained && new_request && block_requests (quarantine, crash, now))
    return CS_CRASH_BLOCKED;
  if (!explained_by_any && new_part && block_part (quarantine, crash, now))
    return CS_CRASH_BLOCKED;
  return new_request || new_part ? CS_CRASH_NEW : CS_CRASH_KNOWN;
}

bool
cs_quarantine_block (cs_quarantine_t *quarantine,
                     const cs_part_time_t *blocked, cs_time_us_t now)
{
  cs_suspect_t *suspect
      = cs_suspect_table_add (&quarantine->suspects, blocked->part,
                              quarantine->policy.evidence_us, now);
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
  const cs_suspect_t *suspect
      = cs_suspect_table_find (&quarantine->suspects, part);
  return suspect != NULL && cs_suspect_is_blocked (suspect, now);
}

static bool
blocks_any (cs_quarantine_t *quarantine, const cs_id_list_t *list,
            cs_time_us_t now, cs_time_us_t *until)
{
  for (uint32_t i = 0; i < list->count; i++)
    {
      cs_suspect_t *suspect
          = cs_suspect_table_find (&quarantine->suspects, list->ids[i]);
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

bool
cs_quarantine_blocks (cs_quarantine_t *quarantine, const cs_causes_t *causes,
                      cs_time_us_t now, cs_time_us_t *until)
{
  return blocks_any (quarantine, &causes->requests, now, until)
         || blocks_any (quarantine, &causes->parts, now, until);
}

size_t
cs_quarantine_list_blocked (const cs_quarantine_t *quarantine,
                            cs_time_us_t now,
                            cs_part_time_t out[CS_QUARANTINE_SUSPECTS])
{
  size_t count = 0;
  for (size_t i = 0; i < quarantine->suspects.count; i++)
    if (cs_suspect_is_blocked (&quarantine->suspects.entries[i], now))
      out[count++]
          = (cs_part_time_t){ quarantine->suspects.entries[i].part,
                              quarantine->suspects.entries[i].blocked_at };
  return count;
}
