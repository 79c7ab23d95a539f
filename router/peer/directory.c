/* Router entries in the platform's store.  Each router creates and renews its
   own entry; first hubs delete the entries of routers that have stopped
   renewing them.  */

#include <stdlib.h>

#include "common/log.h"
#include "http/head.h"
#include "platform/store.h"
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
  bool has_answered;    /* the first list was read or failed */
  bool has_list;        /* a list was read */
  size_t lists_read;    /* complete lists; the first one if it counts */
  cs_name_t page_after; /* last name on the previous page */
  bool had_entry;       /* of an earlier start of this router */
  bool was_missing;     /* the last renewal found no entry */
  uint32_t renewals;
  cs_time_us_t written_at; /* when the own entry was last written */
  bool own_is_listed;      /* in the latest list */
  cs_time_us_t renew_at;
  cs_member_t expired; /* member whose entry is being deleted */
};

/* Creates, renews or deletes this router's entry, depending on METHOD.  NAME
   is empty to create it.  */
static void
write_entry (cs_directory_t *directory, const char *method, cs_str_t name)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_router_entry_t entry
      = { .name = cs_str (settings->name),
          .data_centre = cs_str (settings->data_centre),
          .address = cs_str (settings->peers),
          .capacity = cs_router_settings_capacity (settings),
          .renewals = directory->renewals };
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  if (cs_store_object_path (CS_STORE_ROUTERS, name, &path) == 0
      && cs_store_write_router (&entry, &body) == 0)
    cs_store_client_call (directory->client, method, cs_buf_str (&path),
                          cs_buf_str (&body),
                          settings->call_timeout_ms * CS_US_PER_MS);
  cs_buf_free (&path);
  cs_buf_free (&body);
}

static void
list_entries (cs_directory_t *directory)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_buf_t path = { 0 };
  if (cs_store_stale_list_path (CS_STORE_ROUTERS,
                                cs_name_str (&directory->page_after), &path)
      == 0)
    cs_store_client_call (directory->client, "GET", cs_buf_str (&path),
                          (cs_str_t){ "", 0 },
                          settings->call_timeout_ms * CS_US_PER_MS);
  cs_buf_free (&path);
}

static void
remove_expired (cs_directory_t *directory)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_buf_t path = { 0 };
  if (cs_store_remove_path (CS_STORE_ROUTERS,
                            cs_name_str (&directory->expired.name),
                            directory->expired.renewal.revision.number, &path)
      == 0)
    cs_store_client_call (directory->client, "DELETE", cs_buf_str (&path),
                          (cs_str_t){ "", 0 },
                          settings->call_timeout_ms * CS_US_PER_MS);
  cs_buf_free (&path);
}

static void
start_call (void *context, cs_time_us_t now)
{
  cs_directory_t *directory = context;
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_str_t name = cs_str (settings->name);
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
      write_entry (directory, "POST", (cs_str_t){ "", 0 });
      return;
    case STEP_REPLACE:
      write_entry (directory, "PUT", name);
      return;
    case STEP_LIST:
      list_entries (directory);
      return;
    case STEP_REMOVE:
      remove_expired (directory);
      return;
    case STEP_WITHDRAW:
      write_entry (directory, "DELETE", name);
      return;
    case STEP_DONE:
      return;
    }
}

/* Reads one page of the list; returns whether there is another one.  */
static bool
read_page (cs_directory_t *directory, const cs_store_response_t *response)
{
  cs_store_page_t page;
  cs_store_object_t object;
  cs_router_entry_t entry;
  cs_str_t own_name = cs_str (directory->mesh->router->settings.name);
  bool is_first_page = directory->page_after.len == 0;
  directory->page_after.len = 0;
  if (cs_store_read_list (response->body, response->era, &page) != 0)
    return false;
  if (is_first_page)
    {
      cs_mesh_list_begin (directory->mesh);
      directory->own_is_listed = false;
    }
  while (cs_store_next_object (&page, &object))
    {
      if (page.truncated)
        cs_name_set (&directory->page_after, object.name);
      if (cs_store_read_router (&object, &entry) != 0)
        continue;
      if (cs_str_equal (entry.name, own_name))
        directory->own_is_listed = true;
      cs_mesh_list_entry (directory->mesh, &entry, object.revision);
    }
  cs_store_page_release (&page);
  if (directory->page_after.len == 0)
    cs_mesh_list_end (directory->mesh);
  return directory->page_after.len > 0;
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
on_entry_written (cs_directory_t *directory)
{
  cs_router_t *router = directory->mesh->router;
  double pause_s = router->settings.renew_s
                   * (1 - RENEW_JITTER * cs_random_unit (&router->random));
  directory->written_at = cs_loop_now (router->loop);
  directory->renew_at
      = directory->written_at + (cs_time_us_t)(pause_s * CS_US_PER_S);
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
        on_entry_written (directory);
      /* If the store reports the entry both as missing and as existing, wait
         for the timer instead of retrying in a tight loop.  */
      return status == STATUS_CONFLICT && !directory->was_missing;
    case STEP_REPLACE:
      directory->was_missing = status == STATUS_NOT_FOUND;
      if (directory->was_missing)
        directory->step = STEP_CREATE;
      if (cs_http_is_success (status))
        on_entry_written (directory);
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
    case STEP_DONE:
      directory->step = STEP_DONE;
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
