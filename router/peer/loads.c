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

static void
subtract (cs_load_t *sum, const cs_load_t *part)
{
  sum->calls -= part->calls;
  sum->ended -= part->ended;
  sum->failed -= part->failed;
}

/* Notes in TOLD that LOAD is told, and adds it to LIST, if it is news.  */
static void
tell (cs_load_table_t *told, const cs_load_t *load, Cs__Router__Load *entries,
      Cs__Router__Load **list, size_t *count)
{
  cs_load_t before = cs_load_table_get (told, load->target);
  if (!cs_load_should_report (load, &before)
      || cs_load_table_set (told, load) != 0)
    return;
  Cs__Router__Load *entry = &entries[*count];
  cs__router__load__init (entry);
  entry->target = load->target;
  entry->calls = load->calls;
  entry->ended = load->ended;
  entry->failed = load->failed;
  list[(*count)++] = entry;
}

/* Most loads told in one beat, of each list: some kilobytes a second at the
   usual pace.  What is left comes with the next beats, from where this one
   ended.  */
#define LOADS_MOST 64

/* Room for the loads of one beat.  */
typedef struct
{
  Cs__Router__Load entries[LOADS_MOST];
  Cs__Router__Load *list[LOADS_MOST];
  size_t count;
} told_t;

/* What a hub knows of the calls at each target, summed up once a beat for all
   of its links.  Parallel to the fleet's targets.  */
static int
sum_up (cs_mesh_t *mesh, cs_target_t *const *targets, size_t count)
{
  if (count > mesh->sum_capacity)
    {
      cs_load_t *sums = reallocarray (mesh->sums, count * 2, sizeof *sums);
      if (sums == NULL)
        return CS_ERR_NO_MEMORY;
      mesh->sums = sums;
      mesh->sum_capacity = count;
    }
  for (size_t i = 0; i < count; i++)
    {
      cs_load_t *near = &mesh->sums[i * 2];
      cs_load_t *far = &mesh->sums[i * 2 + 1];
      *near = own_load (targets[i]);
      *far = (cs_load_t){ .target = near->target };
      for (const cs_link_t *at = mesh->links; at != NULL; at = at->next)
        {
          if (!at->greeted)
            continue;
          cs_load_t load = cs_load_table_get (&at->peer_own, near->target);
          cs_load_add (is_neighbour (at) ? near : far, &load);
        }
    }
  return CS_OK;
}

void
cs_loads_sum_up (cs_mesh_t *mesh)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  mesh->has_sums
      = mesh->links != NULL && sum_up (mesh, targets, count) == CS_OK;
}

/* Tells the member or hub behind LINK of the target at AT.  */
static void
tell_target (cs_link_t *link, const cs_target_t *target, size_t at,
             bool with_others, told_t *own, told_t *others)
{
  const cs_load_t *sums = &link->mesh->sums[at * 2];
  cs_load_t told_own = own_load (target);
  cs_load_t sum = sums[0];
  if (!is_neighbour (link))
    {
      /* Another data centre hears the sum of this one.  */
      tell (&link->sent_own, &sum, own->entries, own->list, &own->count);
      return;
    }
  tell (&link->sent_own, &told_own, own->entries, own->list, &own->count);
  if (!with_others)
    return;
  cs_load_t theirs = cs_load_table_get (&link->peer_own, sum.target);
  subtract (&sum, &theirs);
  cs_load_add (&sum, &sums[1]);
  tell (&link->sent_others, &sum, others->entries, others->list,
        &others->count);
}

void
cs_loads_write_beat (cs_link_t *link, Cs__Router__Beat *beat)
{
  static told_t own;
  static told_t others;
  const cs_mesh_t *mesh = link->mesh;
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  beat->has_others = is_neighbour (link) && mesh->role.is_hub;
  own.count = 0;
  others.count = 0;
  if (!mesh->has_sums)
    return;
  for (size_t i = 0; i < count; i++)
    {
      size_t at = (link->next_load + i) % count;
      if (own.count == LOADS_MOST || others.count == LOADS_MOST)
        {
          link->next_load = at;
          break;
        }
      tell_target (link, targets[at], at, beat->has_others, &own, &others);
    }
  beat->n_own = own.count;
  beat->own = own.list;
  beat->n_others = others.count;
  beat->others = others.list;
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
    cs_health_record_peer_results (router, target, ended, failed, now);
}

/* What a first hub knows of others itself.  */
static cs_load_t
others_at_hub (const cs_mesh_t *mesh, const cs_target_t *target, size_t at)
{
  cs_load_t others = mesh->sums[at * 2];
  cs_load_t own = own_load (target);
  subtract (&others, &own);
  cs_load_add (&others, &mesh->sums[at * 2 + 1]);
  return others;
}

void
cs_loads_apply (cs_mesh_t *mesh, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  const cs_link_t *hub = mesh->role.is_first ? NULL : find_hub (mesh);
  if (hub == NULL && !(mesh->role.is_first && mesh->has_sums))
    return;
  for (size_t i = 0; i < count; i++)
    {
      cs_load_t others = hub != NULL ? cs_load_table_get (
                             &hub->peer_others, (uint32_t)targets[i]->hash)
                                     : others_at_hub (mesh, targets[i], i);
      apply (mesh->router, targets[i], &others, now);
    }
}
