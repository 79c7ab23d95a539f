#include "router/mesh.h"

#include <stdlib.h>

#include "common/hash.h"
#include "cranberrystile/start_wait.h"
#include "router/peer/internal.h"

/* A link is closed after this many heartbeat intervals without a frame.  */
#define MAX_SILENT_HEARTBEATS 4
/* Routers that start together open their connections within this time.  */
#define ABSENT_AFTER_US (2 * CS_US_PER_S)
/* Number of members assumed until the platform's list has been read; larger
   than any fleet.  */
#define ASSUMED_MEMBERS 1000

/* Time reserved for this router's own call to the platform before the state
   from its peers becomes too old.  Calls take at most this long even while the
   platform is slow.  */
#define CALL_TIME_MARGIN_US (500 * CS_US_PER_MS)

/* Heartbeats after which a hub's confirmation is known and dated.  */
#define CONFIRMATION_HEARTBEATS 2

/* Returns the link to the peer ID that this router dialled, or the accepted
   one if DIALLED is false; NULL if there is none.  */
static cs_link_t *
find_link (const cs_mesh_t *mesh, uint64_t id, bool dialled)
{
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->id == id && link->dialled == dialled)
      return link;
  return NULL;
}

void
cs_mesh_update_links (cs_mesh_t *mesh, cs_time_us_t now)
{
  cs_hub_member_t self = {
    .id = mesh->id,
    .capacity = cs_router_settings_capacity (&mesh->router->settings),
    .data_centre = mesh->data_centre,
  };
  for (size_t i = 0; i < mesh->member_count; i++)
    {
      cs_member_t *member = &mesh->members[i];
      if (member->accepted_at == 0
          || find_link (mesh, member->id, false) != NULL)
        member->accepted_at = now;
      mesh->plan_members[i].id = member->id;
      mesh->plan_members[i].capacity = member->capacity;
      mesh->plan_members[i].data_centre = member->data_centre;
      mesh->plan_members[i].is_unreachable = now < member->retry_at;
      mesh->plan_members[i].is_absent
          = now - member->accepted_at >= ABSENT_AFTER_US;
    }
  cs_hub_plan (&self, mesh->plan_members, mesh->member_count, &mesh->role,
               mesh->plan_dial);
  for (size_t i = 0; i < mesh->member_count; i++)
    {
      cs_link_t *link = find_link (mesh, mesh->members[i].id, true);
      bool wanted
          = mesh->plan_dial[i] && !mesh->plan_members[i].is_unreachable;
      if (wanted && link == NULL)
        cs_link_dial (mesh, &mesh->members[i]);
      else if (!mesh->plan_dial[i] && link != NULL)
        cs_link_close (link);
    }
}

static void
close_silent_links (cs_mesh_t *mesh, cs_time_us_t now)
{
  cs_time_us_t limit
      = mesh->router->settings.beat_ms * CS_US_PER_MS * MAX_SILENT_HEARTBEATS;
  cs_link_t *next;
  for (cs_link_t *link = mesh->links; link != NULL; link = next)
    {
      uint64_t id = link->id;
      bool dialled = link->dialled;
      next = link->next;
      if (now - link->last_received_at <= limit)
        continue;
      cs_link_close (link);
      if (dialled)
        cs_mesh_on_link_lost (mesh, id, now);
    }
}

void
cs_link_send_heartbeat (cs_link_t *link, cs_time_us_t now)
{
  Cs__Router__Beat beat = CS__ROUTER__BEAT__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  if (!link->hello_received)
    return;
  cs_sync_fill_heartbeat (link, &beat, now);
  cs_loads_fill_heartbeat (link, &beat);
  cs_notices_fill_heartbeat (link, &beat, now);
  cs_crash_notices_fill_heartbeat (link, &beat, now);
  frame.body_case = CS__ROUTER__FRAME__BODY_BEAT;
  frame.beat = &beat;
  cs_link_send (link, &frame);
}

static void
on_heartbeat_timer (void *context, cs_time_us_t now)
{
  cs_mesh_t *mesh = context;
  close_silent_links (mesh, now);
  cs_mesh_update_links (mesh, now);
  cs_mesh_update_reach (mesh, now);
  cs_loads_update_sums (mesh);
  cs_loads_apply (mesh, now);
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    {
      cs_known_versions_send (link, now);
      cs_link_send_heartbeat (link, now);
    }
  cs_loads_discard_sums (mesh);
  cs_timer_set (&mesh->timer, mesh->router->settings.beat_ms * CS_US_PER_MS);
}

/* Sends extra heartbeats, which carry the notices.  */
static void
on_notice_timer (void *context, cs_time_us_t now)
{
  cs_mesh_t *mesh = context;
  mesh->notice_due = false;
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->leaving_sent < mesh->leaving.count
        || link->limits_sent < mesh->limits.count
        || link->cold_sent < mesh->cold.count
        || cs_crash_notices_are_due (link))
      cs_link_send_heartbeat (link, now);
}

static bool
is_of_evacuations (const cs_mesh_t *mesh, const cs_sync_state_t *sync_state)
{
  return sync_state == &mesh->router->evacuations_sync;
}

/* Returns the age from which confirmed state is too old.  */
static cs_time_us_t
max_confirmed_age (const cs_mesh_t *mesh, const cs_sync_state_t *sync_state)
{
  if (is_of_evacuations (mesh, sync_state))
    return cs_router_settings_evacuation_age_us (&mesh->router->settings);
  cs_time_us_t limit
      = cs_router_settings_update_limit_us (&mesh->router->settings);
  return limit > CALL_TIME_MARGIN_US ? limit - CALL_TIME_MARGIN_US : 0;
}

/* Whether this router may be one that watches the store: a hub, or, for
   evacuations, which may be known later than other changes, the first hub.
   That shows when it first reads the directory.  Until then it takes itself
   for none if a hub could tell it of each of its watches in time, and relies
   on its own lists.  */
static bool
may_be_watcher (const cs_mesh_t *mesh, const cs_sync_state_t *sync_state)
{
  const cs_router_settings_t *settings = &mesh->router->settings;
  bool is_of_all = !is_of_evacuations (mesh, sync_state);
  uint32_t watch_ms
      = is_of_all ? cs_router_settings_watch_ms (settings)
                  : cs_router_settings_evacuation_watch_ms (settings, 0);
  cs_time_us_t hub_age
      = (watch_ms + CONFIRMATION_HEARTBEATS * settings->beat_ms)
        * CS_US_PER_MS;
  return (is_of_all ? mesh->role.is_hub : mesh->role.is_first)
         && (cs_directory_is_read (mesh->directory)
             || hub_age >= max_confirmed_age (mesh, sync_state));
}

bool
cs_mesh_can_skip_watch (const cs_mesh_t *mesh,
                        const cs_sync_state_t *sync_state, cs_time_us_t now)
{
  if (mesh == NULL || sync_state->confirmed_at == 0
      || may_be_watcher (mesh, sync_state))
    return false;
  return now - sync_state->confirmed_at < max_confirmed_age (mesh, sync_state);
}

bool
cs_mesh_waits_for_hub (const cs_mesh_t *mesh,
                       const cs_sync_state_t *sync_state, cs_time_us_t now)
{
  if (mesh == NULL || sync_state->own_confirmed_at != 0
      || (sync_state->confirmed_at != 0
          && now - sync_state->confirmed_at
                 >= max_confirmed_age (mesh, sync_state)))
    return false;
  cs_start_t start = {
    .started_at = mesh->started_at,
    .directory_answered = cs_directory_has_answered (mesh->directory),
    .is_hub = mesh->role.is_hub,
    .is_preferred_hub = mesh->role.is_preferred_hub,
  };
  return cs_start_waits (&start, now);
}

bool
cs_mesh_has_hub (const cs_mesh_t *mesh)
{
  if (mesh == NULL || mesh->role.is_hub)
    return false;
  for (const cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->dialled && link->hello_received)
      return true;
  return false;
}

size_t
cs_mesh_count_members (const cs_mesh_t *mesh)
{
  if (mesh == NULL)
    return 0;
  if (!cs_directory_is_complete (mesh->directory))
    return ASSUMED_MEMBERS;
  return mesh->member_count;
}

double
cs_mesh_count_routers (const cs_mesh_t *mesh)
{
  if (mesh == NULL)
    return 1;
  if (!cs_directory_is_read (mesh->directory))
    return ASSUMED_MEMBERS;
  return 1 + (double)mesh->member_count;
}

bool
cs_mesh_is_hub (const cs_mesh_t *mesh)
{
  return mesh == NULL
         || (mesh->role.is_hub && cs_directory_is_read (mesh->directory));
}

bool
cs_mesh_is_preferred_hub (const cs_mesh_t *mesh)
{
  return mesh == NULL
         || (mesh->role.is_preferred_hub
             && cs_directory_is_read (mesh->directory));
}

bool
cs_mesh_is_first_hub (const cs_mesh_t *mesh)
{
  return mesh == NULL
         || (mesh->role.is_first && cs_directory_is_read (mesh->directory));
}

bool
cs_mesh_has_restarted (const cs_mesh_t *mesh, cs_time_us_t now,
                       cs_time_us_t *age_us)
{
  if (mesh == NULL || !cs_directory_had_entry (mesh->directory))
    return false;
  *age_us = now - mesh->started_at;
  return true;
}

bool
cs_mesh_is_new (const cs_mesh_t *mesh)
{
  return mesh != NULL && cs_directory_has_list (mesh->directory)
         && !cs_directory_had_entry (mesh->directory);
}

void
cs_mesh_push_changes (cs_mesh_t *mesh)
{
  if (mesh == NULL || !mesh->role.is_first)
    return;
  cs_time_us_t now = cs_loop_now (mesh->router->loop);
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->hello_received)
      cs_sync_send_missing (link, now);
}

void
cs_mesh_leave (cs_mesh_t *mesh)
{
  if (mesh != NULL)
    cs_directory_withdraw (mesh->directory);
}

cs_mesh_t *
cs_mesh_create (cs_router_t *router)
{
  cs_mesh_t *mesh = calloc (1, sizeof *mesh);
  if (mesh == NULL)
    return NULL;
  mesh->router = router;
  mesh->started_at = cs_loop_now (router->loop);
  mesh->id = cs_hash (cs_str (router->settings.name), 0);
  mesh->data_centre = cs_hash (cs_str (router->settings.data_centre), 0);
  /* No other routers are known yet.  */
  mesh->role = (cs_hub_role_t){ .is_hub = true,
                                .is_preferred_hub = true,
                                .is_first = true };
  mesh->listener = cs_listener_create (
      router->loop, cs_str (router->settings.peers), cs_link_accept, mesh);
  if (mesh->listener == NULL)
    {
      free (mesh);
      return NULL;
    }
  cs_timer_init (&mesh->timer, router->loop, on_heartbeat_timer, mesh);
  cs_timer_set (&mesh->timer, router->settings.beat_ms * CS_US_PER_MS);
  cs_timer_init (&mesh->notice_timer, router->loop, on_notice_timer, mesh);
  mesh->directory = cs_directory_create (mesh);
  if (mesh->directory == NULL)
    {
      cs_mesh_destroy (mesh);
      return NULL;
    }
  return mesh;
}

void
cs_mesh_destroy (cs_mesh_t *mesh)
{
  if (mesh == NULL)
    return;
  cs_timer_clear (&mesh->timer);
  cs_notices_free (mesh);
  cs_buf_free (&mesh->packed_list.frame);
  cs_directory_destroy (mesh->directory);
  while (mesh->links != NULL)
    cs_link_close (mesh->links);
  cs_listener_destroy (mesh->listener);
  free (mesh->sums);
  free (mesh->members);
  free (mesh->plan_members);
  free (mesh->plan_dial);
  free (mesh);
}
