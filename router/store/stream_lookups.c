/* Searches for the versions of streams that callers take up.  */

#include "router/store/stream_internal.h"

/* Time after which the streams of all routers are saved, or can't be.  */
#define SAVE_TIME_US (300 * CS_US_PER_MS)
/* Lists per search.  */
#define MAX_READS 2

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
  return count <= 1 && is_confirmed
                 && cs_stream_history_is_complete (versions, now)
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
list_due (const cs_version_lookup_t *lookup)
{
  if (lookup->reads == 0)
    return lookup->asked_at;
  return lookup->asked_at + SAVE_TIME_US;
}

cs_time_us_t
cs_stream_read_due (const cs_stream_versions_t *versions)
{
  cs_time_us_t first = 0;
  for (const cs_version_lookup_t *lookup = versions->lookups; lookup != NULL;
       lookup = lookup->next)
    {
      cs_time_us_t due = list_due (lookup);
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
      = lookup->asked_at + SAVE_TIME_US
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
  if (started_at < list_due (lookup))
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
