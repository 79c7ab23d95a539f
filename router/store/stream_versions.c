#include "router/stream_versions.h"

#include <stdlib.h>

#include "common/hash.h"
#include "common/log.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

/* A first hub reads what the store names this long after its start, and writes
   the only version of a service after that: not while all routers start.  */
#define FIRST_READ_US (2 * CS_US_PER_S)
#define FIRST_WRITE_US (4 * CS_US_PER_S)
/* After a save that took longer, streams begin at the base version.  */
#define SLOW_SAVE_US (400 * CS_US_PER_MS)

bool
cs_stream_versions_are_several (const cs_stream_versions_t *versions,
                                cs_time_us_t now)
{
  const cs_version_history_t *history = &versions->history;
  uint64_t version;
  for (size_t i = 0; i < history->count; i++)
    if (cs_version_history_count (history, history->seen[i].service, now,
                                  &version)
        > 1)
      return true;
  return false;
}

/* Records the versions of the targets that there are.  Returns whether one was
   not known.  */
static bool
see_targets (cs_stream_versions_t *versions, cs_time_us_t now)
{
  size_t count;
  bool is_new = false;
  cs_target_t *const *targets
      = cs_fleet_targets (versions->router->fleet, &count);
  cs_version_history_reset_targets (&versions->history);
  for (size_t i = 0; i < count; i++)
    {
      cs_version_seen_t seen
          = { .service = cs_hash (cs_name_str (&targets[i]->service), 0),
              .version = targets[i]->version,
              .seen_at = now };
      if (seen.version != 0
          && cs_version_history_see (&versions->history, &seen, now))
        is_new = true;
      if (seen.version != 0)
        cs_version_history_count_target (&versions->history, seen.version);
    }
  if (cs_stream_targets_are_settled (versions, now))
    cs_version_history_check_bases (&versions->history, now);
  return is_new;
}

void
cs_stream_versions_merge (cs_stream_versions_t *versions, cs_time_us_t now)
{
  uint64_t wall_ms = cs_clock_wall_ms ();
  for (size_t i = 0; i < versions->stored_count; i++)
    {
      const cs_store_version_t *stored = &versions->stored[i];
      cs_version_seen_t seen = { .service = stored->service,
                                 .version = stored->version,
                                 .seen_at = now };
      cs_time_us_t age = 0;
      if (stored->seen_ms != 0 && stored->seen_ms < wall_ms)
        age = (wall_ms - stored->seen_ms) * CS_US_PER_MS;
      seen.seen_at = age < now ? now - age : 0;
      cs_version_history_see (&versions->history, &seen, now);
      if (stored->is_base)
        cs_version_history_set_base (&versions->history, stored->version);
    }
}

size_t
cs_stream_versions_list (const cs_stream_versions_t *versions,
                         cs_store_version_t *out, cs_time_us_t now)
{
  const cs_version_history_t *history = &versions->history;
  uint64_t wall_ms = cs_clock_wall_ms ();
  for (size_t i = 0; i < history->count; i++)
    {
      const cs_version_seen_t *seen = &history->seen[i];
      uint64_t version;
      /* The only version of a service counts as present until it is forgotten:
         that its targets come and go costs no calls.  */
      bool is_present
          = seen->seen_at >= versions->updated_at
            || cs_version_history_count (history, seen->service, now, &version)
                   == 1;
      out[i] = (cs_store_version_t){
        .service = seen->service,
        .version = seen->version,
        .seen_ms
        = is_present ? 0 : wall_ms - (now - seen->seen_at) / CS_US_PER_MS,
        .is_base = seen->is_base,
      };
    }
  return history->count;
}

static const cs_store_version_t *
find_stored (const cs_stream_versions_t *versions, uint64_t version)
{
  for (size_t i = 0; i < versions->stored_count; i++)
    if (versions->stored[i].version == version)
      return &versions->stored[i];
  return NULL;
}

/* Whether the store should be told of a change.  */
static bool
differs_from_stored (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  cs_store_version_t list[CS_VERSION_HISTORY_MAX];
  size_t count = cs_stream_versions_list (versions, list, now);
  for (size_t i = 0; i < count; i++)
    {
      const cs_store_version_t *stored
          = find_stored (versions, list[i].version);
      if (stored == NULL || (stored->seen_ms == 0) != (list[i].seen_ms == 0)
          || stored->is_base != list[i].is_base)
        return true;
    }
  return count < versions->stored_count;
}

bool
cs_stream_targets_are_settled (const cs_stream_versions_t *versions,
                               cs_time_us_t now)
{
  return versions->synced_at != 0
         && now >= versions->synced_at
                       + versions->router->settings.lapse_ms * CS_US_PER_MS;
}

/* A version that has been the only one of its service for as long as streams
   live is its base.  So is the only one that a router finds after its start,
   unless the store names another.  */
static void
find_bases (cs_stream_versions_t *versions, cs_time_us_t now)
{
  cs_version_history_t *history = &versions->history;
  uint64_t version;
  if (!cs_stream_history_is_complete (versions, now)
      || !cs_stream_targets_are_settled (versions, now))
    return;
  for (size_t i = 0; i < history->count; i++)
    {
      uint64_t service = history->seen[i].service;
      if (cs_version_history_base (history, service, now) == 0
          && cs_version_history_count (history, service, now, &version) == 1)
        cs_version_history_set_base (history, version);
    }
}

static bool
is_first_hub (const cs_stream_versions_t *versions)
{
  return cs_mesh_is_first_hub (versions->router->mesh);
}

/* Whether the object with the versions has to be read or written.  */
static bool
is_object_due (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (!is_first_hub (versions))
    return false;
  if (!versions->is_read && now >= versions->synced_at + FIRST_READ_US)
    return true;
  return (now >= versions->synced_at + FIRST_WRITE_US
          || cs_stream_versions_are_several (versions, now))
         && differs_from_stored (versions, now);
}

static void
log_forgotten (cs_stream_versions_t *versions, cs_time_us_t now)
{
  bool lacks = cs_version_history_lacks (&versions->history, now);
  if (lacks && !versions->lacks_versions)
    cs_log (CS_EV_VERSIONS_FORGOTTEN, "max=%d", CS_VERSION_HISTORY_MAX);
  versions->lacks_versions = lacks;
}

void
cs_stream_versions_update (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (!versions->router->fleet_synced)
    return;
  const cs_router_t *router = versions->router;
  if (versions->synced_at == 0)
    versions->synced_at = versions->followed_since = now;
  if (versions->read_era != router->store_era)
    versions->is_read = false;
  cs_stream_object_check_era (versions, now);
  /* A write of the era before may have found the revision that it requires. */
  if (versions->reread_at != 0 && now >= versions->reread_at)
    {
      versions->reread_at = 0;
      versions->list_wanted = is_first_hub (versions);
    }
  bool is_new = see_targets (versions, now);
  versions->updated_at = now;
  cs_version_history_expire (&versions->history, now);
  log_forgotten (versions, now);
  find_bases (versions, now);
  cs_stream_bases_update (versions, now);
  cs_stream_table_expire (versions->own, now);
  cs_stream_table_expire (versions->known, now);
  /* Streams in progress began when there was one version.  */
  if (is_new && cs_stream_versions_are_several (versions, now))
    cs_stream_request_save (versions, now);
  if (router->routing != NULL
      && router->routing->version != versions->patience_version)
    {
      versions->patience_version = router->routing->version;
      versions->patience_us = cs_routing_stream_patience_us (router->routing);
    }
  if (!cs_stream_versions_are_several (versions, now))
    versions->unsaved_since = 0;
  if (cs_stream_hub_is_late (versions, now))
    versions->save_due = true;
  versions->versions_due = is_object_due (versions, now);
  cs_stream_lookups_update (versions, now);
  cs_stream_calls_start (versions, now);
}

void
cs_stream_versions_see (cs_stream_versions_t *versions, uint64_t version,
                        cs_time_us_t now)
{
  if (versions != NULL && version != 0
      && !cs_version_history_has (&versions->history, version, now))
    cs_stream_versions_update (versions, now);
}

uint64_t
cs_stream_versions_preferred (const cs_stream_versions_t *versions,
                              uint64_t service, cs_time_us_t now)
{
  if ((versions->save_us <= SLOW_SAVE_US
       && cs_stream_versions_are_saved_soon (versions, now))
      || !cs_stream_versions_are_several (versions, now))
    return 0;
  return cs_version_history_main_base (&versions->history, service, now);
}

bool
cs_stream_history_is_complete (const cs_stream_versions_t *versions,
                               cs_time_us_t now)
{
  return !cs_version_history_lacks (&versions->history, now)
         && (versions->is_read
             || (versions->followed_since != 0
                 && now >= versions->followed_since + CS_STREAM_LIFE_US));
}

void
cs_stream_versions_missed (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (versions == NULL || versions->synced_at == 0)
    return;
  versions->is_read = false;
  versions->followed_since = now;
}

cs_stream_versions_t *
cs_stream_versions_create (cs_router_t *router)
{
  cs_stream_versions_t *versions = calloc (1, sizeof *versions);
  if (versions == NULL)
    return NULL;
  versions->router = router;
  cs_timer_init (&versions->timer, router->loop, cs_stream_calls_start,
                 versions);
  versions->own = cs_stream_table_create ();
  versions->known = cs_stream_table_create ();
  versions->client
      = cs_store_client_create (router, cs_stream_calls_on_response, versions);
  if (cs_stream_object_name (versions) == 0 && versions->own != NULL
      && versions->known != NULL && versions->client != NULL)
    return versions;
  cs_stream_versions_destroy (versions);
  return NULL;
}

void
cs_stream_versions_destroy (cs_stream_versions_t *versions)
{
  if (versions == NULL)
    return;
  cs_timer_clear (&versions->timer);
  cs_store_client_destroy (versions->client);
  cs_stream_table_destroy (versions->own);
  cs_stream_table_destroy (versions->known);
  cs_list_cursor_free (&versions->cursor);
  cs_list_cursor_free (&versions->check_cursor);
  free (versions);
}
