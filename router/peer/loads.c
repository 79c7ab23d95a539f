/* Calls in flight among routers.  A member tells its hubs its own; a hub tells
   each member the sum of all others, and first hubs tell each other the sum of
   their data centre.  A router so knows the calls of all, a beat or two old,
   from one neighbour.  */

#include <stdlib.h>

#include "router/peer/internal.h"

/* A difference is told from one call on, and beyond CALLS / CHANGE_PART, so
   that busy targets do not fill every beat.  */
#define CHANGE_PART 8

static uint32_t
short_hash (const cs_target_t *target)
{
  return (uint32_t)target->hash;
}

static bool
is_neighbour (const cs_link_t *link)
{
  return link->greeted && link->data_centre == link->mesh->data_centre;
}

/* Calls at TARGET of all routers but those behind LINK.  */
static uint32_t
calls_without (const cs_link_t *link, const cs_target_t *target,
               bool neighbours_only)
{
  uint32_t sum = target->in_flight;
  for (const cs_link_t *at = link->mesh->links; at != NULL; at = at->next)
    if (at != link && at->greeted && (!neighbours_only || is_neighbour (at)))
      sum += cs_load_table_get (&at->peer_own, short_hash (target));
  return sum;
}

static bool
is_worth_telling (uint32_t calls, uint32_t told)
{
  uint32_t change = calls > told ? calls - told : told - calls;
  return change > told / CHANGE_PART || (calls == 0 && told > 0);
}

/* Notes in TOLD that CALLS at TARGET are told, and adds them to LIST.  */
static void
tell (cs_load_table_t *told, const cs_target_t *target, uint32_t calls,
      Cs__Router__Load *entries, Cs__Router__Load **list, size_t *count)
{
  uint32_t hash = short_hash (target);
  if (!is_worth_telling (calls, cs_load_table_get (told, hash))
      || cs_load_table_set (told, hash, calls) != 0)
    return;
  Cs__Router__Load *entry = &entries[*count];
  cs__router__load__init (entry);
  entry->target = hash;
  entry->calls = calls;
  list[(*count)++] = entry;
}

/* Memory for the loads of one beat, used again for the next.  */
typedef struct
{
  Cs__Router__Load *own;
  Cs__Router__Load *others;
  Cs__Router__Load **own_list;
  Cs__Router__Load **others_list;
  size_t capacity;
} scratch_t;

static bool
reserve (scratch_t *scratch, size_t count)
{
  if (count <= scratch->capacity)
    return true;
  free (scratch->own);
  free (scratch->others);
  free (scratch->own_list);
  free (scratch->others_list);
  scratch->own = calloc (count, sizeof *scratch->own);
  scratch->others = calloc (count, sizeof *scratch->others);
  scratch->own_list = calloc (count, sizeof (Cs__Router__Load *));
  scratch->others_list = calloc (count, sizeof (Cs__Router__Load *));
  bool done = scratch->own != NULL && scratch->others != NULL
              && scratch->own_list != NULL && scratch->others_list != NULL;
  scratch->capacity = done ? count : 0;
  return done;
}

void
cs_loads_write_beat (cs_link_t *link, Cs__Router__Beat *beat)
{
  static scratch_t scratch;
  const cs_mesh_t *mesh = link->mesh;
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  bool neighbour = is_neighbour (link);
  beat->has_others = neighbour && mesh->role.is_hub;
  if (!reserve (&scratch, count))
    return;
  for (size_t i = 0; i < count; i++)
    {
      const cs_target_t *target = targets[i];
      /* Another data centre hears the sum of this one.  */
      uint32_t own
          = neighbour ? target->in_flight : calls_without (link, target, true);
      tell (&link->sent_own, target, own, scratch.own, scratch.own_list,
            &beat->n_own);
      if (beat->has_others)
        tell (&link->sent_others, target, calls_without (link, target, false),
              scratch.others, scratch.others_list, &beat->n_others);
    }
  beat->own = scratch.own_list;
  beat->others = scratch.others_list;
}

static void
read_loads (cs_load_table_t *table, Cs__Router__Load *const *loads,
            size_t count)
{
  for (size_t i = 0; i < count; i++)
    cs_load_table_set (table, loads[i]->target, loads[i]->calls);
}

void
cs_loads_read_beat (cs_link_t *link, const Cs__Router__Beat *beat)
{
  read_loads (&link->peer_own, beat->own, beat->n_own);
  read_loads (&link->peer_others, beat->others, beat->n_others);
  link->has_others = beat->has_others;
}

/* The hub to believe: the best ranked one that tells of the others.  */
static const cs_link_t *
find_hub (const cs_mesh_t *mesh)
{
  const cs_link_t *best = NULL;
  for (const cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->has_others && link->dialled && is_neighbour (link)
        && (best == NULL || link->id < best->id))
      best = link;
  return best;
}

void
cs_loads_apply (cs_mesh_t *mesh, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  const cs_link_t *hub = mesh->role.is_first ? NULL : find_hub (mesh);
  if (hub == NULL && !mesh->role.is_first)
    return;
  for (size_t i = 0; i < count; i++)
    {
      cs_target_t *target = targets[i];
      uint32_t calls = 0;
      if (hub != NULL)
        calls = cs_load_table_get (&hub->peer_others, short_hash (target));
      else
        for (const cs_link_t *at = mesh->links; at != NULL; at = at->next)
          if (at->greeted)
            calls += cs_load_table_get (&at->peer_own, short_hash (target));
      target->peer_calls = calls;
      target->peer_calls_at = now;
    }
}
