#include "cranberrystile/evacuations.h"

#include <stdlib.h>

#include "common/error.h"

/* Each router that learns a kept name from another one does so a little later,
   so a name that passes through restarted routers is in force for longer than
   the first one kept it.  This bounds by how much.  */
#define MAX_KEPT_HOPS 3

typedef struct
{
  cs_name_t name;
  bool is_evacuated;       /* false: taken back at REVISION */
  cs_revision_t revision;  /* of its latest change */
  cs_time_us_t kept_until; /* not in the restored store, but in force until
                              then; 0: in the store */
  uint64_t kept_era;       /* the latest in which it was kept; 0: none */
  uint32_t kept_hops;
} evacuation_t;

typedef struct
{
  cs_name_t *names;
  size_t count;
  size_t capacity;
  bool is_incomplete; /* memory was exhausted */
} name_list_t;

struct cs_evacuations
{
  evacuation_t *entries;
  size_t count;
  size_t capacity;
  name_list_t list; /* being collected */
  uint32_t kept_total;
  cs_time_us_t keep_before; /* names that the store of this era lacks */
  bool is_known;
  cs_revision_t list_revision; /* of the last whole set */
  cs_revision_t revision;
  cs_time_us_t waits_since; /* for the set, when the targets were known; 0:
                               they weren't */
  bool gave_up;
  cs_evacuations_changed_fn *changed;
  void *context;
};

cs_evacuations_t *
cs_evacuations_create (cs_evacuations_changed_fn *changed, void *context)
{
  cs_evacuations_t *set = calloc (1, sizeof *set);
  if (set == NULL)
    return NULL;
  set->changed = changed;
  set->context = context;
  return set;
}

void
cs_evacuations_destroy (cs_evacuations_t *set)
{
  if (set == NULL)
    return;
  free (set->entries);
  free (set->list.names);
  free (set);
}

static evacuation_t *
find (const cs_evacuations_t *set, const cs_name_t *name)
{
  for (size_t i = 0; i < set->count; i++)
    if (cs_name_equal (&set->entries[i].name, name))
      return &set->entries[i];
  return NULL;
}

bool
cs_evacuations_has (const cs_evacuations_t *set, const cs_name_t *data_centre)
{
  if (set == NULL)
    return false;
  const evacuation_t *entry = find (set, data_centre);
  return entry != NULL && entry->is_evacuated;
}

size_t
cs_evacuations_count (const cs_evacuations_t *set)
{
  size_t count = 0;
  for (size_t i = 0; set != NULL && i < set->count; i++)
    count += set->entries[i].is_evacuated;
  return count;
}

const cs_name_t *
cs_evacuations_listed_at (const cs_evacuations_t *set, size_t at)
{
  for (size_t i = 0; set != NULL && i < set->count; i++)
    if (set->entries[i].is_evacuated && set->entries[i].kept_until == 0
        && at-- == 0)
      return &set->entries[i].name;
  return NULL;
}

bool
cs_evacuations_kept_at (const cs_evacuations_t *set, size_t at,
                        cs_time_us_t now, cs_evacuation_kept_t *out)
{
  for (size_t i = 0; set != NULL && i < set->count; i++)
    {
      const evacuation_t *entry = &set->entries[i];
      if (entry->kept_until <= now || entry->kept_hops >= MAX_KEPT_HOPS
          || at-- > 0)
        continue;
      *out = (cs_evacuation_kept_t){ .name = &entry->name,
                                     .until = entry->kept_until,
                                     .hops = entry->kept_hops };
      return true;
    }
  return false;
}

uint32_t
cs_evacuations_kept_total (const cs_evacuations_t *set)
{
  return set == NULL ? 0 : set->kept_total;
}

bool
cs_evacuations_is_known (const cs_evacuations_t *set)
{
  return set == NULL || set->is_known;
}

cs_revision_t
cs_evacuations_revision (const cs_evacuations_t *set)
{
  return set == NULL ? (cs_revision_t){ 0 } : set->revision;
}

/* Makes room for one more entry.  Returns 0 or CS_ERR_NO_MEMORY.  */
static int
ensure_capacity (cs_evacuations_t *set)
{
  size_t capacity = set->capacity == 0 ? 4 : set->capacity * 2;
  if (set->count < set->capacity)
    return CS_OK;
  evacuation_t *entries = realloc (set->entries, capacity * sizeof *entries);
  if (entries == NULL)
    return CS_ERR_NO_MEMORY;
  set->entries = entries;
  set->capacity = capacity;
  return CS_OK;
}

/* Returns the entry NAME, which is added if it is new, or NULL if memory is
   exhausted.  */
static evacuation_t *
find_or_add (cs_evacuations_t *set, const cs_name_t *name)
{
  evacuation_t *known = find (set, name);
  if (known != NULL)
    return known;
  if (ensure_capacity (set) != 0 || set->entries == NULL)
    return NULL;
  evacuation_t *entry = &set->entries[set->count++];
  *entry = (evacuation_t){ .name = *name };
  return entry;
}

static void
set_state (cs_evacuations_t *set, evacuation_t *entry, bool is_evacuated)
{
  bool was_evacuated = entry->is_evacuated;
  entry->is_evacuated = is_evacuated;
  entry->kept_until = 0;
  if (was_evacuated != is_evacuated)
    set->changed (set->context, &entry->name, is_evacuated);
}

static void
keep (cs_evacuations_t *set, evacuation_t *entry, cs_time_us_t until,
      uint32_t hops)
{
  entry->kept_until = until;
  entry->kept_era = set->revision.era;
  entry->kept_hops = hops;
  set->kept_total++;
}

int
cs_evacuations_keep (cs_evacuations_t *set, const cs_evacuation_kept_t *kept,
                     cs_revision_t revision, cs_time_us_t now)
{
  cs_time_us_t until
      = kept->until < set->keep_before ? kept->until : set->keep_before;
  if (!set->is_known || revision.era != set->revision.era || until <= now
      || kept->hops > MAX_KEPT_HOPS)
    return CS_OK;
  evacuation_t *entry = find_or_add (set, kept->name);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  if (entry->is_evacuated || entry->kept_era == revision.era
      || cs_revision_compare (entry->revision, revision) > 0)
    return CS_OK;
  set_state (set, entry, true);
  keep (set, entry, until, kept->hops);
  return CS_OK;
}

int
cs_evacuations_change (cs_evacuations_t *set, cs_str_t data_centre,
                       bool is_evacuated, cs_revision_t revision)
{
  cs_name_t name;
  cs_name_set (&name, data_centre);
  if (cs_revision_compare (revision, set->list_revision) <= 0)
    return CS_OK;
  evacuation_t *entry = find_or_add (set, &name);
  if (entry == NULL)
    return CS_ERR_NO_MEMORY;
  if (cs_revision_compare (revision, entry->revision) <= 0)
    return CS_OK;
  if (cs_revision_compare (revision, set->revision) > 0)
    set->revision = revision;
  entry->revision = revision;
  set_state (set, entry, is_evacuated);
  return CS_OK;
}

void
cs_evacuations_list_begin (cs_evacuations_t *set)
{
  set->list.count = 0;
  set->list.is_incomplete = false;
}

int
cs_evacuations_list_add (cs_evacuations_t *set, cs_str_t data_centre)
{
  name_list_t *list = &set->list;
  if (list->count == list->capacity)
    {
      size_t capacity = list->capacity == 0 ? 4 : list->capacity * 2;
      cs_name_t *names = realloc (list->names, capacity * sizeof *names);
      if (names == NULL)
        {
          list->is_incomplete = true;
          return CS_ERR_NO_MEMORY;
        }
      list->names = names;
      list->capacity = capacity;
    }
  cs_name_set (&list->names[list->count++], data_centre);
  return CS_OK;
}

static bool
is_among (const cs_name_t *names, size_t count, const cs_name_t *name)
{
  for (size_t i = 0; i < count; i++)
    if (cs_name_equal (&names[i], name))
      return true;
  return false;
}

/* Ends the evacuations that aren't among NAMES, or keeps them until KEPT_UNTIL
   if that isn't 0.  */
static void
end_missing (cs_evacuations_t *set, const cs_name_t *names, size_t name_count,
             cs_time_us_t kept_until)
{
  size_t count = 0;
  for (size_t i = 0; i < set->count; i++)
    {
      evacuation_t *entry = &set->entries[i];
      bool is_missing = entry->is_evacuated && entry->kept_until == 0
                        && !is_among (names, name_count, &entry->name);
      if (is_missing && kept_until != 0)
        keep (set, entry, kept_until, 0);
      else if (is_missing)
        set_state (set, entry, false);
      if (entry->is_evacuated
          || (entry->kept_era != 0 && entry->kept_era == set->revision.era))
        set->entries[count++] = *entry;
    }
  set->count = count;
}

int
cs_evacuations_replace (cs_evacuations_t *set, const cs_name_t *names,
                        size_t count, cs_revision_t revision,
                        cs_time_us_t kept_until)
{
  bool is_new_era = set->is_known && revision.era > set->revision.era;
  if (set->is_known && cs_revision_compare (revision, set->revision) <= 0)
    return CS_OK;
  for (size_t i = 0; i < count; i++)
    if (find_or_add (set, &names[i]) == NULL)
      return CS_ERR_NO_MEMORY;
  if (is_new_era || !set->is_known)
    set->keep_before = kept_until;
  set->list_revision = revision;
  set->revision = revision;
  set->is_known = true;
  for (size_t i = 0; i < count; i++)
    {
      evacuation_t *entry = find (set, &names[i]);
      entry->revision = revision;
      set_state (set, entry, true);
    }
  end_missing (set, names, count, is_new_era ? kept_until : 0);
  return CS_OK;
}

int
cs_evacuations_list_end (cs_evacuations_t *set, cs_revision_t revision,
                         cs_time_us_t kept_until)
{
  if (set->list.is_incomplete)
    return CS_ERR_NO_MEMORY;
  return cs_evacuations_replace (set, set->list.names, set->list.count,
                                 revision, kept_until);
}

void
cs_evacuations_expire (cs_evacuations_t *set, cs_time_us_t now)
{
  for (size_t i = 0; set != NULL && i < set->count; i++)
    if (set->entries[i].kept_until != 0 && set->entries[i].kept_until <= now)
      set_state (set, &set->entries[i], false);
}

bool
cs_evacuations_may_serve (const cs_evacuations_t *set)
{
  return set == NULL || set->is_known || set->gave_up;
}

bool
cs_evacuations_wait (cs_evacuations_t *set, bool has_targets,
                     cs_time_us_t limit_us, cs_time_us_t now)
{
  if (cs_evacuations_may_serve (set) || !has_targets)
    return false;
  if (set->waits_since == 0)
    set->waits_since = now;
  set->gave_up = now - set->waits_since >= limit_us;
  return set->gave_up;
}
