/* Synchronises platform state between routers: heartbeats carry the versions
   and their ages, and a peer that is behind is sent what it lacks.  */

#include <stdlib.h>

#include "router/apply.h"
#include "router/peer/internal.h"
#include "router/stream_versions.h"

/* A list for one peer also serves those that ask soon after.  */
#define MAX_PACKED_LIST_AGE_US (300 * CS_US_PER_MS)

static uint64_t
own_routing_version (const cs_router_t *router)
{
  return router->routing == NULL ? 0 : router->routing->version;
}

uint32_t
cs_sync_age_ms (const cs_sync_state_t *sync_state, cs_time_us_t now)
{
  cs_time_us_t age = (now - sync_state->own_confirmed_at) / CS_US_PER_MS + 1;
  return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

void
cs_sync_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                        cs_time_us_t now)
{
  const cs_router_t *router = link->mesh->router;
  beat->number = ++link->last_sent_number;
  beat->echo = link->last_received_number;
  link->heartbeat_sent_at[beat->number % CS_HEARTBEAT_HISTORY] = now;
  beat->routing_version = own_routing_version (router);
  beat->targets_revision = cs_fleet_revision (router->fleet).number;
  beat->targets_era = cs_fleet_revision (router->fleet).era;
  beat->has_routing_age = router->routing_sync.own_confirmed_at != 0;
  beat->has_targets_age = router->targets_sync.own_confirmed_at != 0;
  beat->routing_age_ms = cs_sync_age_ms (&router->routing_sync, now);
  beat->targets_age_ms = cs_sync_age_ms (&router->targets_sync, now);
  cs_evacuation_sync_fill_heartbeat (router, beat, now);
  beat->stopping = router->stopping;
  beat->reaches_all = link->mesh->reaches_all;
}

/* Returns the earliest time at which the peer can have written BEAT: when the
   heartbeat that it echoes was sent.  The time of arrival isn't used, because
   a connection may delay a heartbeat for seconds.  Returns 0 if unknown.  */
static cs_time_us_t
earliest_written_at (const cs_link_t *link, const Cs__Router__Beat *beat)
{
  if (beat->echo == 0 || beat->echo > link->last_sent_number
      || link->last_sent_number - beat->echo >= CS_HEARTBEAT_HISTORY)
    return 0;
  return link->heartbeat_sent_at[beat->echo % CS_HEARTBEAT_HISTORY];
}

void
cs_sync_record_confirmation (cs_sync_state_t *sync_state, uint32_t age,
                             cs_time_us_t written_at)
{
  cs_time_us_t age_us = age * CS_US_PER_MS;
  if (age_us < written_at && written_at - age_us > sync_state->confirmed_at)
    sync_state->confirmed_at = written_at - age_us;
}

static bool
lacks_targets (const cs_link_t *link)
{
  const cs_router_t *router = link->mesh->router;
  return cs_revision_compare (link->targets_revision,
                              cs_fleet_revision (router->fleet))
         < 0;
}

static bool
is_behind (const cs_link_t *link, cs_time_us_t now)
{
  return link->routing_version < own_routing_version (link->mesh->router)
         || lacks_targets (link) || cs_evacuation_sync_is_behind (link, now);
}

cs_revision_t
cs_sync_peer_revision (const cs_router_t *router, uint64_t era,
                       uint64_t number)
{
  return (cs_revision_t){ era != 0 ? era : router->store_era, number };
}

/* A peer that is starting waits for the state's age as well, which the next
   regular heartbeat would bring later.  */
static void
send_missing_and_age (cs_link_t *link, cs_time_us_t now)
{
  bool is_starting
      = link->routing_version == 0 || link->targets_revision.number == 0
        || (link->reads_evacuations && link->evacuations_revision.number == 0);
  cs_sync_send_missing (link, now);
  if (is_starting)
    cs_link_send_heartbeat (link, now);
}

void
cs_sync_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                        cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  cs_time_us_t written_at = earliest_written_at (link, beat);
  link->last_received_number = beat->number;
  link->targets_known_at = written_at;
  link->reaches_all = beat->reaches_all;
  link->routing_version = beat->routing_version;
  link->targets_revision = cs_sync_peer_revision (router, beat->targets_era,
                                                  beat->targets_revision);
  if (beat->has_routing_age && router->routing != NULL
      && beat->routing_version <= own_routing_version (router))
    cs_sync_record_confirmation (&router->routing_sync, beat->routing_age_ms,
                                 written_at);
  if (beat->has_targets_age && router->fleet_synced
      && cs_revision_compare (link->targets_revision,
                              cs_fleet_revision (router->fleet))
             <= 0)
    cs_sync_record_confirmation (&router->targets_sync, beat->targets_age_ms,
                                 written_at);
  cs_evacuation_sync_read_heartbeat (link, beat, written_at);
  bool behind = is_behind (link, now);
  /* A first hub sends the missing state immediately.  Other routers leave it
     one heartbeat to do so.  */
  if (behind && (link->mesh->role.is_first || link->was_behind))
    send_missing_and_age (link, now);
  link->was_behind = behind;
}

static void
send_routing (cs_link_t *link)
{
  cs_router_t *router = link->mesh->router;
  Cs__Router__Routing routing = CS__ROUTER__ROUTING__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  if (router->routing_document.len == 0)
    return;
  routing.version = own_routing_version (router);
  routing.revision = router->routing_sync.revision.number;
  routing.era = router->routing_sync.revision.era;
  routing.document.data = (uint8_t *)router->routing_document.data;
  routing.document.len = router->routing_document.len;
  frame.body_case = CS__ROUTER__FRAME__BODY_ROUTING;
  frame.routing = &routing;
  cs_link_send (link, &frame);
  link->routing_version = routing.version;
}

static void
fill_target (Cs__Router__Target *out, cs_target_t *target, cs_time_us_t now)
{
  cs__router__target__init (out);
  out->id = target->id.text;
  out->service = target->service.text;
  out->data_centre = target->data_centre.text;
  out->address = target->address.sin_addr.s_addr;
  out->port = ntohs (target->address.sin_port);
  out->started_ms = target->started_ms;
  out->slots = target->slots;
  out->draining = target->leaving;
  out->version = target->version;
  out->cold_ms = cs_cold_stated_ms (&target->cold, now);
  if (target->kept_until > now)
    out->kept_ms = (uint32_t)((target->kept_until - now) / CS_US_PER_MS) + 1;
}

/* Sends the complete list again that was packed for another peer.  Returns
   whether there is one that is recent enough: what targets say of themselves
   since then is in the notices.  */
static bool
send_packed_list (cs_link_t *link, cs_time_us_t now)
{
  cs_mesh_t *mesh = link->mesh;
  const cs_packed_list_t *list = &mesh->packed_list;
  cs_revision_t revision = cs_fleet_revision (mesh->router->fleet);
  if (!link->reads_compressed || list->frame.len == 0
      || now - list->made_at > MAX_PACKED_LIST_AGE_US
      || cs_revision_compare (list->revision, revision) != 0)
    return false;
  cs_link_send_bytes (link, cs_buf_str (&list->frame));
  link->targets_revision = revision;
  return true;
}

static void
pack_list (cs_mesh_t *mesh, const cs_router_frame_t *frame, cs_time_us_t now)
{
  cs_packed_list_t *list = &mesh->packed_list;
  list->frame.len = 0;
  if (cs_router_frame_pack_compressed (frame, &list->frame) != 0)
    list->frame.len = 0;
  list->revision = cs_fleet_revision (mesh->router->fleet);
  list->made_at = now;
}

/* Sends the targets in LIST and the ids in REMOVED as the changes since
   revision SINCE; 0 means a complete list.  */
static void
send_changes (cs_link_t *link, uint64_t since, Cs__Router__Target **list,
              size_t count, const cs_name_t **removed, size_t removed_count,
              cs_time_us_t now)
{
  char *ids[CS_FLEET_REMOVALS];
  Cs__Router__Targets targets = CS__ROUTER__TARGETS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  for (size_t i = 0; i < removed_count; i++)
    ids[i] = (char *)removed[i]->text;
  cs_revision_t revision = cs_fleet_revision (link->mesh->router->fleet);
  targets.since = since;
  targets.revision = revision.number;
  targets.era = revision.era;
  targets.targets = list;
  targets.n_targets = count;
  targets.removed = ids;
  targets.n_removed = removed_count;
  frame.body_case = CS__ROUTER__FRAME__BODY_TARGETS;
  frame.targets = &targets;
  if (since == 0 && link->reads_compressed)
    pack_list (link->mesh, &frame, now);
  if (since != 0 || !send_packed_list (link, now))
    cs_link_send (link, &frame);
  link->targets_revision = revision;
}

static void
send_targets (cs_link_t *link, cs_time_us_t now)
{
  cs_fleet_t *fleet = link->mesh->router->fleet;
  const cs_name_t *removed[CS_FLEET_REMOVALS];
  size_t count;
  size_t removed_count = 0;
  size_t sent = 0;
  cs_revision_t since = link->targets_revision;
  cs_target_t *const *all = cs_fleet_targets (fleet, &count);
  bool complete
      = since.number == 0
        || !cs_fleet_removed_since (fleet, since, removed, &removed_count);
  if (complete && send_packed_list (link, now))
    return;
  if (complete)
    removed_count = 0;
  Cs__Router__Target *entries = calloc (count + 1, sizeof *entries);
  Cs__Router__Target **list
      = calloc (count + 1, sizeof (Cs__Router__Target *));
  if (entries == NULL || list == NULL)
    goto out;
  for (size_t i = 0; i < count; i++)
    {
      if (!complete
          && cs_revision_compare (all[i]->changed_revision, since) <= 0)
        continue;
      fill_target (&entries[sent], all[i], now);
      list[sent] = &entries[sent];
      sent++;
    }
  send_changes (link, complete ? 0 : since.number, list, sent, removed,
                removed_count, now);
out:
  free (entries);
  free (list);
}

void
cs_sync_send_missing (cs_link_t *link, cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  if (link->routing_version < own_routing_version (router))
    send_routing (link);
  if (router->fleet_synced && lacks_targets (link))
    send_targets (link, now);
  if (cs_evacuation_sync_is_behind (link, now))
    cs_evacuation_sync_send (link, now);
}

void
cs_sync_read_routing (cs_link_t *link, const Cs__Router__Routing *routing)
{
  cs_router_t *router = link->mesh->router;
  if (routing->version <= own_routing_version (router))
    return;
  cs_apply_peer_routing (
      router,
      (cs_str_t){ (const char *)routing->document.data,
                  routing->document.len },
      cs_sync_peer_revision (router, routing->era, routing->revision));
}

/* Changes apply to the list at revision SINCE.  A newer list already contains
   them, and an older one lacks changes before them.  What is older than the
   store's list that is being read would remove targets of its first pages.  */
static bool
is_applicable (const cs_router_t *router, const Cs__Router__Targets *targets,
               cs_revision_t revision)
{
  cs_revision_t own = cs_fleet_revision (router->fleet);
  return cs_revision_compare (revision, own) > 0
         && cs_revision_compare (revision, router->targets_sync.list_revision)
                >= 0
         && (targets->since == 0
             || (revision.era == own.era && targets->since <= own.number));
}

static void
apply_target (cs_router_t *router, const Cs__Router__Target *target,
              cs_revision_t revision, cs_time_us_t now)
{
  /* The peer retains a target whose entry was, or may have been, removed: it
     missed the removal and takes the entry for one that expired in an outage.
     If the target is alive, it is listed again within seconds.  */
  if (target->kept_ms > 0
      && cs_fleet_was_removed (router->fleet, cs_str (target->id)))
    return;
  cs_target_entry_t entry = {
    .id = cs_str (target->id),
    .service = cs_str (target->service),
    .data_centre = cs_str (target->data_centre),
    .started_ms = target->started_ms,
    .slots = target->slots,
    .states_cold = target->cold_ms > 0,
    .cold_ms = target->cold_ms,
    .from_peer = true,
    .draining = target->draining,
    .version = target->version,
    .revision = revision,
  };
  entry.address.sin_family = AF_INET;
  entry.address.sin_addr.s_addr = target->address;
  entry.address.sin_port = htons ((uint16_t)target->port);
  cs_apply_target (router, &entry, "peer");
  if (target->kept_ms > 0)
    cs_fleet_remove (router->fleet, entry.id,
                     now + target->kept_ms * CS_US_PER_MS, now);
}

/* A peer that started after the store was restored doesn't know the targets
   that registered after the copy was taken.  They are kept until they have had
   time to register again.  */
static cs_time_us_t
keep_unlisted_until (const cs_router_t *router, cs_revision_t revision,
                     cs_time_us_t now)
{
  if (!router->fleet_synced
      || revision.era <= cs_fleet_revision (router->fleet).era)
    return 0;
  return now + router->settings.lapse_ms * CS_US_PER_MS;
}

void
cs_sync_read_targets (cs_link_t *link, const Cs__Router__Targets *targets,
                      cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  cs_revision_t revision
      = cs_sync_peer_revision (router, targets->era, targets->revision);
  if (!is_applicable (router, targets, revision))
    return;
  if (now - router->targets_sync.confirmed_at
      > cs_router_settings_update_limit_us (&router->settings))
    cs_stream_versions_missed (router->stream_versions, now);
  cs_time_us_t kept_until = keep_unlisted_until (router, revision, now);
  cs_fleet_set_revision (router->fleet, revision);
  if (revision.era > router->store_era)
    router->store_era = revision.era;
  if (targets->since == 0)
    cs_fleet_list_begin (router->fleet);
  for (size_t i = 0; i < targets->n_removed; i++)
    if (!cs_fleet_remove (router->fleet, cs_str (targets->removed[i]), 0, now))
      cs_stream_versions_missed (router->stream_versions, now);
  for (size_t i = 0; i < targets->n_targets; i++)
    apply_target (router, targets->targets[i], revision, now);
  if (targets->since == 0)
    cs_fleet_list_end (router->fleet, kept_until, now);
  router->fleet_synced = true;
  router->targets_sync.revision = revision;
}
