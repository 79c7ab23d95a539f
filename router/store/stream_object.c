/* This router's object with the versions of streams.

   A write without a response may be executed seconds later, so each write and
   the removal require the revision that the object had before.  A later one
   that succeeds makes those before it fail.  After the store was restored its
   revisions are given out again, so the object then gets another name.  */

#include "common/hash.h"
#include "common/log.h"
#include "http/head.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

int
cs_stream_object_name (cs_stream_versions_t *versions)
{
  cs_buf_t name = { 0 };
  int rc = cs_buf_printf (
      &name, "router-%016llx",
      (unsigned long long)cs_hash (cs_str (versions->router->settings.name),
                                   cs_clock_wall_ms ()));
  if (rc == 0)
    cs_name_set (&versions->name, cs_buf_str (&name));
  cs_buf_free (&name);
  return rc;
}

void
cs_stream_object_check_era (cs_stream_versions_t *versions, cs_time_us_t now)
{
  uint64_t era = versions->router->store_era;
  if (versions->own_era == era || cs_stream_object_name (versions) != 0)
    return;
  versions->own_era = era;
  versions->save_due = versions->save_due
                       || (versions->is_saved
                           && cs_stream_versions_are_several (versions, now));
  versions->is_saved = false;
  versions->own_revision = 0;
}

bool
cs_stream_object_is_unsure (const cs_stream_versions_t *versions)
{
  return versions->is_saved && versions->own_revision == 0;
}

int
cs_stream_object_save (const cs_stream_versions_t *versions,
                       const char **method, cs_buf_t *path, cs_buf_t *body,
                       cs_time_us_t now)
{
  cs_str_t name = cs_name_str (&versions->name);
  uint64_t until_ms = cs_clock_wall_ms () + CS_STREAM_LIFE_US / CS_US_PER_MS;
  int rc;
  *method = versions->is_saved ? "PUT" : "POST";
  if (versions->is_saved)
    rc = cs_store_object_at_path (CS_STORE_STREAMS, name,
                                  versions->own_revision, path);
  else
    rc = cs_store_object_path (CS_STORE_STREAMS, (cs_str_t){ "", 0 }, path);
  return rc != 0 ? rc
                 : cs_store_write_streams (name, versions->own, until_ms,
                                           now < versions->lost_until, body);
}

int
cs_stream_object_removal_path (const cs_stream_versions_t *versions,
                               cs_buf_t *path)
{
  return cs_store_object_at_path (CS_STORE_STREAMS,
                                  cs_name_str (&versions->name),
                                  versions->own_revision, path);
}

/* Records what RESPONSE tells of the object.  Returns whether it does.  */
static bool
read_response (cs_stream_versions_t *versions,
               const cs_store_response_t *response)
{
  if (response->status == STATUS_NOT_FOUND)
    versions->is_saved = false;
  else if (response->status == STATUS_CONFLICT)
    {
      versions->is_saved = true;
      versions->own_revision = cs_store_read_written (response->body);
      cs_log (CS_EV_STORE_CONFLICT, "kind=%s name=%s revision=%llu",
              cs_store_kind_name (CS_STORE_STREAMS), versions->name.text,
              (unsigned long long)versions->own_revision);
    }
  else
    return false;
  return true;
}

bool
cs_stream_object_saved (cs_stream_versions_t *versions,
                        const cs_store_response_t *response, cs_time_us_t now)
{
  if (!cs_http_is_success (response->status))
    {
      versions->save_due = true;
      return read_response (versions, response);
    }
  versions->is_saved = true;
  versions->own_revision = cs_store_read_written (response->body);
  cs_mesh_streams_saved (versions->router->mesh);
  cs_stream_versions_saved (versions, versions->saving_number, now);
  return true;
}

bool
cs_stream_object_removed (cs_stream_versions_t *versions,
                          const cs_store_response_t *response)
{
  if (!cs_http_is_success (response->status))
    return read_response (versions, response);
  versions->is_saved = false;
  return true;
}
