/* Known routers: listed by the platform, connected to this one, or known to a
   peer.  */

#include <arpa/inet.h>
#include <stdlib.h>

#include "common/address.h"
#include "common/hash.h"
#include "router/peer/internal.h"

/* Exponential backoff for members that can't be reached.  */
#define MIN_RETRY_DELAY_US (500 * CS_US_PER_MS)
#define MAX_RETRY_DOUBLINGS 5

/* Lists may be some seconds old, so a member may be missing from one of them
   by mistake.  */
#define LISTS_UNTIL_REMOVAL 2

static cs_member_t *
find_member (const cs_mesh_t *mesh, uint64_t id)
{
  for (size_t i = 0; i < mesh->member_count; i++)
    if (mesh->members[i].id == id)
      return &mesh->members[i];
  return NULL;
}

static void *
grow (void *list, size_t count, size_t size)
{
  return reallocarray (list, count, size);
}

/* Adds an empty member; returns NULL when memory runs out.  */
static cs_member_t *
append_member (cs_mesh_t *mesh)
{
  size_t count = mesh->member_count + 1;
  cs_member_t *members = grow (mesh->members, count, sizeof *members);
  if (members != NULL)
    mesh->members = members;
  cs_hub_member_t *plan = grow (mesh->plan_members, count, sizeof *plan);
  if (plan != NULL)
    mesh->plan_members = plan;
  bool *dial = grow (mesh->plan_dial, count, sizeof *dial);
  if (dial != NULL)
    mesh->plan_dial = dial;
  if (members == NULL || plan == NULL || dial == NULL)
    return NULL;
  mesh->member_count = count;
  mesh->member_changes++;
  members[count - 1] = (cs_member_t){ 0 };
  return &members[count - 1];
}

cs_member_t *
cs_mesh_add_member (cs_mesh_t *mesh, const cs_router_entry_t *entry)
{
  uint64_t id = cs_hash (entry->name, 0);
  struct sockaddr_in parsed;
  if (id == mesh->id || cs_address_parse (entry->address, &parsed) != 0)
    return NULL;
  cs_member_t *member = find_member (mesh, id);
  if (member == NULL)
    member = append_member (mesh);
  if (member == NULL)
    return NULL;
  cs_name_set (&member->name, entry->name);
  member->id = id;
  member->data_centre = cs_hash (entry->data_centre, 0);
  member->capacity = entry->capacity;
  member->address = parsed;
  return member;
}

void
cs_members_send (cs_link_t *link)
{
  const cs_mesh_t *mesh = link->mesh;
  size_t count = mesh->member_count;
  Cs__Router__Members members = CS__ROUTER__MEMBERS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  Cs__Router__Member *list = calloc (count + 1, sizeof *list);
  Cs__Router__Member **pointers = calloc (count + 1, sizeof (void *));
  if (list == NULL || pointers == NULL)
    goto out;
  for (size_t i = 0; i < count; i++)
    {
      cs_member_t *member = &mesh->members[i];
      cs__router__member__init (&list[i]);
      list[i].name = member->name.text;
      list[i].data_centre = member->data_centre;
      list[i].address = member->address.sin_addr.s_addr;
      list[i].port = ntohs (member->address.sin_port);
      list[i].capacity = member->capacity;
      pointers[i] = &list[i];
    }
  members.members = pointers;
  members.n_members = count;
  frame.body_case = CS__ROUTER__FRAME__BODY_MEMBERS;
  frame.members = &members;
  cs_link_send (link, &frame);
out:
  free (list);
  free (pointers);
}

void
cs_members_read (cs_mesh_t *mesh, const Cs__Router__Members *members)
{
  for (size_t i = 0; i < members->n_members; i++)
    {
      const Cs__Router__Member *listed = members->members[i];
      uint64_t id = cs_hash (cs_str (listed->name), 0);
      if (id == mesh->id || find_member (mesh, id) != NULL
          || !cs_name_is_valid (listed->name) || listed->port == 0
          || listed->port > UINT16_MAX)
        continue;
      cs_member_t *member = append_member (mesh);
      if (member == NULL)
        return;
      cs_name_set (&member->name, cs_str (listed->name));
      member->id = id;
      member->data_centre = listed->data_centre;
      member->capacity = listed->capacity;
      member->address.sin_family = AF_INET;
      member->address.sin_addr.s_addr = listed->address;
      member->address.sin_port = htons ((uint16_t)listed->port);
    }
}

void
cs_mesh_on_link_lost (cs_mesh_t *mesh, uint64_t id, cs_time_us_t now)
{
  cs_member_t *member = find_member (mesh, id);
  if (member == NULL)
    return;
  uint32_t doublings = member->failures < MAX_RETRY_DOUBLINGS
                           ? member->failures
                           : MAX_RETRY_DOUBLINGS;
  member->retry_at = now + (MIN_RETRY_DELAY_US << doublings);
  member->failures++;
}

void
cs_mesh_on_link_established (cs_mesh_t *mesh, uint64_t id)
{
  cs_member_t *member = find_member (mesh, id);
  if (member == NULL)
    return;
  member->failures = 0;
  member->retry_at = 0;
}

uint64_t
cs_mesh_membership (const cs_mesh_t *mesh)
{
  if (mesh == NULL)
    return 1;
  /* While a fleet starts, its first lists show few of its routers.  */
  return cs_directory_is_complete (mesh->directory) ? 1 + mesh->member_changes
                                                    : 0;
}

size_t
cs_mesh_rank (const cs_mesh_t *mesh, uint64_t incarnation, size_t *routers)
{
  size_t rank = 0;
  *routers = cs_mesh_membership (mesh) == 0 ? 0 : 1;
  if (mesh == NULL || *routers == 0)
    return 0;
  uint64_t own = cs_cold_score (mesh->id, incarnation);
  for (size_t i = 0; i < mesh->member_count; i++)
    rank += cs_cold_score (mesh->members[i].id, incarnation) > own;
  *routers += mesh->member_count;
  return rank;
}

static bool
is_connected (const cs_mesh_t *mesh, uint64_t id)
{
  for (const cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->id == id && link->hello_received)
      return true;
  return false;
}

static void
remove_at (cs_mesh_t *mesh, size_t at)
{
  mesh->member_count--;
  mesh->member_changes++;
  mesh->members[at] = mesh->members[mesh->member_count];
}

void
cs_mesh_remove_member (cs_mesh_t *mesh, uint64_t id)
{
  cs_member_t *member = find_member (mesh, id);
  if (member != NULL)
    remove_at (mesh, (size_t)(member - mesh->members));
}

void
cs_mesh_list_begin (cs_mesh_t *mesh)
{
  for (size_t i = 0; i < mesh->member_count; i++)
    mesh->members[i].lists_absent++;
}

void
cs_mesh_list_entry (cs_mesh_t *mesh, const cs_router_entry_t *entry,
                    cs_revision_t revision)
{
  cs_member_t *member = cs_mesh_add_member (mesh, entry);
  if (member == NULL)
    return;
  member->lists_absent = 0;
  cs_renewal_record_read (&member->renewal, revision);
}

void
cs_mesh_list_end (cs_mesh_t *mesh)
{
  for (size_t i = mesh->member_count; i-- > 0;)
    if (mesh->members[i].lists_absent >= LISTS_UNTIL_REMOVAL
        && !is_connected (mesh, mesh->members[i].id))
      remove_at (mesh, i);
}

const cs_member_t *
cs_mesh_find_expired_member (const cs_mesh_t *mesh)
{
  const cs_router_settings_t *settings = &mesh->router->settings;
  for (size_t i = 0; i < mesh->member_count; i++)
    {
      const cs_member_t *member = &mesh->members[i];
      if (member->lists_absent == 0 && !is_connected (mesh, member->id)
          && cs_renewal_has_stopped (&member->renewal, settings->renew_s,
                                     settings->directory_s))
        return member;
    }
  return NULL;
}
