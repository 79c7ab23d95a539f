#include "router/store/blocked_change.h"

#include "http/head.h"
#include "platform/store.h"

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

static bool
needs_entry (const cs_blocked_change_t *change)
{
  return change->exists || change->kind == CS_BLOCKED_REMOVE;
}

bool
cs_blocked_change_creates (const cs_blocked_change_t *change)
{
  return !needs_entry (change);
}

static int
write_entry (const cs_blocked_change_t *change, cs_buf_t *body,
             cs_time_us_t now)
{
  uint64_t wall_ms = cs_clock_wall_ms ();
  cs_store_blocked_part_t entry = { .part = change->part };
  if (change->kind == CS_BLOCKED_END)
    entry.ended_ms = wall_ms;
  else
    entry.blocked_ms = wall_ms - (now - change->blocked_at) / CS_US_PER_MS;
  return cs_store_write_blocked_part (&entry, body);
}

int
cs_blocked_change_call (cs_blocked_change_t *change, const char **method,
                        cs_buf_t *path, cs_buf_t *body, cs_time_us_t now)
{
  bool removes = change->kind == CS_BLOCKED_REMOVE;
  change->reads = needs_entry (change) && change->revision == 0;
  *method = change->reads    ? "GET"
            : removes        ? "DELETE"
            : change->exists ? "PUT"
                             : "POST";
  int rc = cs_store_blocked_part_path (
      needs_entry (change) ? &change->part : NULL, change->revision, path);
  if (rc != 0 || change->reads || removes)
    return rc;
  return write_entry (change, body, now);
}

/* There is an entry, which RESPONSE holds.  */
static cs_blocked_step_t
read_entry (cs_blocked_change_t *change, const cs_store_response_t *response)
{
  bool is_ended = cs_store_written_part_has_ended (response->body);
  uint64_t revision = cs_store_read_written (response->body);
  bool is_known = revision != 0 && revision != change->revision;
  if (change->kind == CS_BLOCKED_SAVE && !change->exists && !is_ended)
    return CS_BLOCKED_DONE;
  change->exists = true;
  change->revision = is_known ? revision : 0;
  return is_known || !change->reads ? CS_BLOCKED_NEXT : CS_BLOCKED_FAILED;
}

cs_blocked_step_t
cs_blocked_change_answered (cs_blocked_change_t *change,
                            const cs_store_response_t *response)
{
  int status = response->status;
  if (status == STATUS_CONFLICT
      || (change->reads && cs_http_is_success (status)))
    return read_entry (change, response);
  if (status == STATUS_NOT_FOUND && needs_entry (change))
    {
      change->exists = false;
      change->revision = 0;
      return change->kind == CS_BLOCKED_REMOVE ? CS_BLOCKED_DONE
                                               : CS_BLOCKED_NEXT;
    }
  return cs_http_is_success (status) ? CS_BLOCKED_DONE : CS_BLOCKED_FAILED;
}
