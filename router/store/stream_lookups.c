/* Searches for the versions of streams that callers take up.

   Another router may have begun a stream at a version of which this router
   does not know yet.  So the only version that it knows decides only after the
   targets have been checked with the store since the search began, by this
   router or by a peer, and what an earlier list has said of a stream does not
   decide at all.  */

#include "common/error.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

/* Time after which the streams of all routers are saved, or can't be.  */
#define SAVE_TIME_US (300 * CS_US_PER_MS)
/* Lists per search.  */
#define MAX_READS 2
/* Peers are asked as well when the store hasn't answered for this long.  */
#define ASK_PEERS_AFTER_US (100 * CS_US_PER_MS)

/* Decides on LOOKUP when a call that began at STARTED_AT has succeeded, or, if
   that is 0, without one.  Returns CS_OK with the version of LOOKUP,
   CS_ERR_UNKNOWN_VERSION if it can't be known, or CS_ERR_IN_PROGRESS if it may
   become known.  */
typedef int decide_fn (const cs_stream_versions_t *versions,
                       cs_version_lookup_t *lookup, cs_time_us_t started_at,
                       cs_time_us_t now);

/* Whether LOOKUP depends on what the routers have saved, because there is, or
   may have been, more than one version.  */
static bool
needs_list (const cs_stream_versions_t *versions,
            const cs_version_lookup_t *lookup, cs_time_us_t now)
{
  uint64_t version;
  return !cs_stream_history_is_complete (versions, now)
         || cs_version_history_count (&versions->history, lookup->service, now,
                                      &version)
                > 1;
}

/* Finds the version that is recorded for the stream of LOOKUP.  A member may
   have saved a later record itself than the one that it has passed on to this
   router.  */
static bool
find_record (const cs_stream_versions_t *versions,
             const cs_version_lookup_t *lookup, cs_time_us_t now,
             uint64_t *version)
{
  const cs_stream_record_t *own
      = cs_stream_table_find (versions->own, lookup->stream, now);
  const cs_stream_record_t *known = NULL;
  bool is_listed = versions->known_at >= lookup->asked_at;
  if (is_listed)
    known = cs_stream_table_find (versions->known, lookup->stream, now);
  if (own == NULL && known == NULL)
    return false;
  if (own != NULL && own->is_carried && !is_listed && !lookup->is_over)
    return false;
  *version = own != NULL ? own->version : known->version;
  if (own != NULL && own->is_carried && known != NULL
      && known->version != own->version)
    *version = CS_STREAM_VERSION_AMBIGUOUS;
  return true;
}

/* Whether the only version that this router has found since its start may have
   joined during an outage that ended the entries of the others.  */
static bool
may_lack_version (const cs_stream_versions_t *versions,
                  const cs_version_lookup_t *lookup, cs_time_us_t now)
{
  return cs_version_history_base (&versions->history, lookup->service, now)
             == 0
         && !cs_stream_targets_are_settled (versions, now);
}

static int
decide (const cs_stream_versions_t *versions, cs_version_lookup_t *lookup,
        bool targets_checked, cs_time_us_t now)
{
  lookup->lacks_target = false;
  if (find_record (versions, lookup, now, &lookup->version))
    {
      if (lookup->version == CS_STREAM_VERSION_AMBIGUOUS)
        return CS_ERR_UNKNOWN_VERSION;
      lookup->lacks_target
          = !lookup->is_over
            && (!targets_checked
                || !cs_stream_targets_are_settled (versions, now))
            && cs_fleet_find_version (versions->router->fleet, lookup->version)
                   == NULL;
      return lookup->lacks_target ? CS_ERR_IN_PROGRESS : CS_OK;
    }
  lookup->version = 0;
  if (!targets_checked || versions->synced_at == 0
      || needs_list (versions, lookup, now)
      || may_lack_version (versions, lookup, now))
    return CS_ERR_IN_PROGRESS;
  cs_version_history_count (&versions->history, lookup->service, now,
                            &lookup->version);
  return CS_OK;
}

int
cs_stream_versions_find (cs_stream_versions_t *versions,
                         cs_version_lookup_t *lookup, cs_time_us_t now)
{
  if (versions->synced_at == 0)
    cs_stream_versions_update (versions, now);
  lookup->asked_at = now;
  lookup->reads = 0;
  lookup->number = 0;
  lookup->targets_checked = false;
  lookup->is_over = false;
  int rc = decide (versions, lookup, false, now);
  if (rc != CS_ERR_IN_PROGRESS)
    return rc;
  lookup->is_waiting = true;
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
cs_stream_read_due (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  cs_time_us_t first = 0;
  for (const cs_version_lookup_t *lookup = versions->lookups; lookup != NULL;
       lookup = lookup->next)
    {
      cs_time_us_t due = list_due (lookup);
      if (lookup->reads >= MAX_READS || lookup->lacks_target)
        continue;
      if (needs_list (versions, lookup, now) && (first == 0 || due < first))
        first = due;
    }
  return first;
}

bool
cs_stream_check_is_due (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  for (const cs_version_lookup_t *lookup = versions->lookups; lookup != NULL;
       lookup = lookup->next)
    if (!lookup->targets_checked
        && (lookup->lacks_target || !needs_list (versions, lookup, now)))
      return versions->synced_at != 0;
  return false;
}

/* Decides on LOOKUP when no router has recorded its stream.  Those that begin
   at another version than the base are recorded before their first event while
   half of the targets have the base: so it must have had them for as long as
   streams live.  */
static int
decide_unrecorded (const cs_stream_versions_t *versions,
                   cs_version_lookup_t *lookup, cs_time_us_t now)
{
  const cs_version_history_t *history = &versions->history;
  if (versions->known_is_partial
      || cs_version_history_had_few (history, lookup->service, now))
    return CS_ERR_UNKNOWN_VERSION;
  lookup->version
      = cs_version_history_main_base (history, lookup->service, now);
  if (lookup->version != 0)
    return CS_OK;
  return cs_version_history_base (history, lookup->service, now) != 0
                 && !cs_stream_targets_are_settled (versions, now)
             ? CS_ERR_IN_PROGRESS
             : CS_ERR_UNKNOWN_VERSION;
}

/* The store can't be read for so long that the search ends.  While no router
   can read it, none can learn of a version either.  A router that has read it
   waits for the entries that may come back.  */
static int
decide_at_end (const cs_stream_versions_t *versions,
               cs_version_lookup_t *lookup, cs_time_us_t started_at,
               cs_time_us_t now)
{
  cs_time_us_t limit
      = lookup->asked_at + SAVE_TIME_US
        + versions->router->settings.call_timeout_ms * CS_US_PER_MS;
  if (lookup->reads >= MAX_READS)
    return decide_unrecorded (versions, lookup, now);
  bool has_read = lookup->targets_checked || lookup->reads > 0;
  if (now < limit
      || (has_read && !cs_stream_targets_are_settled (versions, now)))
    return decide (versions, lookup, lookup->targets_checked, now);
  lookup->is_over = true;
  bool none_can_know
      = cs_mesh_has_latest_targets (versions->router->mesh, lookup->asked_at);
  int rc = decide (versions, lookup, none_can_know, now);
  return rc == CS_ERR_IN_PROGRESS ? CS_ERR_UNKNOWN_VERSION : rc;
}

static int
decide_after_list (const cs_stream_versions_t *versions,
                   cs_version_lookup_t *lookup, cs_time_us_t started_at,
                   cs_time_us_t now)
{
  if (started_at < list_due (lookup))
    return CS_ERR_IN_PROGRESS;
  int rc = decide (versions, lookup, lookup->targets_checked, now);
  if (rc != CS_ERR_IN_PROGRESS || lookup->lacks_target
      || !needs_list (versions, lookup, now))
    return rc;
  lookup->reads++;
  return lookup->reads < MAX_READS ? CS_ERR_IN_PROGRESS
                                   : decide_unrecorded (versions, lookup, now);
}

static int
decide_after_check (const cs_stream_versions_t *versions,
                    cs_version_lookup_t *lookup, cs_time_us_t started_at,
                    cs_time_us_t now)
{
  if (started_at >= lookup->asked_at)
    lookup->targets_checked = true;
  return decide (versions, lookup, lookup->targets_checked, now);
}

static void
decide_all (cs_stream_versions_t *versions, decide_fn *decide_one,
            cs_time_us_t started_at, cs_time_us_t now)
{
  cs_version_lookup_t *decided = NULL;
  cs_version_lookup_t **link = &versions->lookups;
  while (*link != NULL)
    {
      cs_version_lookup_t *lookup = *link;
      int rc = decide_one (versions, lookup, started_at, now);
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

void
cs_stream_lookups_after_list (cs_stream_versions_t *versions,
                              cs_time_us_t started_at, cs_time_us_t now)
{
  decide_all (versions, decide_after_list, started_at, now);
}

void
cs_stream_lookups_after_check (cs_stream_versions_t *versions,
                               cs_time_us_t started_at, cs_time_us_t now)
{
  decide_all (versions, decide_after_check, started_at, now);
}

static void
ask_peers (cs_stream_versions_t *versions, cs_time_us_t now)
{
  for (cs_version_lookup_t *lookup = versions->lookups; lookup != NULL;
       lookup = lookup->next)
    {
      if (lookup->is_for_peer || lookup->number != 0
          || now < lookup->asked_at + ASK_PEERS_AFTER_US)
        continue;
      lookup->number = ++versions->last_question;
      cs_mesh_ask_version (versions->router->mesh, lookup);
    }
}

void
cs_stream_lookups_update (cs_stream_versions_t *versions, cs_time_us_t now)
{
  ask_peers (versions, now);
  decide_all (versions, decide_at_end, 0, now);
}

void
cs_stream_versions_answer (cs_stream_versions_t *versions, uint64_t number,
                           uint64_t version, cs_time_us_t now)
{
  cs_version_lookup_t *lookup = versions->lookups;
  while (lookup != NULL && lookup->number != number)
    lookup = lookup->next;
  if (lookup == NULL || number == 0)
    return;
  cs_stream_versions_cancel (versions, lookup);
  lookup->version = version;
  lookup->on_result (lookup->context, CS_OK, now);
}
