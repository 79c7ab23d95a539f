#include "router/stream_versions.h"

#include <stdlib.h>

#include "common/hash.h"
#include "common/log.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

/* Of the changes that the platform's store takes, this share is for streams.
 */
#define SAVE_SHARE 0.25
/* Shorter intervals gain little: a stream is saved when its request is sent,
   long before its first event.  */
#define MIN_SAVE_INTERVAL_US (250 * CS_US_PER_MS)
/* A list may miss a stream that began this much longer than a save interval
   ago.  */
#define SAVE_TIME_MARGIN_US (100 * CS_US_PER_MS)
/* A first hub reads what the store names this long after its start.  */
#define FIRST_READ_US (4 * CS_US_PER_S)
/* Lists per search.  */
#define MAX_READS 2

cs_time_us_t
cs_stream_save_interval (const cs_stream_versions_t *versions)
{
  const cs_router_t *router = versions->router;
  double interval_us = cs_mesh_count_routers (router->mesh) * CS_US_PER_S
                       / (SAVE_SHARE * router->settings.writes_per_s);
  return interval_us > MIN_SAVE_INTERVAL_US ? (cs_time_us_t)interval_us
                                            : MIN_SAVE_INTERVAL_US;
}

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
  for (size_t i = 0; i < count; i++)
    {
      cs_version_seen_t seen
          = { .service = cs_hash (cs_name_str (&targets[i]->service), 0),
              .version = targets[i]->version,
              .seen_at = now };
      if (seen.version != 0
          && cs_version_history_see (&versions->history, &seen, now))
        is_new = true;
    }
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
      bool is_present = seen->seen_at >= versions->updated_at;
      out[i] = (cs_store_version_t){
        .service = seen->service,
        .version = seen->version,
        .seen_ms
        = is_present ? 0 : wall_ms - (now - seen->seen_at) / CS_US_PER_MS,
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

/* Whether the store should be told of a change.  It needs no object while
   there has never been more than one version of a service.  */
static bool
differs_from_stored (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  cs_store_version_t list[CS_VERSION_HISTORY_MAX];
  if (versions->stored_revision == 0 && versions->stored_count == 0
      && !cs_stream_versions_are_several (versions, now))
    return false;
  size_t count = cs_stream_versions_list (versions, list, now);
  for (size_t i = 0; i < count; i++)
    {
      const cs_store_version_t *stored
          = find_stored (versions, list[i].version);
      if (stored == NULL || (stored->seen_ms == 0) != (list[i].seen_ms == 0))
        return true;
    }
  return count < versions->stored_count;
}

static bool
is_first_hub (const cs_stream_versions_t *versions)
{
  return cs_mesh_is_first_hub (versions->router->mesh);
}

void
cs_stream_versions_update (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (!versions->router->fleet_synced)
    return;
  const cs_router_t *router = versions->router;
  if (versions->synced_at == 0)
    versions->synced_at = now;
  if (versions->read_era != router->store_era)
    versions->is_read = false;
  bool is_new = see_targets (versions, now);
  versions->updated_at = now;
  cs_version_history_expire (&versions->history, now);
  cs_stream_table_expire (versions->own, now);
  cs_stream_table_expire (versions->known, now);
  /* Streams in progress began when there was one version.  */
  if (is_new && cs_stream_versions_are_several (versions, now))
    versions->save_due = true;
  versions->versions_due
      = is_first_hub (versions)
        && (differs_from_stored (versions, now)
            || (!versions->is_read
                && now >= versions->synced_at + FIRST_READ_US));
  cs_stream_lookups_decide (versions, 0, now);
  cs_stream_calls_start (versions, now);
}

void
cs_stream_versions_see (cs_stream_versions_t *versions, uint64_t version,
                        cs_time_us_t now)
{
  if (versions != NULL && version != 0
      && cs_version_history_seen_at (&versions->history, version) == 0)
    cs_stream_versions_update (versions, now);
}

void
cs_stream_versions_begin (cs_stream_versions_t *versions, uint64_t service,
                          const cs_stream_record_t *record, cs_time_us_t now)
{
  uint64_t version;
  if (record->version == 0)
    return;
  if (cs_stream_table_put (versions->own, record, now) != 0)
    versions->router->counters.streams_not_recorded++;
  if (cs_version_history_count (&versions->history, service, now, &version)
      < 2)
    return;
  versions->save_due = true;
  cs_stream_calls_start (versions, now);
}

void
cs_stream_versions_end (cs_stream_versions_t *versions, uint64_t stream)
{
  cs_stream_table_remove (versions->own, stream);
}

/* Whether no version is missing from the history.  */
static bool
is_history_complete (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  return versions->is_read
         || (versions->synced_at != 0
             && now >= versions->synced_at + CS_STREAM_LIFE_US);
}

static bool
are_targets_confirmed (const cs_router_t *router, cs_time_us_t now)
{
  return now - router->targets_sync.confirmed_at
         <= cs_router_settings_update_limit_us (&router->settings);
}

/* Returns CS_OK with the version of LOOKUP, CS_ERR_UNKNOWN_VERSION if it can't
   be known, or CS_ERR_IN_PROGRESS if it may become known.  Unless
   IS_CONFIRMED, there may be a version of which this router doesn't know.  */
static int
decide (const cs_stream_versions_t *versions, cs_version_lookup_t *lookup,
        bool is_confirmed, cs_time_us_t now)
{
  const cs_stream_record_t *record
      = cs_stream_table_find (versions->own, lookup->stream, now);
  if (record == NULL)
    record = cs_stream_table_find (versions->known, lookup->stream, now);
  if (record != NULL)
    {
      lookup->version = record->version;
      return record->version == CS_STREAM_VERSION_AMBIGUOUS
                 ? CS_ERR_UNKNOWN_VERSION
                 : CS_OK;
    }
  lookup->version = 0;
  if (versions->synced_at == 0)
    return CS_ERR_IN_PROGRESS;
  size_t count = cs_version_history_count (&versions->history, lookup->service,
                                           now, &lookup->version);
  return count <= 1 && is_confirmed && is_history_complete (versions, now)
             ? CS_OK
             : CS_ERR_IN_PROGRESS;
}

int
cs_stream_versions_find (cs_stream_versions_t *versions,
                         cs_version_lookup_t *lookup, cs_time_us_t now)
{
  if (versions->synced_at == 0)
    cs_stream_versions_update (versions, now);
  int rc = decide (versions, lookup,
                   are_targets_confirmed (versions->router, now), now);
  if (rc != CS_ERR_IN_PROGRESS)
    return rc;
  lookup->is_waiting = true;
  lookup->asked_at = now;
  lookup->reads = 0;
  lookup->next = versions->lookups;
  versions->lookups = lookup;
  cs_timer_set (&versions->timer, 0);
  return CS_ERR_IN_PROGRESS;
}

void
cs_stream_versions_cancel (cs_stream_versions_t *versions,
                           cs_version_lookup_t *lookup)
{
  cs_version_lookup_t **link = &versions->lookups;
  if (!lookup->is_waiting)
    return;
  while (*link != lookup)
    link = &(*link)->next;
  *link = lookup->next;
  lookup->is_waiting = false;
}

/* When a list that can decide LOOKUP may begin: at once, and again when all
   routers have saved what they had begun.  */
static cs_time_us_t
list_due (const cs_stream_versions_t *versions,
          const cs_version_lookup_t *lookup)
{
  if (lookup->reads == 0)
    return lookup->asked_at;
  return lookup->asked_at + cs_stream_save_interval (versions)
         + SAVE_TIME_MARGIN_US;
}

cs_time_us_t
cs_stream_read_due (const cs_stream_versions_t *versions)
{
  cs_time_us_t first = 0;
  for (const cs_version_lookup_t *lookup = versions->lookups; lookup != NULL;
       lookup = lookup->next)
    {
      cs_time_us_t due = list_due (versions, lookup);
      if (first == 0 || due < first)
        first = due;
    }
  return first;
}

/* The store can't be read for so long that the search ends: with the only
   version that this router knows, or none.  */
static int
decide_without_store (const cs_stream_versions_t *versions,
                      cs_version_lookup_t *lookup, cs_time_us_t now)
{
  cs_time_us_t limit
      = lookup->asked_at + cs_stream_save_interval (versions)
        + versions->router->settings.call_timeout_ms * CS_US_PER_MS;
  bool is_over = now >= limit;
  bool is_confirmed = is_over || are_targets_confirmed (versions->router, now);
  int rc = decide (versions, lookup, is_confirmed, now);
  return rc == CS_ERR_IN_PROGRESS && is_over ? CS_ERR_UNKNOWN_VERSION : rc;
}

static int
decide_after_list (const cs_stream_versions_t *versions,
                   cs_version_lookup_t *lookup, cs_time_us_t started_at,
                   cs_time_us_t now)
{
  if (started_at < list_due (versions, lookup))
    return CS_ERR_IN_PROGRESS;
  int rc = decide (versions, lookup, true, now);
  if (rc != CS_ERR_IN_PROGRESS)
    return rc;
  lookup->reads++;
  return lookup->reads < MAX_READS ? CS_ERR_IN_PROGRESS
                                   : CS_ERR_UNKNOWN_VERSION;
}

void
cs_stream_lookups_decide (cs_stream_versions_t *versions,
                          cs_time_us_t started_at, cs_time_us_t now)
{
  cs_version_lookup_t *decided = NULL;
  cs_version_lookup_t **link = &versions->lookups;
  while (*link != NULL)
    {
      cs_version_lookup_t *lookup = *link;
      int rc = started_at == 0
                   ? decide_without_store (versions, lookup, now)
                   : decide_after_list (versions, lookup, started_at, now);
      if (rc == CS_ERR_IN_PROGRESS)
        {
          link = &lookup->next;
          continue;
        }
      *link = lookup->next;
      lookup->is_waiting = false;
      lookup->result = rc;
      lookup->next = decided;
      decided = lookup;
    }
  while (decided != NULL)
    {
      cs_version_lookup_t *lookup = decided;
      decided = lookup->next;
      lookup->on_result (lookup->context, lookup->result, now);
    }
}

cs_stream_versions_t *
cs_stream_versions_create (cs_router_t *router)
{
  cs_stream_versions_t *versions = calloc (1, sizeof *versions);
  cs_buf_t name = { 0 };
  if (versions == NULL)
    return NULL;
  versions->router = router;
  cs_timer_init (&versions->timer, router->loop, cs_stream_calls_start,
                 versions);
  versions->own = cs_stream_table_create ();
  versions->known = cs_stream_table_create ();
  versions->client
      = cs_store_client_create (router, cs_stream_calls_on_response, versions);
  int rc = cs_buf_printf (
      &name, "router-%016llx",
      (unsigned long long)cs_hash (cs_str (router->settings.name),
                                   cs_clock_wall_ms ()));
  if (rc == 0)
    cs_name_set (&versions->name, cs_buf_str (&name));
  cs_buf_free (&name);
  if (rc == 0 && versions->own != NULL && versions->known != NULL
      && versions->client != NULL)
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
  free (versions);
}
