/* The platform's news among routers: who knows what, and what is passed on. */

#include <stdlib.h>

#include "router/intake.h"
#include "router/peer/internal.h"

static uint64_t
own_routing_version (const cs_router_t *router)
{
  return router->routing == NULL ? 0 : router->routing->version;
}

static uint32_t
age_ms (const cs_sync_state_t *news, cs_time_us_t now)
{
  cs_time_us_t age = (now - news->own_confirmed_at) / CS_US_PER_MS + 1;
  return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

void
cs_news_write_beat (cs_link_t *link, Cs__Router__Beat *beat, cs_time_us_t now)
{
  const cs_router_t *router = link->mesh->router;
  beat->number = ++link->beat_number;
  beat->echo = link->beat_heard;
  link->beat_sent_at[beat->number % CS_BEATS_REMEMBERED] = now;
  beat->routing_version = own_routing_version (router);
  beat->targets_revision = cs_fleet_revision (router->fleet);
  beat->has_routing_age = router->routing_sync.own_confirmed_at != 0;
  beat->has_targets_age = router->targets_sync.own_confirmed_at != 0;
  beat->routing_age_ms = age_ms (&router->routing_sync, now);
  beat->targets_age_ms = age_ms (&router->targets_sync, now);
  beat->stopping = router->stopping;
}

/* A time before which the beat cannot have been written: when the beat that it
   echoes was sent.  A connection may hold a beat back for seconds.  0: not
   known.  */
static cs_time_us_t
written_after (const cs_link_t *link, const Cs__Router__Beat *beat)
{
  if (beat->echo == 0 || beat->echo > link->beat_number
      || link->beat_number - beat->echo >= CS_BEATS_REMEMBERED)
    return 0;
  return link->beat_sent_at[beat->echo % CS_BEATS_REMEMBERED];
}

/* The platform confirmed to the peer what this router knows, AGE before
   WRITTEN.  */
static void
confirm (cs_sync_state_t *news, uint32_t age, cs_time_us_t written)
{
  cs_time_us_t age_us = age * CS_US_PER_MS;
  if (age_us < written && written - age_us > news->confirmed_at)
    news->confirmed_at = written - age_us;
}

static bool
is_behind (const cs_link_t *link)
{
  const cs_router_t *router = link->mesh->router;
  return link->routing_version < own_routing_version (router)
         || link->targets_revision < cs_fleet_revision (router->fleet);
}

void
cs_news_read_beat (cs_link_t *link, const Cs__Router__Beat *beat,
                   cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  cs_time_us_t written = written_after (link, beat);
  link->beat_heard = beat->number;
  link->routing_version = beat->routing_version;
  link->targets_revision = beat->targets_revision;
  if (beat->has_routing_age && router->routing != NULL
      && beat->routing_version <= own_routing_version (router))
    confirm (&router->routing_sync, beat->routing_age_ms, written);
  if (beat->has_targets_age && router->fleet_synced
      && beat->targets_revision <= cs_fleet_revision (router->fleet))
    confirm (&router->targets_sync, beat->targets_age_ms, written);
  bool behind = is_behind (link);
  /* The first hub mends it at once; the others leave it a beat for that.  */
  if (behind && (link->mesh->role.is_first || link->was_behind))
    cs_news_send (link, now);
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
  routing.revision = router->routing_sync.revision;
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
  if (target->kept_until > now)
    out->kept_ms = (uint32_t)((target->kept_until - now) / CS_US_PER_MS) + 1;
}

/* Sends the targets in LIST and the ids in REMOVED as changes since SINCE.  */
static void
send_changes (cs_link_t *link, uint64_t since, Cs__Router__Target **list,
              size_t count, const cs_name_t **removed, size_t removed_count)
{
  char *ids[CS_FLEET_REMOVALS];
  Cs__Router__Targets targets = CS__ROUTER__TARGETS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  for (size_t i = 0; i < removed_count; i++)
    ids[i] = (char *)removed[i]->text;
  targets.since = since;
  targets.revision = cs_fleet_revision (link->mesh->router->fleet);
  targets.targets = list;
  targets.n_targets = count;
  targets.removed = ids;
  targets.n_removed = removed_count;
  frame.body_case = CS__ROUTER__FRAME__BODY_TARGETS;
  frame.targets = &targets;
  cs_link_send (link, &frame);
  link->targets_revision = targets.revision;
}

static void
send_targets (cs_link_t *link, cs_time_us_t now)
{
  cs_fleet_t *fleet = link->mesh->router->fleet;
  const cs_name_t *removed[CS_FLEET_REMOVALS];
  size_t count;
  size_t removed_count = 0;
  size_t sent = 0;
  uint64_t since = link->targets_revision;
  cs_target_t *const *all = cs_fleet_targets (fleet, &count);
  if (since != 0
      && !cs_fleet_removed_since (fleet, since, removed, &removed_count))
    {
      since = 0;
      removed_count = 0;
    }
  Cs__Router__Target *entries = calloc (count + 1, sizeof *entries);
  Cs__Router__Target **list
      = calloc (count + 1, sizeof (Cs__Router__Target *));
  if (entries == NULL || list == NULL)
    goto out;
  for (size_t i = 0; i < count; i++)
    {
      if (since != 0 && all[i]->changed_revision <= since)
        continue;
      fill_target (&entries[sent], all[i], now);
      list[sent] = &entries[sent];
      sent++;
    }
  send_changes (link, since, list, sent, removed, removed_count);
out:
  free (entries);
  free (list);
}

void
cs_news_send (cs_link_t *link, cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  if (link->routing_version < own_routing_version (router))
    send_routing (link);
  if (router->fleet_synced
      && link->targets_revision < cs_fleet_revision (router->fleet))
    send_targets (link, now);
}

void
cs_news_read_routing (cs_link_t *link, const Cs__Router__Routing *routing)
{
  cs_router_t *router = link->mesh->router;
  if (routing->version <= own_routing_version (router))
    return;
  cs_apply_peer_routing (router,
                         (cs_str_t){ (const char *)routing->document.data,
                                     routing->document.len },
                         routing->revision);
}

/* The changes build on the list at SINCE: a newer list needs none of them, and
   an older one lacks what came before.  */
static bool
fits (const cs_router_t *router, const Cs__Router__Targets *targets)
{
  uint64_t own = cs_fleet_revision (router->fleet);
  return targets->revision > own && targets->since <= own;
}

static void
take_target (cs_router_t *router, const Cs__Router__Target *target,
             uint64_t revision, cs_time_us_t now)
{
  /* The peer missed the removal, and cannot tell it from a lapsed entry.  A
     target that lives is listed again within seconds.  */
  if (target->kept_ms > 0
      && cs_fleet_was_removed (router->fleet, cs_str (target->id)))
    return;
  cs_target_entry_t entry = {
    .id = cs_str (target->id),
    .service = cs_str (target->service),
    .data_centre = cs_str (target->data_centre),
    .started_ms = target->started_ms,
    .slots = target->slots,
    .draining = target->draining,
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

void
cs_news_read_targets (cs_link_t *link, const Cs__Router__Targets *targets,
                      cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  if (!fits (router, targets))
    return;
  cs_fleet_set_revision (router->fleet, targets->revision);
  if (targets->since == 0)
    cs_fleet_list_begin (router->fleet);
  for (size_t i = 0; i < targets->n_removed; i++)
    cs_fleet_remove (router->fleet, cs_str (targets->removed[i]), 0, now);
  for (size_t i = 0; i < targets->n_targets; i++)
    take_target (router, targets->targets[i], targets->revision, now);
  if (targets->since == 0)
    cs_fleet_list_end (router->fleet, 0, now);
  router->fleet_synced = true;
  router->targets_sync.revision = targets->revision;
}
