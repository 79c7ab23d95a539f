#include <stdlib.h>

#include "router/apply.h"
#include "router/peer/internal.h"

/* Time for which notices are collected before they are sent: a release makes
   many targets leave together.  */
#define COLLECT_US (20 * CS_US_PER_MS)

void
cs_mesh_announce_leaving (cs_mesh_t *mesh, const cs_target_t *target)
{
  if (mesh == NULL)
    return;
  cs_notices_t *notices = &mesh->notices;
  cs_target_t **slot = &notices->targets[notices->count % CS_NOTICES];
  cs_target_release (*slot);
  *slot = cs_target_reference ((cs_target_t *)target);
  notices->count++;
  cs_mesh_send_notices (mesh);
}

void
cs_mesh_send_notices (cs_mesh_t *mesh)
{
  if (mesh->notice_due)
    return;
  mesh->notice_due = true;
  cs_timer_set (&mesh->notice_timer, COLLECT_US);
}

void
cs_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat)
{
  static Cs__Router__Leaving entries[CS_NOTICES];
  static Cs__Router__Leaving *list[CS_NOTICES];
  const cs_notices_t *notices = &link->mesh->notices;
  uint64_t at = link->notices_sent;
  /* A peer without a list of targets wouldn't know them.  */
  if (link->targets_revision.number == 0)
    return;
  if (notices->count - at > CS_NOTICES)
    at = notices->count - CS_NOTICES;
  beat->n_leaving = 0;
  beat->leaving = list;
  for (; at < notices->count; at++)
    {
      cs_target_t *target = notices->targets[at % CS_NOTICES];
      Cs__Router__Leaving *entry = &entries[beat->n_leaving];
      cs__router__leaving__init (entry);
      entry->target = target->id.text;
      entry->started_ms = target->started_ms;
      entry->address = target->address.sin_addr.s_addr;
      entry->port = ntohs (target->address.sin_port);
      list[beat->n_leaving++] = entry;
    }
  link->notices_sent = notices->count;
}

void
cs_notices_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat)
{
  cs_router_t *router = link->mesh->router;
  for (size_t i = 0; i < beat->n_leaving; i++)
    {
      const Cs__Router__Leaving *entry = beat->leaving[i];
      struct sockaddr_in address = { .sin_family = AF_INET };
      address.sin_addr.s_addr = entry->address;
      address.sin_port = htons ((uint16_t)entry->port);
      cs_target_t *target = cs_fleet_find_incarnation (
          router->fleet, cs_str (entry->target), entry->started_ms, &address);
      if (target != NULL)
        cs_apply_target_leaving (router, target, "peer");
    }
}

void
cs_notices_free (cs_mesh_t *mesh)
{
  cs_timer_clear (&mesh->notice_timer);
  for (size_t i = 0; i < CS_NOTICES; i++)
    cs_target_release (mesh->notices.targets[i]);
  free (mesh->crash_notices);
}
