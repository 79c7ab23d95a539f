/* The routers that the platform's store lists, each by itself.  An entry of a
   host that is gone does no harm: it cannot be reached.  */

#include <stdlib.h>

#include "platform/store.h"
#include "router/peer/internal.h"
#include "router/store_client.h"

/* At the start of a whole fleet the list fills within seconds.  */
static const uint32_t first_looks_ms[] = { 700, 1500, 4000 };
#define FIRST_LOOKS (sizeof first_looks_ms / sizeof first_looks_ms[0])

#define LISTS_TO_KNOW 2

#define STATUS_CONFLICT 409

typedef enum
{
  STEP_CREATE,
  STEP_REPLACE, /* an entry of an earlier start stands there */
  STEP_LIST,
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
  size_t looks;
  size_t lists;    /* read to their end */
  cs_name_t after; /* last name of the page before */
};

static void
write_entry (cs_directory_t *directory, const char *method, cs_str_t name)
{
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_router_entry_t entry = { .name = cs_str (settings->name),
                              .data_centre = cs_str (settings->data_centre),
                              .address = cs_str (settings->peers) };
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
call (void *context, cs_time_us_t now)
{
  cs_directory_t *directory = context;
  const cs_router_settings_t *settings = &directory->mesh->router->settings;
  cs_str_t name = cs_str (settings->name);
  cs_str_t none = { "", 0 };
  if (directory->leaving && directory->step == STEP_LIST)
    directory->step = STEP_LEAVE;
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
  directory->after.len = 0;
  if (body == NULL || cs_store_read_list (body, &page) != 0)
    return false;
  json_array_foreach (page.items, at, item)
  {
    if (cs_store_read_object (item, false, &object) != 0
        || cs_store_read_router (&object, &entry) != 0)
      continue;
    cs_mesh_add_member (directory->mesh, entry.name, entry.data_centre,
                        entry.address);
  }
  if (page.truncated && object.name.len > 0)
    cs_name_set (&directory->after, object.name);
  return directory->after.len > 0;
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

static void
on_answer (void *context, int status, const json_t *body)
{
  cs_directory_t *directory = context;
  bool done = status >= 200 && status < 300;
  switch (directory->step)
    {
    case STEP_CREATE:
      if (status == STATUS_CONFLICT)
        {
          directory->step = STEP_REPLACE;
          call (directory, 0);
          return;
        }
      if (done)
        directory->step = STEP_LIST;
      break;
    case STEP_REPLACE:
      directory->step = done ? STEP_LIST : STEP_CREATE;
      break;
    case STEP_LIST:
      if (take_page (directory, body))
        {
          call (directory, 0);
          return;
        }
      if (done)
        directory->lists++;
      break;
    case STEP_LEAVE:
    case STEP_DONE:
      directory->step = STEP_DONE;
      return;
    }
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
  /* A call under way ends first.  */
  cs_timer_set (&directory->timer, CS_US_PER_MS);
}
