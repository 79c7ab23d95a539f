/* State of the pools for operators, and their spare capacity for other
   regions.  */

#include <math.h>
#include <string.h>

#include "common/hash.h"
#include "placement/internal.h"

#define MAX_EXPLAINED_TARGETS 8

static const char *
state_name (cs_target_state_t state)
{
  switch (state)
    {
    case CS_TARGET_LIVE:
      return "live";
    case CS_TARGET_EJECTED:
      return "ejected";
    case CS_TARGET_LEAVING:
      break;
    }
  return "leaving";
}

static json_t *
describe_target (cs_placement_t *placement, const cs_pool_target_t *target)
{
  cs_endpoint_t *endpoint
      = cs_endpoints_find (placement->endpoints, target->id);
  const char *name = endpoint == NULL
                         ? "(withdrawn)"
                         : cs_endpoint_target (endpoint)->name.text;
  json_t *out = json_pack ("{s:s, s:s, s:i, s:i, s:i}", "name", name, "state",
                           state_name (target->state), "load",
                           (int)target->load, "external",
                           (int)target->external, "slots", (int)target->slots);
  cs_endpoint_unref (endpoint);
  return out;
}

/* Returns the cap on a target's load, or the number of all slots if there is
   no cap.  */
static int
cap_of (cs_pool_t *pool, cs_time_us_t now)
{
  size_t count;
  uint32_t slots = 0;
  uint32_t cap = cs_pool_cap (pool, now);
  const cs_pool_target_t *targets = cs_pool_targets (pool, &count);
  for (size_t i = 0; i < count; i++)
    slots += targets[i].slots;
  return (int)(cap < slots ? cap : slots);
}

static json_t *
describe_pool (cs_placement_t *placement, const pool_entry_t *entry,
               cs_time_us_t now)
{
  size_t count;
  cs_pool_t *pool = cs_owner_pool (entry->owner);
  const cs_pool_target_t *targets = cs_pool_targets (pool, &count);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    json_array_append_new (list, describe_target (placement, &targets[i]));
  return json_pack (
      "{s:s, s:i, s:i, s:i, s:b, s:o}", "offering", entry->offering.text,
      "in_flight", (int)cs_pool_in_flight (pool), "queued",
      (int)cs_owner_queued (entry->owner), "cap", cap_of (pool, now),
      "recovering", cs_owner_is_recovering (entry->owner), "targets", list);
}

static bool
is_owned_here (const cs_placement_t *placement, const pool_entry_t *entry)
{
  return entry->owner != NULL && entry->owner_id == placement->self;
}

json_t *
cs_placement_status (cs_placement_t *placement)
{
  cs_time_us_t now = cs_clock_now ();
  json_t *out = json_array ();
  const pool_entry_t *entry;
  pthread_mutex_lock (&placement->lock);
  for (entry = placement->pools; entry != NULL; entry = entry->hh.next)
    if (is_owned_here (placement, entry))
      json_array_append_new (out, describe_pool (placement, entry, now));
  pthread_mutex_unlock (&placement->lock);
  return out;
}

static json_t *
explain_ranks (cs_placement_t *placement, const pool_entry_t *entry,
               uint64_t key, cs_time_us_t now)
{
  uint64_t ids[MAX_EXPLAINED_TARGETS];
  size_t total;
  cs_pool_t *pool = cs_owner_pool (entry->owner);
  size_t count = cs_pool_explain (pool, key, now, ids, MAX_EXPLAINED_TARGETS);
  const cs_pool_target_t *targets = cs_pool_targets (pool, &total);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    for (size_t k = 0; k < total; k++)
      if (targets[k].id == ids[i])
        json_array_append_new (list, describe_target (placement, &targets[k]));
  return list;
}

json_t *
cs_placement_explain (cs_placement_t *placement, cs_str_t offering,
                      uint64_t key)
{
  cs_time_us_t now = cs_clock_now ();
  cs_host_t owner;
  json_t *out = NULL;
  pthread_mutex_lock (&placement->lock);
  const pool_entry_t *entry
      = find_pool_entry (placement, pool_id_of (placement, offering));
  if (entry != NULL && is_owned_here (placement, entry))
    out = json_pack ("{s:s, s:b, s:i, s:o}", "owner",
                     cs_members_self (placement->members)->name.text, "own", 1,
                     "cap", cap_of (cs_owner_pool (entry->owner), now),
                     "ranked", explain_ranks (placement, entry, key, now));
  else if (entry != NULL
           && cs_members_find (placement->members, entry->owner_id, &owner))
    out = json_pack ("{s:s, s:b, s:s}", "owner", owner.name.text, "own", 0,
                     "hint", "ask the owner's operator port");
  pthread_mutex_unlock (&placement->lock);
  return out;
}

static uint32_t
count_free_slots (cs_pool_t *pool)
{
  size_t count;
  uint32_t spare = 0;
  const cs_pool_target_t *targets = cs_pool_targets (pool, &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i].state == CS_TARGET_LIVE
        && targets[i].load < targets[i].slots)
      spare += targets[i].slots - targets[i].load;
  return spare;
}

size_t
cs_placement_summaries (cs_placement_t *placement, cs_pool_summary_t *out,
                        size_t size)
{
  size_t found = 0;
  const pool_entry_t *entry;
  pthread_mutex_lock (&placement->lock);
  for (entry = placement->pools; entry != NULL && found < size;
       entry = entry->hh.next)
    {
      size_t targets;
      if (!is_owned_here (placement, entry))
        continue;
      cs_pool_t *pool = cs_owner_pool (entry->owner);
      cs_pool_targets (pool, &targets);
      out[found].offering = cs_hash (cs_name_str (&entry->offering), 0);
      out[found].spare = count_free_slots (pool);
      out[found].targets = (uint32_t)targets;
      found++;
    }
  pthread_mutex_unlock (&placement->lock);
  return found;
}
