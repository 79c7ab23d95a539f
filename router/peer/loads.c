/* Calls in flight among routers.  A member tells its hubs its own; a hub tells
   each member the sum of all others, and first hubs tell each other the sum of
   their data centre.  A router so knows the calls of all, a beat or two old,
   from one neighbour.  */

#include <stdlib.h>

#include "router/health.h"
#include "router/peer/internal.h"

static bool
is_neighbour (const cs_link_t *link)
{
  return link->greeted && link->data_centre == link->mesh->data_centre;
}

static cs_load_t
own_load (const cs_target_t *target)
{
  return (cs_load_t){ .target = (uint32_t)target->hash,
                      .calls = target->in_flight,
                      .ended = target->ended,
                      .failed = target->failed };
}

/* The calls at TARGET that links tell of, but those of EXCEPT; only those of
   this data centre when NEIGHBOURS_ONLY.  */
static cs_load_t
links_load (const cs_mesh_t *mesh, const cs_link_t *except,
            const cs_target_t *target, bool neighbours_only)
{
  cs_load_t sum = { .target = (uint32_t)target->hash };
  for (const cs_link_t *at = mesh->links; at != NULL; at = at->next)
    {
      if (at == except || !at->greeted
          || (neighbours_only && !is_neighbour (at)))
        continue;
      cs_load_t load = cs_load_table_get (&at->peer_own, sum.target);
      cs_load_add (&sum, &load);
    }
  return sum;
}

/* Notes in TOLD that LOAD is told, and adds it to LIST, if it is news.  */
static void
tell (cs_load_table_t *told, const cs_load_t *load, Cs__Router__Load *entries,
      Cs__Router__Load **list, size_t *count)
{
  cs_load_t before = cs_load_table_get (told, load->target);
  if (!cs_load_is_news (load, &before) || cs_load_table_set (told, load) != 0)
    return;
  Cs__Router__Load *entry = &entries[*count];
  cs__router__load__init (entry);
  entry->target = load->target;
  entry->calls = load->calls;
  entry->ended = load->ended;
  entry->failed = load->failed;
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
      cs_load_t own = own_load (targets[i]);
      cs_load_t others = links_load (mesh, link, targets[i], !neighbour);
      cs_load_add (&others, &own);
      /* Another data centre hears the sum of this one.  */
      tell (&link->sent_own, neighbour ? &own : &others, scratch.own,
            scratch.own_list, &beat->n_own);
      if (beat->has_others)
        tell (&link->sent_others, &others, scratch.others, scratch.others_list,
              &beat->n_others);
    }
  beat->own = scratch.own_list;
  beat->others = scratch.others_list;
}

static void
read_loads (cs_load_table_t *table, Cs__Router__Load *const *loads,
            size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      cs_load_t load = { .target = loads[i]->target,
                         .calls = loads[i]->calls,
                         .ended = loads[i]->ended,
                         .failed = loads[i]->failed };
      cs_load_table_set (table, &load);
    }
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

/* Takes the calls of others at TARGET into force.  Totals that went down are
   those of another set of routers: counting starts anew from there.  */
static void
apply (cs_router_t *router, cs_target_t *target, const cs_load_t *others,
       cs_time_us_t now)
{
  target->peer_calls = others->calls;
  target->peer_calls_at = now;
  bool goes_on = others->ended >= target->peers_ended
                 && others->failed >= target->peers_failed;
  uint32_t ended = others->ended - target->peers_ended;
  uint32_t failed = others->failed - target->peers_failed;
  target->peers_ended = others->ended;
  target->peers_failed = others->failed;
  if (goes_on && ended >= failed && ended + failed > 0)
    cs_health_heard (router, target, ended, failed, now);
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
      cs_load_t others = hub != NULL
                             ? cs_load_table_get (&hub->peer_others,
                                                  (uint32_t)targets[i]->hash)
                             : links_load (mesh, NULL, targets[i], false);
      apply (mesh->router, targets[i], &others, now);
    }
}
