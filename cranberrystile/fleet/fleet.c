#include "cranberrystile/fleet.h"

#include <stdlib.h>

#include "common/error.h"
#include "common/hash.h"

typedef struct
{
  cs_name_t id;
  uint64_t started_ms;
  struct sockaddr_in address;
  bool was_leaving;
  cs_cold_limit_t cold;
  cs_revision_t revision;
} removal_record_t;

/* What searches need of a target; going through the targets themselves takes
   nine times as long.  */
typedef struct
{
  uint64_t hash;
  uint64_t incarnation;
  bool listed; /* in the list being processed */
} slot_t;

struct cs_fleet
{
  cs_revision_t revision;
  cs_revision_t evicted_revision; /* newest removal that is no longer
                                     recorded; zeros: none */
  cs_revision_t list_revision;    /* of the last list: which targets were
                                     removed before it is not known */
  cs_time_us_t hold_us;
  removal_record_t *removals; /* ring buffer, allocated on first use */
  size_t next_removal;
  cs_target_t **targets;
  slot_t *slots; /* parallel to targets */
  size_t count;
  size_t capacity;
  cs_fleet_removed_fn *removed;
  void *context;
};

cs_fleet_t *
cs_fleet_create (cs_fleet_removed_fn *removed, void *context)
{
  cs_fleet_t *fleet = calloc (1, sizeof *fleet);
  if (fleet == NULL)
    return NULL;
  fleet->removed = removed;
  fleet->context = context;
  return fleet;
}

/* If memory is exhausted, the removal counts as evicted, and peers get the
   full list.  */
static void
record_removal (cs_fleet_t *fleet, const cs_target_t *target)
{
  if (fleet->removals == NULL)
    fleet->removals = calloc (CS_FLEET_REMOVALS, sizeof *fleet->removals);
  if (fleet->removals == NULL)
    {
      fleet->evicted_revision = fleet->revision;
      return;
    }
  removal_record_t *removal = &fleet->removals[fleet->next_removal];
  if (cs_revision_compare (removal->revision, fleet->evicted_revision) > 0)
    fleet->evicted_revision = removal->revision;
  removal->id = target->id;
  removal->started_ms = target->started_ms;
  removal->address = target->address;
  removal->was_leaving = target->leaving;
  removal->cold = target->cold;
  removal->revision = fleet->revision;
  fleet->next_removal = (fleet->next_removal + 1) % CS_FLEET_REMOVALS;
}

static void
drop_at (cs_fleet_t *fleet, size_t at)
{
  cs_target_t *target = fleet->targets[at];
  record_removal (fleet, target);
  fleet->count--;
  fleet->targets[at] = fleet->targets[fleet->count];
  fleet->slots[at] = fleet->slots[fleet->count];
  target->leaving = true;
  fleet->removed (fleet->context, target);
  cs_target_release (target);
}

void
cs_fleet_destroy (cs_fleet_t *fleet)
{
  if (fleet == NULL)
    return;
  while (fleet->count > 0)
    drop_at (fleet, fleet->count - 1);
  free (fleet->targets);
  free (fleet->slots);
  free (fleet->removals);
  free (fleet);
}

static size_t
find (const cs_fleet_t *fleet, cs_str_t id)
{
  uint64_t hash = cs_hash (id, 0);
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->slots[i].hash == hash
        && cs_str_equal (cs_name_str (&fleet->targets[i]->id), id))
      return i;
  return fleet->count;
}

static int
ensure_capacity (cs_fleet_t *fleet)
{
  size_t capacity = fleet->capacity == 0 ? 32 : fleet->capacity * 2;
  if (fleet->count < fleet->capacity)
    return CS_OK;
  cs_target_t **targets
      = realloc (fleet->targets, capacity * sizeof (cs_target_t *));
  if (targets == NULL)
    return CS_ERR_NO_MEMORY;
  fleet->targets = targets;
  slot_t *slots = realloc (fleet->slots, capacity * sizeof *slots);
  if (slots == NULL)
    return CS_ERR_NO_MEMORY;
  fleet->slots = slots;
  fleet->capacity = capacity;
  return CS_OK;
}

static bool
is_same_start (uint64_t started_ms, const struct sockaddr_in *address,
               const cs_target_entry_t *entry)
{
  return started_ms == entry->started_ms
         && address->sin_addr.s_addr == entry->address.sin_addr.s_addr
         && address->sin_port == entry->address.sin_port;
}

/* Returns the latest removal of the incarnation of ENTRY, or NULL.  */
static const removal_record_t *
find_removal (const cs_fleet_t *fleet, const cs_target_entry_t *entry)
{
  if (fleet->removals == NULL)
    return NULL;
  for (size_t i = 1; i <= CS_FLEET_REMOVALS; i++)
    {
      const removal_record_t *removal
          = &fleet->removals[(fleet->next_removal + CS_FLEET_REMOVALS - i)
                             % CS_FLEET_REMOVALS];
      if (cs_str_equal (cs_name_str (&removal->id), entry->id)
          && is_same_start (removal->started_ms, &removal->address, entry))
        return removal;
    }
  return NULL;
}

static void
restore_state (const cs_fleet_t *fleet, const cs_target_entry_t *entry,
               cs_target_t *target, cs_time_us_t now)
{
  const removal_record_t *removal = find_removal (fleet, entry);
  if (removal == NULL)
    return;
  target->leaving = target->leaving || removal->was_leaving;
  target->cold = removal->cold;
  if (removal->revision.era < entry->revision.era)
    target->held_until = now + fleet->hold_us;
}

static int
add (cs_fleet_t *fleet, const cs_target_entry_t *entry, cs_time_us_t now)
{
  if (ensure_capacity (fleet) != 0)
    return CS_ERR_NO_MEMORY;
  cs_target_t *target = calloc (1, sizeof *target);
  if (target == NULL)
    return CS_ERR_NO_MEMORY;
  cs_name_set (&target->id, entry->id);
  cs_name_set (&target->service, entry->service);
  cs_name_set (&target->data_centre, entry->data_centre);
  target->hash = cs_hash (entry->id, 0);
  target->started_ms = entry->started_ms;
  target->incarnation = cs_hash_pair (target->hash, target->started_ms);
  target->address = entry->address;
  target->slots = entry->slots;
  target->version = entry->version;
  target->leaving = entry->draining;
  target->changed_revision = entry->revision;
  target->joined_at = now;
  target->references = 1;
  target->weight = 1;
  restore_state (fleet, entry, target, now);
  fleet->targets[fleet->count] = target;
  fleet->slots[fleet->count] = (slot_t){ .hash = target->hash,
                                         .incarnation = target->incarnation,
                                         .listed = true };
  fleet->count++;
  return CS_OK;
}

static bool
is_same_incarnation (const cs_target_t *target, const cs_target_entry_t *entry)
{
  return is_same_start (target->started_ms, &target->address, entry)
         && cs_str_equal (cs_name_str (&target->service), entry->service);
}

/* Records that TARGET changed at REVISION, unless a later change is known.  */
static void
record_change (cs_target_t *target, cs_revision_t revision)
{
  if (cs_revision_compare (revision, target->changed_revision) > 0)
    target->changed_revision = revision;
}

int
cs_fleet_put (cs_fleet_t *fleet, const cs_target_entry_t *entry,
              cs_time_us_t now, bool *added)
{
  size_t at = find (fleet, entry->id);
  *added = false;
  if (at < fleet->count)
    {
      cs_target_t *target = fleet->targets[at];
      fleet->slots[at].listed = true;
      if (entry->started_ms < target->started_ms)
        return CS_OK;
      if (is_same_incarnation (target, entry))
        {
          cs_target_update_data_centre (target, entry);
          if (target->kept_until != 0 || (entry->draining && !target->leaving))
            record_change (target, entry->revision);
          target->kept_until = 0;
          target->slots = entry->slots;
          if (entry->version != 0)
            target->version = entry->version;
          /* An incarnation that has started to leave never returns.  */
          target->leaving = target->leaving || entry->draining;
          return CS_OK;
        }
      drop_at (fleet, at);
    }
  *added = true;
  return add (fleet, entry, now);
}

bool
cs_fleet_set_leaving (cs_fleet_t *fleet, cs_target_t *target)
{
  if (target->leaving)
    return false;
  target->leaving = true;
  record_change (target, fleet->revision);
  return true;
}

cs_target_t *
cs_fleet_find_incarnation (const cs_fleet_t *fleet, cs_str_t id,
                           uint64_t started_ms,
                           const struct sockaddr_in *address)
{
  size_t at = find (fleet, id);
  if (at == fleet->count)
    return NULL;
  cs_target_t *target = fleet->targets[at];
  bool is_same = target->started_ms == started_ms
                 && target->address.sin_addr.s_addr == address->sin_addr.s_addr
                 && target->address.sin_port == address->sin_port;
  return is_same ? target : NULL;
}

cs_target_t *
cs_fleet_find_by_hash (const cs_fleet_t *fleet, uint64_t incarnation)
{
  for (size_t i = 0; i < fleet->count; i++)
    if (fleet->slots[i].incarnation == incarnation)
      return fleet->targets[i];
  return NULL;
}

static void
remove_or_retain (cs_fleet_t *fleet, size_t at, cs_time_us_t kept_until,
                  cs_time_us_t now)
{
  cs_target_t *target = fleet->targets[at];
  if (kept_until <= now)
    drop_at (fleet, at);
  else if (target->kept_until == 0)
    {
      target->kept_until = kept_until;
      record_change (target, fleet->revision);
    }
}

void
cs_fleet_set_hold (cs_fleet_t *fleet, cs_time_us_t hold_us)
{
  fleet->hold_us = hold_us;
}

void
cs_fleet_set_revision (cs_fleet_t *fleet, cs_revision_t revision)
{
  if (cs_revision_compare (revision, fleet->revision) > 0)
    fleet->revision = revision;
}

cs_revision_t
cs_fleet_revision (const cs_fleet_t *fleet)
{
  return fleet->revision;
}

bool
cs_fleet_removed_since (const cs_fleet_t *fleet, cs_revision_t since,
                        const cs_name_t *out[CS_FLEET_REMOVALS], size_t *count)
{
  bool all_recorded
      = since.era == fleet->revision.era
        && cs_revision_compare (since, fleet->evicted_revision) >= 0
        && cs_revision_compare (since, fleet->list_revision) >= 0;
  *count = 0;
  if (fleet->removals == NULL)
    return all_recorded;
  for (size_t i = 1; i <= CS_FLEET_REMOVALS; i++)
    {
      size_t at
          = (fleet->next_removal + CS_FLEET_REMOVALS - i) % CS_FLEET_REMOVALS;
      if (cs_revision_compare (fleet->removals[at].revision, since) > 0)
        out[(*count)++] = &fleet->removals[at].id;
    }
  return all_recorded;
}

bool
cs_fleet_was_removed (const cs_fleet_t *fleet, cs_str_t id)
{
  if (find (fleet, id) < fleet->count)
    return false;
  if (cs_revision_compare (fleet->evicted_revision, (cs_revision_t){ 0 }) > 0)
    return true;
  for (size_t i = 0; fleet->removals != NULL && i < CS_FLEET_REMOVALS; i++)
    if (cs_str_equal (cs_name_str (&fleet->removals[i].id), id))
      return true;
  return false;
}

bool
cs_fleet_remove (cs_fleet_t *fleet, cs_str_t id, cs_time_us_t kept_until,
                 cs_time_us_t now)
{
  size_t at = find (fleet, id);
  if (at == fleet->count)
    return false;
  remove_or_retain (fleet, at, kept_until, now);
  return true;
}

void
cs_fleet_list_begin (cs_fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->count; i++)
    fleet->slots[i].listed = false;
}

void
cs_fleet_list_end (cs_fleet_t *fleet, cs_time_us_t kept_until,
                   cs_time_us_t now)
{
  for (size_t i = fleet->count; i-- > 0;)
    if (!fleet->slots[i].listed)
      remove_or_retain (fleet, i, kept_until, now);
  fleet->list_revision = fleet->revision;
}

void
cs_fleet_remove_expired (cs_fleet_t *fleet, cs_time_us_t now)
{
  for (size_t i = fleet->count; i-- > 0;)
    {
      cs_time_us_t until = fleet->targets[i]->kept_until;
      if (until != 0 && until <= now)
        drop_at (fleet, i);
    }
}

cs_target_t *const *
cs_fleet_targets (const cs_fleet_t *fleet, size_t *count)
{
  *count = fleet->count;
  return fleet->targets;
}
