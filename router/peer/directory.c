/* Router entries in the platform's store.  Each router creates and renews its
   own entry; first hubs delete the entries of routers that have stopped
   renewing them.  */

#include <stdlib.h>

#include "common/log.h"
#include "http/head.h"
#include "platform/store.h"
#include "router/list_cursor.h"
#include "router/peer/entry_calls.h"
#include "router/peer/internal.h"
#include "router/store_client.h"

/* Delays before the lists after the first one.  When a whole fleet starts, all
   entries appear within seconds.  */
static const uint32_t initial_delays_ms[] = { 700, 1500, 4000 };
#define INITIAL_DELAYS (sizeof initial_delays_ms / sizeof initial_delays_ms[0])

/* Complete lists read until cs_directory_is_complete.  */
#define LISTS_UNTIL_COMPLETE 2

/* Lists that may be old are older than this only while the store is in
   trouble.  */
#define MAX_LIST_AGE_US (5 * CS_US_PER_S)

/* Random fraction of the renewal interval, so that routers that start together
   don't renew together.  */
#define RENEW_JITTER 0.25

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

typedef enum
{
  STEP_LIST,
  STEP_CREATE,
  STEP_REPLACE, /* renews the entry, or takes over one from an earlier start */
  STEP_REMOVE,  /* deletes the expired entry of another router */
  STEP_WITHDRAW, /* deletes this router's entry */
  STEP_DONE
} step_t;

struct cs_directory
{
  cs_mesh_t *mesh;
  cs_store_client_t *client;
  cs_timer_t timer;
  step_t step;
  bool leaving;
  bool call_in_flight;
  size_t delays_used;
  bool has_answered;       /* the first list was read or failed */
  bool has_list;           /* a list was read */
  size_t lists_read;       /* complete lists; the first one if it counts */
  cs_list_cursor_t cursor; /* of the list in progress */
  bool had_entry;          /* of an earlier start of this router */
  bool was_missing;        /* the last renewal found no entry */
  bool was_changed;        /* the last removal found another revision */
  uint32_t renewals;
  cs_time_us_t written_at; /* when the own entry was last written */
  uint64_t own_revision;   /* of the own entry; 0: not known */
  bool own_is_listed;      /* in the latest list */
  cs_time_us_t renew_at;
  cs_member_t expired; /* member whose entry is being deleted */
};

static void
start_call (void *context, cs_time_us_t now)
{
  cs_directory_t *directory = context;
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  if (directory->call_in_flight || directory->step == STEP_DONE)
    return;
  if (directory->leaving)
    directory->step = STEP_WITHDRAW;
  else if (directory->step == STEP_LIST && directory->written_at != 0
           && now >= directory->renew_at)
    directory->step = STEP_REPLACE;
  directory->call_in_flight = true;
  switch (directory->step)
    {
    case STEP_CREATE:
      cs_entry_create (settings, directory->client, directory->renewals);
      return;
    case STEP_REPLACE:
      cs_entry_renew (settings, directory->client, directory->renewals);
      return;
    case STEP_LIST:
      cs_entry_list (settings, directory->client,
                     cs_list_cursor_after (&directory->cursor));
      return;
    case STEP_REMOVE:
      cs_entry_remove (settings, directory->client,
                       cs_name_str (&directory->expired.name),
                       directory->expired.renewal.revision.number);
      return;
    case STEP_WITHDRAW:
      cs_entry_remove (settings, directory->client, cs_str (settings->name),
                       directory->own_revision);
      return;
    case STEP_DONE:
      return;
    }
}

/* Reads one page of the list; returns whether there is another one.  A page
   that doesn't bring the list forward ends it.  */
static bool
read_page (cs_directory_t *directory, const cs_store_response_t *response)
{
  cs_store_page_t page;
  cs_store_object_t object;
  cs_router_entry_t entry;
  cs_str_t own_name = cs_str (directory->mesh->router->settings.name);
  bool is_first_page = !cs_list_cursor_is_begun (&directory->cursor);
  if (cs_store_read_list (response->body, response->era, &page) != 0)
    {
      cs_list_cursor_reset (&directory->cursor);
      return false;
    }
  if (is_first_page)
    {
      cs_mesh_list_begin (directory->mesh);
      directory->own_is_listed = false;
    }
  cs_list_cursor_begin_page (&directory->cursor);
  while (cs_store_next_object (&page, &object))
    {
      cs_list_cursor_pass (&directory->cursor, object.name);
      int rc = cs_store_read_router (&object, &entry);
      if (rc == CS_ERR_TOO_LARGE)
        directory->mesh->router->counters.names_too_long++;
      if (rc != 0)
        continue;
      if (cs_str_equal (entry.name, own_name))
        {
          directory->own_is_listed = true;
          if (directory->own_revision == 0)
            directory->own_revision = object.revision.number;
        }
      cs_mesh_list_entry (directory->mesh, &entry, object.revision);
    }
  cs_store_page_release (&page);
  if (page.truncated && cs_list_cursor_has_moved (&directory->cursor))
    return true;
  cs_list_cursor_reset (&directory->cursor);
  cs_mesh_list_end (directory->mesh);
  return false;
}

static void
count_list (cs_directory_t *directory)
{
  directory->lists_read++;
  directory->mesh->router->counters.directory_lists++;
}

/* Called when the first list has been read, before this router has written its
   entry.  If the entry of an earlier start is there, so are those of the other
   routers; otherwise the whole fleet may be starting.  */
static void
on_first_list_read (cs_directory_t *directory)
{
  if (directory->own_is_listed)
    count_list (directory);
  directory->had_entry = directory->own_is_listed;
  directory->step = directory->own_is_listed ? STEP_REPLACE : STEP_CREATE;
  cs_mesh_update_links (directory->mesh,
                        cs_loop_now (directory->mesh->router->loop));
}

/* Called when a later list has been read completely.  A first hub deletes at
   most one expired entry per list, which limits the number of calls.  */
static void
on_list_read (cs_directory_t *directory)
{
  const cs_member_t *expired = NULL;
  cs_time_us_t now = cs_loop_now (directory->mesh->router->loop);
  count_list (directory);
  cs_mesh_update_links (directory->mesh, now);
  if (!directory->own_is_listed
      && now - directory->written_at > MAX_LIST_AGE_US)
    {
      directory->step = STEP_CREATE;
      return;
    }
  if (directory->mesh->role.is_first)
    expired = cs_mesh_find_expired_member (directory->mesh);
  if (expired == NULL)
    return;
  directory->expired = *expired;
  directory->step = STEP_REMOVE;
}

static void
on_entry_written (cs_directory_t *directory,
                  const cs_store_response_t *response)
{
  cs_router_t *router = directory->mesh->router;
  double pause_s = router->settings.renew_s
                   * (1 - RENEW_JITTER * cs_random_unit (&router->random));
  directory->written_at = cs_loop_now (router->loop);
  directory->renew_at
      = directory->written_at + (cs_time_us_t)(pause_s * CS_US_PER_S);
  directory->own_revision = cs_store_read_written (response->body);
  directory->renewals++;
  directory->was_missing = false;
  directory->step = STEP_LIST;
}

/* The store deletes the entry only if its revision is unchanged; otherwise the
   next list shows its current state.  */
static void
on_remove_response (cs_directory_t *directory, int status)
{
  const cs_member_t *expired = &directory->expired;
  directory->step = STEP_LIST;
  if (!cs_http_is_success (status) && status != STATUS_NOT_FOUND)
    return;
  cs_log (CS_EV_PEER_EXPIRED, "peer=%016llx name=%s revision=%llu looks=%u",
          (unsigned long long)expired->id, expired->name.text,
          (unsigned long long)expired->renewal.revision.number,
          expired->renewal.unchanged_reads);
  cs_mesh_remove_member (directory->mesh, expired->id);
}

static void
set_timer (cs_directory_t *directory)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  size_t used = directory->delays_used++;
  cs_timer_set (&directory->timer, used < INITIAL_DELAYS
                                       ? initial_delays_ms[used] * CS_US_PER_MS
                                       : settings->directory_s * CS_US_PER_S);
}

/* Handles the response to the current step's call and selects the next step.
   Returns whether that step starts immediately.  */
static bool
handle_response (cs_directory_t *directory,
                 const cs_store_response_t *response)
{
  int status = response->status;
  switch (directory->step)
    {
    case STEP_CREATE:
      if (status == STATUS_CONFLICT)
        directory->step = STEP_REPLACE;
      if (cs_http_is_success (status))
        on_entry_written (directory, response);
      /* If the store reports the entry both as missing and as existing, wait
         for the timer instead of retrying in a tight loop.  */
      return status == STATUS_CONFLICT && !directory->was_missing;
    case STEP_REPLACE:
      directory->was_missing = status == STATUS_NOT_FOUND;
      if (directory->was_missing)
        directory->step = STEP_CREATE;
      if (cs_http_is_success (status))
        on_entry_written (directory, response);
      /* A renewal that ran instead of a scheduled list is followed by that
         list immediately.  The second list waits for its initial delay.  */
      return directory->was_missing
             || (cs_http_is_success (status) && directory->delays_used > 0);
    case STEP_LIST:
      if (read_page (directory, response))
        return true;
      directory->has_answered = true;
      if (!cs_http_is_success (status))
        return false;
      directory->has_list = true;
      if (directory->written_at == 0)
        on_first_list_read (directory);
      else
        on_list_read (directory);
      return directory->step != STEP_LIST;
    case STEP_REMOVE:
      on_remove_response (directory, status);
      return false;
    case STEP_WITHDRAW:
      if (status != STATUS_CONFLICT || directory->was_changed)
        directory->step = STEP_DONE;
      directory->was_changed = true;
      directory->own_revision = cs_store_read_written (response->body);
      return directory->step != STEP_DONE;
    case STEP_DONE:
      return false;
    }
  return false;
}

static void
on_response (void *context, const cs_store_response_t *response)
{
  cs_directory_t *directory = context;
  directory->call_in_flight = false;
  bool call_now = handle_response (directory, response);
  if (directory->step == STEP_DONE)
    return;
  if (call_now || directory->leaving)
    start_call (directory, 0);
  else
    set_timer (directory);
}

cs_directory_t *
cs_directory_create (cs_mesh_t *mesh)
{
  cs_directory_t *directory = calloc (1, sizeof *directory);
  if (directory == NULL)
    return NULL;
  directory->mesh = mesh;
  /* An entry that an earlier start has written changes with the first write.
   */
  directory->renewals = (uint32_t)cs_clock_wall_ms ();
  cs_timer_init (&directory->timer, mesh->router->loop, start_call, directory);
  directory->client
      = cs_store_client_create (mesh->router, on_response, directory);
  if (directory->client == NULL)
    {
      free (directory);
      return NULL;
    }
  start_call (directory, 0);
  return directory;
}

void
cs_directory_destroy (cs_directory_t *directory)
{
  if (directory == NULL)
    return;
  cs_timer_clear (&directory->timer);
  cs_store_client_destroy (directory->client);
  cs_list_cursor_free (&directory->cursor);
  free (directory);
}

bool
cs_directory_has_answered (const cs_directory_t *directory)
{
  return directory->has_answered;
}

bool
cs_directory_has_list (const cs_directory_t *directory)
{
  return directory != NULL && directory->has_list;
}

bool
cs_directory_had_entry (const cs_directory_t *directory)
{
  return directory->had_entry;
}

bool
cs_directory_is_read (const cs_directory_t *directory)
{
  return directory->lists_read > 0;
}

bool
cs_directory_is_complete (const cs_directory_t *directory)
{
  return directory->lists_read >= LISTS_UNTIL_COMPLETE;
}

void
cs_directory_withdraw (cs_directory_t *directory)
{
  directory->leaving = true;
  /* A call in flight completes first; its response handler then withdraws the
     entry.  */
  cs_timer_set (&directory->timer, CS_US_PER_MS);
}
