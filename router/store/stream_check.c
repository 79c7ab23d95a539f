/* Checks with the platform's store whether targets of a version that this
   router does not know have joined.  */

#include "common/hash.h"
#include "router/apply.h"
#include "router/store/stream_internal.h"

#define STATUS_GONE 410
/* The store returns the changes that there are, without waiting for more.  */
#define WAIT_MS 1

int
cs_stream_check_path (cs_stream_versions_t *versions, cs_buf_t *out,
                      cs_time_us_t now)
{
  const cs_router_t *router = versions->router;
  if (!cs_list_cursor_is_begun (&versions->check_cursor))
    versions->check_at = now;
  /* A revision of an earlier era means nothing to the store.  */
  if (router->targets_sync.revision.era != router->store_era)
    versions->check_lists = true;
  if (versions->check_lists)
    return cs_store_list_path (
        CS_STORE_TARGETS, cs_list_cursor_after (&versions->check_cursor), out);
  return cs_store_watch_path (
      CS_STORE_TARGETS, router->targets_sync.revision.number, WAIT_MS, out);
}

/* The target ID is gone.  If it was added since NOW, when the page was
   received, it is removed again; the follower of the list removes others.  If
   it was not known, neither is its version.  */
static void
see_removal (cs_stream_versions_t *versions, cs_str_t id, cs_time_us_t now)
{
  size_t count;
  cs_fleet_t *fleet = versions->router->fleet;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  size_t at = 0;
  while (at < count && !cs_str_equal (cs_name_str (&targets[at]->id), id))
    at++;
  if (at == count)
    cs_stream_versions_missed (versions, now);
  else if (targets[at]->joined_at >= now)
    cs_fleet_remove (fleet, id, 0, now);
}

/* Adds the targets on PAGE that this router lacks, and their versions to the
   history.  All other changes are left to the follower of the list.  */
static void
see_page (cs_stream_versions_t *versions, cs_store_page_t *page,
          cs_time_us_t now)
{
  cs_store_object_t object;
  cs_target_entry_t entry;
  while (cs_store_next_object (page, &object))
    {
      cs_list_cursor_pass (&versions->check_cursor, object.name);
      if (object.deleted)
        see_removal (versions, object.name, now);
      if (object.deleted || cs_store_read_target (&object, &entry) != 0
          || entry.version == 0)
        continue;
      cs_version_seen_t seen = { .service = cs_hash (entry.service, 0),
                                 .version = entry.version,
                                 .seen_at = now };
      cs_version_history_see (&versions->history, &seen, now);
      if (cs_fleet_find_incarnation (versions->router->fleet, entry.id,
                                     entry.started_ms, &entry.address)
          == NULL)
        cs_apply_target (versions->router, &entry, "check");
    }
}

/* The store doesn't have the changes since the known revision any more.  */
static void
begin_list (cs_stream_versions_t *versions, cs_time_us_t now)
{
  versions->check_lists = true;
  cs_stream_versions_missed (versions, now);
}

bool
cs_stream_check_read (cs_stream_versions_t *versions,
                      const cs_store_response_t *response, cs_time_us_t now)
{
  cs_store_page_t page;
  bool is_list = versions->check_lists;
  cs_list_cursor_t *cursor = &versions->check_cursor;
  if (response->status == STATUS_GONE && !is_list)
    {
      cs_list_cursor_reset (cursor);
      begin_list (versions, now);
      return true;
    }
  int rc = response->status != 200 ? CS_ERR_PLATFORM_DOWN
           : is_list
               ? cs_store_read_list (response->body, response->era, &page)
               : cs_store_read_watch (response->body, response->era, &page);
  if (rc != 0)
    {
      cs_list_cursor_reset (cursor);
      return false;
    }
  bool is_current
      = is_list
        || page.revision.era == versions->router->targets_sync.revision.era;
  bool is_truncated = page.truncated;
  cs_list_cursor_begin_page (cursor);
  if (is_current)
    see_page (versions, &page, now);
  else
    begin_list (versions, now);
  cs_store_page_release (&page);
  if (is_current && is_truncated && cs_list_cursor_has_moved (cursor))
    return true;
  cs_list_cursor_reset (cursor);
  if (!is_current || is_truncated)
    return !is_current;
  versions->check_lists = false;
  cs_stream_lookups_after_check (versions, versions->check_at, now);
  return true;
}
