/* The routers that the platform's store lists.  Each writes its own entry and
   renews it; the first hubs remove those of hosts that are gone for good.  */

#include <stdlib.h>

#include "common/log.h"
#include "http/head.h"
#include "platform/store.h"
#include "router/peer/internal.h"
#include "router/store_client.h"

/* At the start of a whole fleet the list fills within seconds.  */
static const uint32_t first_looks_ms[] = { 700, 1500, 4000 };
#define FIRST_LOOKS (sizeof first_looks_ms / sizeof first_looks_ms[0])

#define LISTS_TO_KNOW 2

/* Part of the time between renewals that is left to chance, so that a fleet
   that starts together does not renew together.  */
#define RENEW_SPREAD 0.25

#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

typedef enum
{
  STEP_CREATE,
  STEP_REPLACE, /* to renew it, or an entry of an earlier start */
  STEP_LIST,
  STEP_REMOVE, /* an entry of a host that is gone */
  STEP_LEAVE,
  STEP_DONE
} step_t;

struct cs_directory
{
  cs_mesh_t *mesh;
  cs_store_client_t *client;
  cs_timer_t timer;
  step_t step;
  bool leaving;
  bool is_calling;
  size_t looks;
  size_t lists;     /* read to their end */
  cs_name_t after;  /* last name of the page before */
  bool was_missing; /* the entry, when it was last to be renewed */
  uint32_t renewals;
  cs_time_us_t renew_at;
  cs_member_t gone; /* whose entry is being removed */
};

static void
write_entry (cs_directory_t *directory, const char *method, cs_str_t name)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_router_entry_t entry = { .name = cs_str (settings->name),
                              .data_centre = cs_str (settings->data_centre),
                              .address = cs_str (settings->peers),
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
list (cs_directory_t *directory)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_buf_t path = { 0 };
  if (cs_store_stale_list_path (CS_STORE_ROUTERS,
                                cs_name_str (&directory->after), &path)
      == 0)
    cs_store_client_call (directory->client, "GET", cs_buf_str (&path),
                          (cs_str_t){ "", 0 },
                          settings->call_timeout_ms * CS_US_PER_MS);
  cs_buf_free (&path);
}

static void
remove_gone (cs_directory_t *directory)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_buf_t path = { 0 };
  if (cs_store_remove_path (CS_STORE_ROUTERS,
                            cs_name_str (&directory->gone.name),
                            directory->gone.renewal.revision, &path)
      == 0)
    cs_store_client_call (directory->client, "DELETE", cs_buf_str (&path),
                          (cs_str_t){ "", 0 },
                          settings->call_timeout_ms * CS_US_PER_MS);
  cs_buf_free (&path);
}

static void
call (void *context, cs_time_us_t now)
{
  cs_directory_t *directory = context;
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_str_t name = cs_str (settings->name);
  cs_str_t none = { "", 0 };
  if (directory->is_calling || directory->step == STEP_DONE)
    return;
  if (directory->leaving)
    directory->step = STEP_LEAVE;
  else if (directory->step == STEP_LIST && now >= directory->renew_at)
    directory->step = STEP_REPLACE;
  directory->is_calling = true;
  switch (directory->step)
    {
    case STEP_CREATE:
      write_entry (directory, "POST", none);
      return;
    case STEP_REPLACE:
      write_entry (directory, "PUT", name);
      return;
    case STEP_LIST:
      list (directory);
      return;
    case STEP_REMOVE:
      remove_gone (directory);
      return;
    case STEP_LEAVE:
      write_entry (directory, "DELETE", name);
      return;
    case STEP_DONE:
      return;
    }
}

/* Takes in a page; returns whether another one follows.  */
static bool
take_page (cs_directory_t *directory, const json_t *body)
{
  cs_store_page_t page;
  cs_store_object_t object = { { NULL, 0 }, 0, NULL, false };
  cs_router_entry_t entry;
  size_t at;
  const json_t *item;
  bool is_first = directory->after.len == 0;
  directory->after.len = 0;
  if (body == NULL || cs_store_read_list (body, &page) != 0)
    return false;
  if (is_first)
    cs_mesh_list_begin (directory->mesh);
  json_array_foreach (page.items, at, item)
  {
    if (cs_store_read_object (item, false, &object) != 0
        || cs_store_read_router (&object, &entry) != 0)
      continue;
    cs_mesh_list_entry (directory->mesh, &entry, object.revision);
  }
  if (page.truncated && object.name.len > 0)
    cs_name_set (&directory->after, object.name);
  else
    cs_mesh_list_end (directory->mesh);
  return directory->after.len > 0;
}

/* What follows a list that was read to its end: a first hub removes one entry
   at a time, which keeps the number of calls low.  */
static void
after_list (cs_directory_t *directory)
{
  const cs_member_t *gone = NULL;
  directory->lists++;
  if (directory->mesh->role.is_first)
    gone = cs_mesh_find_gone (directory->mesh);
  if (gone == NULL)
    return;
  directory->gone = *gone;
  directory->step = STEP_REMOVE;
}

static void
after_write (cs_directory_t *directory)
{
  cs_router_t *router = directory->mesh->router;
  double pause_s = router->settings.renew_s
                   * (1 - RENEW_SPREAD * cs_random_unit (&router->random));
  directory->renew_at
      = cs_loop_now (router->loop) + (cs_time_us_t)(pause_s * CS_US_PER_S);
  directory->renewals++;
  directory->was_missing = false;
  directory->step = STEP_LIST;
}

/* The store removed the entry only if it was as last seen; otherwise the next
   list tells.  */
static void
after_removal (cs_directory_t *directory, int status)
{
  const cs_member_t *gone = &directory->gone;
  directory->step = STEP_LIST;
  if (!cs_http_is_success (status) && status != STATUS_NOT_FOUND)
    return;
  cs_log (CS_EV_PEER_EXPIRED, "peer=%016llx name=%s revision=%llu looks=%u",
          (unsigned long long)gone->id, gone->name.text,
          (unsigned long long)gone->renewal.revision, gone->renewal.looks);
  cs_mesh_forget_member (directory->mesh, gone->id);
}

static void
set_timer (cs_directory_t *directory)
{
  const cs_router_t *router = directory->mesh->router;
  cs_time_us_t pause = router->settings.directory_s * CS_US_PER_S;
  if (directory->looks < FIRST_LOOKS)
    pause = first_looks_ms[directory->looks] * CS_US_PER_MS;
  directory->looks++;
  cs_timer_set (&directory->timer, pause);
}

/* Takes in the answer of the step's call and decides the next step.  Returns
   whether that is due at once.  */
static bool
take_answer (cs_directory_t *directory, int status, const json_t *body)
{
  switch (directory->step)
    {
    case STEP_CREATE:
      if (status == STATUS_CONFLICT)
        directory->step = STEP_REPLACE;
      if (cs_http_is_success (status))
        after_write (directory);
      /* A store that says both "missing" and "there" is not asked in a loop.
       */
      return status == STATUS_CONFLICT && !directory->was_missing;
    case STEP_REPLACE:
      directory->was_missing = status == STATUS_NOT_FOUND;
      if (directory->was_missing)
        directory->step = STEP_CREATE;
      if (cs_http_is_success (status))
        after_write (directory);
      /* A renewal must not take the place of a look.  */
      return directory->was_missing
             || (cs_http_is_success (status) && directory->lists > 0);
    case STEP_LIST:
      if (take_page (directory, body))
        return true;
      if (cs_http_is_success (status))
        after_list (directory);
      return directory->step == STEP_REMOVE;
    case STEP_REMOVE:
      after_removal (directory, status);
      return false;
    case STEP_LEAVE:
    case STEP_DONE:
      directory->step = STEP_DONE;
      return false;
    }
  return false;
}

static void
on_answer (void *context, int status, const json_t *body)
{
  cs_directory_t *directory = context;
  directory->is_calling = false;
  bool at_once = take_answer (directory, status, body);
  if (directory->step == STEP_DONE)
    return;
  if (at_once || directory->leaving)
    call (directory, 0);
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
  cs_timer_init (&directory->timer, mesh->router->loop, call, directory);
  directory->client
      = cs_store_client_create (mesh->router, on_answer, directory);
  if (directory->client == NULL)
    {
      free (directory);
      return NULL;
    }
  call (directory, 0);
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
cs_directory_is_known (const cs_directory_t *directory)
{
  return directory->lists >= LISTS_TO_KNOW;
}

void
cs_directory_leave (cs_directory_t *directory)
{
  directory->leaving = true;
  /* A call under way ends first, and its answer goes on with this.  */
  cs_timer_set (&directory->timer, CS_US_PER_MS);
}
