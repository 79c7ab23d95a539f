#include "router/blocked_parts.h"

#include <stdlib.h>

#include "http/head.h"
#include "platform/store.h"
#include "router/list_cursor.h"
#include "router/mesh.h"
#include "router/quarantine.h"
#include "router/store/blocked_change.h"

/* Exponential backoff of a call that failed, with jitter.  After an outage of
   the store all routers may be lost within seconds.  */
#define MIN_BACKOFF_MS 500
#define MAX_BACKOFF_DOUBLINGS 2
/* A change that the store refuses more often is left to the peers.  */
#define MAX_REFUSALS 8
/* Changes that wait to be written; more are left to the peers.  */
#define MAX_CHANGES 256

/* A router that starts takes itself for a hub until it has reached others.  */
#define HUB_SETTLE_US (1 * CS_US_PER_S)

/* A write without a response is executed within this time, or never.  */
#define LATE_WRITE_US (10 * CS_US_PER_S)
/* An entry that has ended is kept for longer, as clocks differ.  */
#define KEEP_ENDED_MS (60 * 1000)
/* Parts whose creation got no response; more are not looked after.  */
#define MAX_UNANSWERED 16

#define STATUS_NOT_FOUND 404
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_SERVER_ERROR 500

/* A part whose entry may still be created by a call without a response.  */
typedef struct
{
  uint64_t part;
  cs_time_us_t until;
  bool has_ended; /* an entry that says so is written */
} unanswered_t;

struct cs_blocked_parts
{
  cs_router_t *router;
  cs_store_client_t *client;
  cs_timer_t timer;
  bool is_read;        /* a whole list, which may have been old */
  bool is_read_as_hub; /* one that was not old */
  bool is_hub;         /* and will stay one, as far as is known */
  cs_time_us_t hub_since;
  bool lists;       /* the call in flight, or the latest one, is for a list */
  bool list_is_old; /* it may be */
  bool call_in_flight;
  uint32_t failures;  /* consecutive */
  uint32_t refusals;  /* of the change that is being written */
  bool has_saved_all; /* as a hub, in SAVED_ERA of the store */
  uint64_t saved_era;
  cs_list_cursor_t cursor; /* of the list in progress */
  cs_blocked_change_t
      changes[MAX_CHANGES]; /* the first one is being written */
  size_t change_count;
  unanswered_t unanswered[MAX_UNANSWERED];
  size_t unanswered_count;
};

static void
remove_first_change (cs_blocked_parts_t *parts)
{
  parts->refusals = 0;
  parts->change_count--;
  for (size_t i = 0; i < parts->change_count; i++)
    parts->changes[i] = parts->changes[i + 1];
}

/* Drops the first changes if they save parts that an answer has cleared.  */
static void
drop_cleared (cs_blocked_parts_t *parts, cs_time_us_t now)
{
  while (parts->change_count > 0 && parts->changes[0].kind < CS_BLOCKED_END
         && !cs_quarantine_is_blocked (parts->router->quarantine,
                                       parts->changes[0].part, now))
    remove_first_change (parts);
}

/* A list that may be old could lack what was saved just before all routers
   were lost.  Hubs read one that isn't, and tell their members.  */
static bool
needs_list (const cs_blocked_parts_t *parts)
{
  return !parts->is_read || (parts->is_hub && !parts->is_read_as_hub);
}

static int
build_list (cs_blocked_parts_t *parts, cs_buf_t *path)
{
  cs_str_t after = cs_list_cursor_after (&parts->cursor);
  if (after.len == 0)
    parts->list_is_old = !parts->is_hub;
  return parts->list_is_old
             ? cs_store_stale_list_path (CS_STORE_BLOCKED_PARTS, after, path)
             : cs_store_list_path (CS_STORE_BLOCKED_PARTS, after, path);
}

/* Makes the next call that is due, if none is in flight.  */
static void
start_call (void *context, cs_time_us_t now)
{
  cs_blocked_parts_t *parts = context;
  const char *method = "GET";
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  int rc;
  if (parts->call_in_flight)
    return;
  drop_cleared (parts, now);
  parts->lists = needs_list (parts);
  if (!parts->lists && parts->change_count == 0)
    return;
  if (parts->lists)
    rc = build_list (parts, &path);
  else
    rc = cs_blocked_change_call (&parts->changes[0], &method, &path, &body,
                                 now);
  if (rc == 0)
    {
      parts->call_in_flight = true;
      cs_store_client_call (
          parts->client, method, cs_buf_str (&path), cs_buf_str (&body),
          parts->router->settings.call_timeout_ms * CS_US_PER_MS);
    }
  else
    cs_timer_set (&parts->timer, MIN_BACKOFF_MS * CS_US_PER_MS);
  cs_buf_free (&path);
  cs_buf_free (&body);
}

static void
add_change (cs_blocked_parts_t *parts, const cs_blocked_change_t *change)
{
  if (parts->change_count == MAX_CHANGES)
    return;
  parts->changes[parts->change_count++] = *change;
  /* Not called from within the handler of another response.  */
  if (!parts->call_in_flight)
    cs_timer_set (&parts->timer, 0);
}

static void
read_entry (cs_blocked_parts_t *parts, const cs_store_object_t *object,
            cs_time_us_t now)
{
  cs_store_blocked_part_t entry;
  cs_quarantine_policy_t policy = cs_quarantine_policy_default ();
  uint64_t wall_ms = cs_clock_wall_ms ();
  cs_time_us_t age = 0;
  if (cs_store_read_blocked_part (object, &entry) != 0)
    return;
  if (entry.blocked_ms < wall_ms)
    age = (wall_ms - entry.blocked_ms) * CS_US_PER_MS;
  cs_part_time_t blocked = { entry.part, age < now ? now - age : 0 };
  if (entry.ended_ms + KEEP_ENDED_MS > wall_ms)
    return;
  if (age >= policy.block_us)
    add_change (parts,
                &(cs_blocked_change_t){ .kind = CS_BLOCKED_REMOVE,
                                        .part = entry.part,
                                        .revision = object->revision.number });
  else
    cs_router_block_read (parts->router, &blocked, now);
}

/* Reads a page of the list; returns whether it was the last one.  */
static bool
read_page (cs_blocked_parts_t *parts, const cs_store_response_t *response,
           cs_time_us_t now)
{
  cs_store_page_t page;
  cs_store_object_t object;
  if (cs_store_read_list (response->body, response->era, &page) != 0)
    return response->status == STATUS_NOT_FOUND;
  bool is_last = !page.truncated || page.count == 0;
  cs_list_cursor_begin_page (&parts->cursor);
  while (cs_store_next_object (&page, &object))
    {
      read_entry (parts, &object, now);
      cs_list_cursor_pass (&parts->cursor, object.name);
    }
  cs_store_page_release (&page);
  return is_last;
}

/* Returns whether the next call need not wait.  */
static bool
on_listed (cs_blocked_parts_t *parts, const cs_store_response_t *response)
{
  if (!read_page (parts, response, cs_loop_now (parts->router->loop)))
    return cs_http_is_success (response->status)
           && cs_list_cursor_has_moved (&parts->cursor);
  cs_list_cursor_reset (&parts->cursor);
  parts->is_read = true;
  parts->is_read_as_hub = !parts->list_is_old;
  return true;
}

/* Whether the call failed for a reason that has nothing to do with the change.
 */
static bool
is_outage (int status)
{
  return status == 0 || status == STATUS_TOO_MANY_REQUESTS
         || status >= STATUS_SERVER_ERROR;
}

/* CHANGE was to create an entry, and may still do so.  */
static void
add_unanswered (cs_blocked_parts_t *parts, const cs_blocked_change_t *change)
{
  unanswered_t *entry = parts->unanswered;
  unanswered_t *end = entry + parts->unanswered_count;
  while (entry < end && entry->part != change->part)
    entry++;
  if (entry == &parts->unanswered[MAX_UNANSWERED])
    return;
  if (entry == end)
    parts->unanswered_count++;
  *entry = (unanswered_t){
    .part = change->part,
    .until = cs_loop_now (parts->router->loop) + LATE_WRITE_US,
  };
}

/* Keeps the entries of parts that are no longer blocked from being created
   late.  */
static void
update_unanswered (cs_blocked_parts_t *parts, cs_time_us_t now)
{
  size_t i = 0;
  while (i < parts->unanswered_count)
    {
      unanswered_t *entry = &parts->unanswered[i];
      cs_blocked_change_t change
          = { .kind = CS_BLOCKED_END, .part = entry->part };
      bool is_blocked = cs_quarantine_is_blocked (parts->router->quarantine,
                                                  entry->part, now);
      bool is_over = now >= entry->until;
      if (is_over)
        change.kind = CS_BLOCKED_REMOVE;
      if (!is_blocked && entry->has_ended == is_over)
        {
          add_change (parts, &change);
          entry->has_ended = true;
        }
      if (is_over)
        *entry = parts->unanswered[--parts->unanswered_count];
      else
        i++;
    }
}

/* Returns whether the next call need not wait.  */
static bool
on_written (cs_blocked_parts_t *parts, const cs_store_response_t *response)
{
  cs_blocked_change_t *change = &parts->changes[0];
  if (response->status == 0 && cs_blocked_change_creates (change))
    add_unanswered (parts, change);
  cs_blocked_step_t step = cs_blocked_change_answered (change, response);
  if (step == CS_BLOCKED_DONE)
    remove_first_change (parts);
  else if (!is_outage (response->status) && ++parts->refusals > MAX_REFUSALS)
    remove_first_change (parts);
  return step != CS_BLOCKED_FAILED;
}

static double
pause_ms (cs_blocked_parts_t *parts)
{
  uint32_t doublings = parts->failures < MAX_BACKOFF_DOUBLINGS
                           ? parts->failures
                           : MAX_BACKOFF_DOUBLINGS;
  if (parts->failures == 0)
    return 1;
  return (MIN_BACKOFF_MS << doublings)
         * (0.5 + cs_random_unit (&parts->router->random));
}

static void
on_response (void *context, const cs_store_response_t *response)
{
  cs_blocked_parts_t *parts = context;
  bool is_ok;
  parts->call_in_flight = false;
  if (parts->lists)
    is_ok = on_listed (parts, response);
  else
    is_ok = on_written (parts, response);
  parts->failures = is_ok ? 0 : parts->failures + 1;
  if (needs_list (parts) || parts->change_count > 0)
    cs_timer_set (&parts->timer,
                  (cs_time_us_t)(pause_ms (parts) * CS_US_PER_MS));
}

cs_blocked_parts_t *
cs_blocked_parts_create (cs_router_t *router)
{
  cs_blocked_parts_t *parts = calloc (1, sizeof *parts);
  if (parts == NULL)
    return NULL;
  parts->router = router;
  parts->hub_since = cs_loop_now (router->loop);
  cs_timer_init (&parts->timer, router->loop, start_call, parts);
  parts->client = cs_store_client_create (router, on_response, parts);
  if (parts->client == NULL)
    {
      free (parts);
      return NULL;
    }
  start_call (parts, cs_loop_now (router->loop));
  return parts;
}

void
cs_blocked_parts_destroy (cs_blocked_parts_t *parts)
{
  if (parts == NULL)
    return;
  cs_timer_clear (&parts->timer);
  cs_store_client_destroy (parts->client);
  cs_list_cursor_free (&parts->cursor);
  free (parts);
}

void
cs_blocked_parts_save (cs_blocked_parts_t *parts,
                       const cs_part_time_t *blocked, bool is_own)
{
  if (parts != NULL)
    add_change (parts, &(cs_blocked_change_t){
                           .kind = is_own ? CS_BLOCKED_RENEW : CS_BLOCKED_SAVE,
                           .part = blocked->part,
                           .blocked_at = blocked->at });
}

void
cs_blocked_parts_remove (cs_blocked_parts_t *parts, uint64_t part)
{
  if (parts != NULL)
    add_change (parts, &(cs_blocked_change_t){ .kind = CS_BLOCKED_REMOVE,
                                               .part = part });
}

void
cs_blocked_parts_update (cs_blocked_parts_t *parts, cs_time_us_t now)
{
  cs_router_t *router = parts->router;
  cs_part_time_t blocked[CS_QUARANTINE_SUSPECTS];
  bool was_hub = parts->is_hub;
  if (!cs_mesh_is_hub (router->mesh))
    parts->hub_since = now;
  parts->is_hub = cs_mesh_is_preferred_hub (router->mesh)
                  || now > parts->hub_since + HUB_SETTLE_US;
  if (parts->is_hub && !was_hub && !parts->call_in_flight)
    cs_timer_set (&parts->timer, 0);
  update_unanswered (parts, now);
  if (!parts->is_hub || parts->saved_era != router->store_era)
    parts->has_saved_all = false;
  if (!parts->is_hub || !parts->is_read_as_hub || parts->has_saved_all)
    return;
  size_t count = cs_quarantine_list_blocked (router->quarantine, now, blocked);
  for (size_t i = 0; i < count; i++)
    cs_blocked_parts_save (parts, &blocked[i], false);
  parts->has_saved_all = true;
  parts->saved_era = router->store_era;
}
