/* Exchange of the number of calls in flight.  A member reports its own to its
   hubs; a hub reports to each member the sum of all other routers, and first
   hubs exchange the sums of their data centres.  So each router gets the calls
   of all others, one or two heartbeats old, from a single peer.  */

#include <stdlib.h>

#include "router/health.h"
#include "router/peer/internal.h"

static bool
is_local_peer (const cs_link_t *link)
{
  return link->hello_received && link->data_centre == link->mesh->data_centre;
}

static cs_load_t
own_load (const cs_target_t *target)
{
  return (cs_load_t){ .target = (uint32_t)target->hash,
                      .calls = target->in_flight,
                      .ended = target->ended,
                      .failed = target->failed,
                      .sent = target->named_limit.sent };
}

static void
subtract (cs_load_t *sum, const cs_load_t *load)
{
  sum->calls -= load->calls;
  sum->ended -= load->ended;
  sum->failed -= load->failed;
  sum->sent -= load->sent;
}

/* Bounds each list of loads in a heartbeat.  The next heartbeat continues
   where this one stopped, so loads of more targets reach their readers later.
 */
#define MAX_LOADS_PER_HEARTBEAT 256

/* The loads sent in one heartbeat.  */
typedef struct
{
  Cs__Router__Load entries[MAX_LOADS_PER_HEARTBEAT];
  Cs__Router__Load *list[MAX_LOADS_PER_HEARTBEAT];
  size_t count;
} load_batch_t;

/* If LOAD differs enough from the last report in REPORTED, records it there
   and adds it to BATCH.  */
static void
append_if_changed (cs_load_table_t *reported, const cs_load_t *load,
                   uint32_t slots, load_batch_t *batch)
{
  cs_load_t last_report = cs_load_table_get (reported, load->target);
  if (!cs_load_should_report (load, &last_report, slots)
      || cs_load_table_set (reported, load) != 0)
    return;
  Cs__Router__Load *entry = &batch->entries[batch->count];
  cs__router__load__init (entry);
  entry->target = load->target;
  entry->calls = load->calls;
  entry->ended = load->ended;
  entry->failed = load->failed;
  entry->sent = load->sent;
  batch->list[batch->count++] = entry;
}

/* Computes the sums of the calls at each target, once per heartbeat for all
   links.  The array is parallel to the fleet's targets.  */
static int
compute_sums (cs_mesh_t *mesh, cs_target_t *const *targets, size_t count)
{
  if (count > mesh->sums_capacity)
    {
      cs_load_t *sums = reallocarray (mesh->sums, count * 2, sizeof *sums);
      if (sums == NULL)
        return CS_ERR_NO_MEMORY;
      mesh->sums = sums;
      mesh->sums_capacity = count;
    }
  for (size_t i = 0; i < count; i++)
    {
      cs_load_t *local = &mesh->sums[i * 2];
      cs_load_t *remote = &mesh->sums[i * 2 + 1];
      *local = own_load (targets[i]);
      *remote = (cs_load_t){ .target = local->target };
      for (const cs_link_t *link = mesh->links; link != NULL;
           link = link->next)
        {
          if (!link->hello_received)
            continue;
          cs_load_t load = cs_load_table_get (&link->peer_own, local->target);
          cs_load_add (is_local_peer (link) ? local : remote, &load);
        }
    }
  return CS_OK;
}

void
cs_loads_update_sums (cs_mesh_t *mesh)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  mesh->sums_count = 0;
  if (mesh->links != NULL && compute_sums (mesh, targets, count) == CS_OK)
    mesh->sums_count = count;
}

void
cs_loads_discard_sums (cs_mesh_t *mesh)
{
  mesh->sums_count = 0;
}

/* Adds the changed loads of TARGET, which has the index INDEX, to the
   heartbeat for LINK.  */
static void
report_target (cs_link_t *link, const cs_target_t *target, size_t index,
               bool with_others, load_batch_t *own, load_batch_t *others)
{
  const cs_load_t *sums = &link->mesh->sums[index * 2];
  cs_load_t own_now = own_load (target);
  cs_load_t sum = sums[0];
  if (!is_local_peer (link))
    {
      /* Other data centres receive the sum of this one.  */
      append_if_changed (&link->sent_own, &sum, 0, own);
      return;
    }
  append_if_changed (&link->sent_own, &own_now, 0, own);
  if (!with_others)
    return;
  cs_load_t from_peer = cs_load_table_get (&link->peer_own, sum.target);
  subtract (&sum, &from_peer);
  cs_load_add (&sum, &sums[1]);
  append_if_changed (&link->sent_others, &sum, target->slots, others);
}

void
cs_loads_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat)
{
  static load_batch_t own;
  static load_batch_t others;
  const cs_mesh_t *mesh = link->mesh;
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  beat->has_others = is_local_peer (link) && mesh->role.is_hub;
  own.count = 0;
  others.count = 0;
  if (mesh->sums_count != count)
    return;
  for (size_t i = 0; i < count; i++)
    {
      size_t index = (link->next_load + i) % count;
      if (own.count == MAX_LOADS_PER_HEARTBEAT
          || others.count == MAX_LOADS_PER_HEARTBEAT)
        {
          link->next_load = index;
          break;
        }
      report_target (link, targets[index], index, beat->has_others, &own,
                     &others);
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
                         .failed = loads[i]->failed,
                         .sent = loads[i]->sent };
      cs_load_table_set (table, &load);
    }
}

void
cs_loads_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat)
{
  read_loads (&link->peer_own, beat->own, beat->n_own);
  read_loads (&link->peer_others, beat->others, beat->n_others);
  link->has_others = beat->has_others;
}

static bool
ranks_before (const cs_link_t *a, const cs_link_t *b)
{
  cs_hub_member_t peer_a = { .id = a->id, .capacity = a->capacity };
  cs_hub_member_t peer_b = { .id = b->id, .capacity = b->capacity };
  return cs_hub_ranks_before (&peer_a, &peer_b);
}

cs_link_t *
cs_loads_find_hub (const cs_mesh_t *mesh)
{
  cs_link_t *best = NULL;
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->has_others && link->dialled && is_local_peer (link)
        && (best == NULL || ranks_before (link, best)))
      best = link;
  return best;
}

/* Updates TARGET with the load of the other routers.  If a total has
   decreased, it covers a different set of routers, so its increase since the
   last heartbeat is unknown and isn't counted.  */
static void
apply_peer_load (cs_router_t *router, cs_target_t *target,
                 const cs_load_t *others, cs_time_us_t now)
{
  target->peer_calls = others->calls;
  target->peer_calls_at = now;
  cs_named_limit_set_peers_sent (&target->named_limit, others->sent,
                                 cs_mesh_count_routers (router->mesh), now);
  bool continues = others->ended >= target->peers_ended
                   && others->failed >= target->peers_failed;
  uint32_t ended = others->ended - target->peers_ended;
  uint32_t failed = others->failed - target->peers_failed;
  target->peers_ended = others->ended;
  target->peers_failed = others->failed;
  if (continues && ended >= failed && ended + failed > 0)
    cs_health_record_peer_results (router, target, ended, failed, now);
}

/* The other routers' load of TARGET, which a first hub computes from its own
   sums.  */
static cs_load_t
others_at_first_hub (const cs_mesh_t *mesh, const cs_target_t *target,
                     size_t index)
{
  cs_load_t others = mesh->sums[index * 2];
  cs_load_t own = own_load (target);
  subtract (&others, &own);
  cs_load_add (&others, &mesh->sums[index * 2 + 1]);
  return others;
}

void
cs_loads_apply (cs_mesh_t *mesh, cs_time_us_t now)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  const cs_link_t *hub = mesh->role.is_first ? NULL : cs_loads_find_hub (mesh);
  if (hub == NULL && !(mesh->role.is_first && mesh->sums_count == count))
    return;
  for (size_t i = 0; i < count; i++)
    {
      cs_load_t others = hub != NULL
                             ? cs_load_table_get (&hub->peer_others,
                                                  (uint32_t)targets[i]->hash)
                             : others_at_first_hub (mesh, targets[i], i);
      apply_peer_load (mesh->router, targets[i], &others, now);
    }
}
