/* Calls to the platform's store for the versions of streams.  */

#include "http/head.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

/* Exponential backoff of calls that failed, with jitter.  */
#define MIN_BACKOFF_MS 100
#define MAX_BACKOFF_DOUBLINGS 5
/* Pause between the beginnings of two lists.  */
#define LIST_PAUSE_US (50 * CS_US_PER_MS)
/* A write without a response is executed within this time, or never.  */
#define LATE_WRITE_US (10 * CS_US_PER_S)

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

static int
build_versions (cs_stream_versions_t *versions, const char **method,
                cs_buf_t *path, cs_buf_t *body, cs_time_us_t now)
{
  versions->stored_count
      = cs_stream_versions_list (versions, versions->stored, now);
  *method = versions->stored_revision != 0 ? "PUT" : "POST";
  int rc = cs_store_versions_path (versions->stored_revision, path);
  return rc != 0 ? rc
                 : cs_store_write_versions (versions->stored,
                                            versions->stored_count, body);
}

static int
build_removal (const cs_stream_versions_t *versions, cs_buf_t *path)
{
  if (versions->removable_count == 0)
    return cs_stream_object_removal_path (versions, path);
  const cs_removable_t *removable
      = &versions->removable[versions->removable_count - 1];
  return cs_store_object_at_path (CS_STORE_STREAMS,
                                  cs_name_str (&removable->name),
                                  removable->revision, path);
}

static void
begin_list (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (cs_list_cursor_is_begun (&versions->cursor))
    return;
  versions->read_at = now;
  versions->list_era = versions->router->store_era;
  versions->list_has_versions = false;
  versions->list_has_own = false;
  versions->list_was_several = cs_stream_versions_are_several (versions, now);
  versions->removable_count = 0;
  versions->known_at = 0;
  versions->known_is_partial = false;
  cs_stream_table_clear (versions->known);
}

static void
make_call (cs_stream_versions_t *versions, cs_stream_call_t call,
           cs_time_us_t now)
{
  const char *method = "GET";
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  int rc = CS_OK;
  switch (call)
    {
    case CS_STREAM_CALL_READ:
      begin_list (versions, now);
      rc = cs_store_list_path (
          CS_STORE_STREAMS, cs_list_cursor_after (&versions->cursor), &path);
      break;
    case CS_STREAM_CALL_WRITE_VERSIONS:
      versions->stored_is_current = false;
      rc = build_versions (versions, &method, &path, &body, now);
      break;
    case CS_STREAM_CALL_SAVE:
      cs_stream_object_check_era (versions, now);
      versions->saved_at = now;
      versions->save_due = false;
      versions->saving_number = versions->last_number;
      cs_mesh_streams_saving (versions->router->mesh);
      rc = cs_stream_object_save (versions, &method, &path, &body, now);
      break;
    case CS_STREAM_CALL_REMOVE:
      method = "DELETE";
      rc = build_removal (versions, &path);
      break;
    case CS_STREAM_CALL_CHECK:
      rc = cs_stream_check_path (versions, &path, now);
      break;
    case CS_STREAM_CALL_NONE:
      break;
    }
  if (rc == 0)
    {
      versions->call = call;
      cs_store_client_call (
          versions->client, method, cs_buf_str (&path), cs_buf_str (&body),
          versions->router->settings.call_timeout_ms * CS_US_PER_MS);
    }
  cs_buf_free (&path);
  cs_buf_free (&body);
}

/* Returns the call that comes next, and when it is due in *AT; 0: it waits for
   a change.  */
static cs_stream_call_t
next_call (const cs_stream_versions_t *versions, cs_time_us_t now,
           cs_time_us_t *at)
{
  cs_time_us_t save_at = versions->saved_at + CS_STREAM_SAVE_INTERVAL_US;
  cs_time_us_t list_at = cs_stream_read_due (versions, now);
  bool is_current = versions->is_read && versions->stored_is_current;
  bool is_unsure = cs_stream_object_is_unsure (versions);
  bool is_over = versions->is_saved && !versions->save_due
                 && !cs_stream_versions_are_several (versions, now);
  *at = now;
  if (cs_list_cursor_is_begun (&versions->cursor))
    return CS_STREAM_CALL_READ;
  if (cs_list_cursor_is_begun (&versions->check_cursor)
      || cs_stream_check_is_due (versions, now))
    return CS_STREAM_CALL_CHECK;
  if (versions->versions_due)
    return is_current ? CS_STREAM_CALL_WRITE_VERSIONS : CS_STREAM_CALL_READ;
  if (versions->save_due && !is_unsure && now >= save_at)
    return CS_STREAM_CALL_SAVE;
  if (list_at == 0
      && (versions->list_wanted
          || (is_unsure && (versions->save_due || is_over))))
    list_at = now;
  if (list_at != 0 && list_at < versions->read_at + LIST_PAUSE_US)
    list_at = versions->read_at + LIST_PAUSE_US;
  if (list_at != 0 && now >= list_at)
    return CS_STREAM_CALL_READ;
  if (versions->removable_count > 0 || (is_over && !is_unsure))
    return CS_STREAM_CALL_REMOVE;
  *at = versions->save_due && !is_unsure ? save_at : 0;
  if (versions->pass_at != 0 && (*at == 0 || versions->pass_at < *at))
    *at = versions->pass_at;
  if (list_at != 0 && (*at == 0 || list_at < *at))
    *at = list_at;
  return CS_STREAM_CALL_NONE;
}

void
cs_stream_calls_start (void *context, cs_time_us_t now)
{
  cs_stream_versions_t *versions = context;
  cs_time_us_t at;
  if (versions->pass_at != 0 && now >= versions->pass_at
      && !cs_stream_pass (versions, now))
    versions->save_due = true;
  if (versions->call != CS_STREAM_CALL_NONE)
    {
      if (versions->pass_at != 0)
        cs_timer_set (&versions->timer, versions->pass_at - now);
      return;
    }
  cs_stream_call_t call = next_call (versions, now, &at);
  if (at != 0 && at < versions->retry_at)
    {
      at = versions->retry_at;
      call = now < at ? CS_STREAM_CALL_NONE : call;
    }
  if (call != CS_STREAM_CALL_NONE)
    make_call (versions, call, now);
  else if (at != 0)
    cs_timer_set (&versions->timer, at - now);
}

typedef struct
{
  cs_stream_versions_t *versions;
  cs_time_us_t now;
} reader_t;

static void
add_known (void *context, uint64_t stream, uint64_t version)
{
  const reader_t *reader = context;
  cs_stream_record_t record = { .stream = stream,
                                .version = version,
                                .until = reader->now + CS_STREAM_LIFE_US };
  if (cs_stream_table_merge (reader->versions->known, &record, reader->now)
      != 0)
    {
      reader->versions->router->counters.streams_not_recorded++;
      reader->versions->known_is_partial = true;
    }
}

static void
read_versions (cs_stream_versions_t *versions, const cs_store_object_t *object,
               cs_time_us_t now)
{
  versions->stored_count = cs_store_read_versions (object, versions->stored,
                                                   CS_VERSION_HISTORY_MAX);
  if (versions->stored_count == CS_VERSION_HISTORY_MAX)
    versions->history.forgot_at = now;
  versions->stored_revision = object->revision.number;
  versions->list_has_versions = true;
  cs_stream_versions_merge (versions, now);
}

static void
add_removable (cs_stream_versions_t *versions, const cs_store_object_t *object)
{
  if (versions->removable_count == CS_STREAM_REMOVABLE_MAX
      || !cs_mesh_is_first_hub (versions->router->mesh))
    return;
  cs_removable_t *removable = &versions->removable[versions->removable_count];
  if (!cs_name_set (&removable->name, object->name))
    return;
  removable->revision = object->revision.number;
  versions->removable_count++;
}

static void
read_streams (cs_stream_versions_t *versions, const cs_store_object_t *object,
              cs_time_us_t now)
{
  reader_t reader = { versions, now };
  if (cs_str_equal (object->name, cs_name_str (&versions->name)))
    {
      versions->list_has_own = true;
      versions->own_revision = object->revision.number;
      return;
    }
  bool is_partial;
  uint64_t until_ms
      = cs_store_read_streams (object, add_known, &reader, &is_partial);
  if (is_partial)
    versions->known_is_partial = true;
  /* Clocks of routers may differ by less than the life of a stream.  */
  if (until_ms != 0
      && until_ms + CS_STREAM_LIFE_US / CS_US_PER_MS < cs_clock_wall_ms ())
    add_removable (versions, object);
}

static void
end_list (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (!versions->list_has_versions)
    {
      versions->stored_count = 0;
      versions->stored_revision = 0;
    }
  versions->is_saved = versions->list_has_own;
  versions->is_read = true;
  if (versions->read_era != 0 && versions->read_era != versions->list_era)
    versions->reread_at = now + LATE_WRITE_US;
  versions->read_era = versions->list_era;
  versions->stored_is_current = true;
  versions->list_wanted = false;
  /* What differs is found at the next update.  */
  versions->versions_due = false;
  if (!cs_stream_versions_are_several (versions, now))
    cs_stream_versions_saved (versions, versions->last_number, now);
  else if (!versions->is_saved || !versions->list_was_several)
    cs_stream_request_save (versions, now);
  versions->known_at = versions->read_at;
  cs_stream_lookups_after_list (versions, versions->read_at, now);
}

/* Reads a page of the list.  Returns whether it is valid.  */
static bool
read_page (cs_stream_versions_t *versions, const cs_store_response_t *response,
           cs_time_us_t now)
{
  cs_store_page_t page;
  cs_store_object_t object;
  if (response->status == STATUS_NOT_FOUND)
    {
      cs_list_cursor_reset (&versions->cursor);
      end_list (versions, now);
      return true;
    }
  if (cs_store_read_list (response->body, response->era, &page) != 0)
    {
      cs_list_cursor_reset (&versions->cursor);
      return false;
    }
  cs_list_cursor_begin_page (&versions->cursor);
  while (cs_store_next_object (&page, &object))
    {
      cs_list_cursor_pass (&versions->cursor, object.name);
      if (cs_store_is_versions (&object))
        read_versions (versions, &object, now);
      else
        read_streams (versions, &object, now);
    }
  cs_store_page_release (&page);
  if (page.truncated && cs_list_cursor_has_moved (&versions->cursor))
    return true;
  cs_list_cursor_reset (&versions->cursor);
  if (!page.truncated)
    end_list (versions, now);
  return !page.truncated;
}

/* The object that was written, if it was, is read before the next write: its
   revision is not known.  */
static bool
on_versions_written (cs_stream_versions_t *versions, int status)
{
  if (!cs_http_is_success (status))
    versions->stored_count = 0;
  return cs_http_is_success (status) || status == STATUS_CONFLICT;
}

static bool
on_removed (cs_stream_versions_t *versions,
            const cs_store_response_t *response)
{
  int status = response->status;
  if (versions->removable_count == 0)
    return cs_stream_object_removed (versions, response);
  versions->removable_count--;
  return cs_http_is_success (status) || status == STATUS_NOT_FOUND
         || status == STATUS_CONFLICT;
}

/* Returns whether the call succeeded, or shows what to do instead.  */
static bool
read_response (cs_stream_versions_t *versions, cs_stream_call_t call,
               const cs_store_response_t *response, cs_time_us_t now)
{
  switch (call)
    {
    case CS_STREAM_CALL_READ:
      return read_page (versions, response, now);
    case CS_STREAM_CALL_WRITE_VERSIONS:
      return on_versions_written (versions, response->status);
    case CS_STREAM_CALL_SAVE:
      return cs_stream_object_saved (versions, response, now);
    case CS_STREAM_CALL_REMOVE:
      return on_removed (versions, response);
    case CS_STREAM_CALL_CHECK:
      return cs_stream_check_read (versions, response, now);
    case CS_STREAM_CALL_NONE:
      break;
    }
  return true;
}

void
cs_stream_calls_on_response (void *context,
                             const cs_store_response_t *response)
{
  cs_stream_versions_t *versions = context;
  cs_router_t *router = versions->router;
  cs_time_us_t now = cs_loop_now (router->loop);
  cs_stream_call_t call = versions->call;
  versions->call = CS_STREAM_CALL_NONE;
  if (read_response (versions, call, response, now))
    versions->failures = 0;
  else
    {
      uint32_t doublings = versions->failures < MAX_BACKOFF_DOUBLINGS
                               ? versions->failures
                               : MAX_BACKOFF_DOUBLINGS;
      double backoff_ms = (MIN_BACKOFF_MS << doublings)
                          * (0.5 + cs_random_unit (&router->random));
      versions->failures++;
      versions->retry_at = now + (cs_time_us_t)(backoff_ms * CS_US_PER_MS);
    }
  /* Not called from within the handler of a response.  */
  cs_timer_set (&versions->timer, 0);
}
