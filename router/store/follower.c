#include "router/follower.h"

#include <stdlib.h>

#include "common/log.h"
#include "cranberrystile/outage.h"
#include "router/mesh.h"
#include "router/store_client.h"

/* Pause after a failed call; doubled up to the most, and spread at random so
   that routers do not return together.  */
#define PAUSE_FIRST_MS 100
#define PAUSE_MOST_MS 500
/* A watch may be answered this much after its wait.  */
#define WATCH_SLACK_MS 500

/* Between two looks at whether peers' news is still fresh.  */
#define REST_LOOK_US (100 * CS_US_PER_MS)

#define STATUS_GONE 410

struct cs_follower
{
  cs_router_t *router;
  cs_store_kind_t kind;
  cs_follower_handlers_t handlers;
  cs_sync_state_t *news; /* of this kind; peers' news goes there too */
  cs_store_client_t *client;
  cs_timer_t timer; /* to the next call */
  bool listing;
  bool list_begun;
  cs_name_t after;        /* last name of the page before */
  uint64_t list_revision; /* of the list's first page */
  uint32_t failures;      /* in a row */
  cs_time_us_t called_at;
  cs_outage_t outage;
};

/* Whether peers keep this router informed; then it looks again soon whether
   they still do.  */
static bool
rests (cs_follower_t *follower, cs_time_us_t now)
{
  if (!cs_mesh_may_rest (follower->router->mesh, follower->news, now))
    return false;
  follower->listing = false;
  cs_timer_set (&follower->timer, REST_LOOK_US);
  return true;
}

static void
call (void *context, cs_time_us_t now)
{
  cs_follower_t *follower = context;
  const cs_router_settings_t *settings = &follower->router->settings;
  if (rests (follower, now))
    return;
  cs_buf_t path = { 0 };
  uint32_t timeout_ms = settings->call_timeout_ms;
  int rc;
  follower->called_at = now;
  if (follower->listing)
    rc = cs_store_list_path (follower->kind, cs_name_str (&follower->after),
                             &path);
  else
    {
      uint32_t wait_ms = cs_router_settings_watch_ms (settings);
      rc = cs_store_watch_path (follower->kind, follower->news->revision,
                                wait_ms, &path);
      timeout_ms = wait_ms + WATCH_SLACK_MS;
    }
  if (rc == 0)
    cs_store_client_call (follower->client, "GET", cs_buf_str (&path),
                          (cs_str_t){ "", 0 }, timeout_ms * CS_US_PER_MS);
  else
    cs_timer_set (&follower->timer, PAUSE_MOST_MS * CS_US_PER_MS);
  cs_buf_free (&path);
}

static void
restart_list (cs_follower_t *follower)
{
  follower->listing = true;
  follower->list_begun = false;
  follower->after.len = 0;
}

static void
fail (cs_follower_t *follower, int status, cs_time_us_t now)
{
  uint32_t pause_ms = PAUSE_FIRST_MS
                      << (follower->failures < 3 ? follower->failures : 3);
  double spread = 0.5 + cs_random_unit (&follower->router->random);
  if (pause_ms > PAUSE_MOST_MS)
    pause_ms = PAUSE_MOST_MS;
  follower->failures++;
  if (cs_outage_failed (&follower->outage,
                        status == 0 ? follower->called_at : now))
    cs_log (CS_EV_PLATFORM_LOST, "kind=%s status=%d",
            cs_store_kind_name (follower->kind), status);
  cs_timer_set (&follower->timer,
                (cs_time_us_t)(pause_ms * spread * CS_US_PER_MS));
}

static void
note_answer (cs_follower_t *follower, cs_time_us_t now)
{
  follower->failures = 0;
  if (cs_outage_answered (&follower->outage, now))
    cs_log (CS_EV_PLATFORM_RESTORED, "kind=%s revision=%llu",
            cs_store_kind_name (follower->kind),
            (unsigned long long)follower->news->revision);
}

static cs_time_us_t
kept_until (const cs_follower_t *follower, cs_time_us_t now)
{
  const cs_router_settings_t *settings = &follower->router->settings;
  cs_outage_policy_t policy
      = { .lapse_us = settings->lapse_ms * CS_US_PER_MS,
          .settle_us = cs_router_settings_missing_expiry_us (settings) };
  return cs_outage_kept_until (&follower->outage, &policy, now);
}

static void
take_items (cs_follower_t *follower, const cs_store_page_t *page,
            cs_time_us_t now)
{
  cs_store_object_t object = { { NULL, 0 }, 0, NULL, false };
  size_t at;
  const json_t *item;
  cs_time_us_t until = kept_until (follower, now);
  json_array_foreach (page->items, at, item)
  {
    if (cs_store_read_object (item, !follower->listing, &object) != 0)
      continue;
    follower->handlers.on_object (follower->router, &object, until, now);
  }
  if (follower->listing && object.name.len > 0)
    cs_name_set (&follower->after, object.name);
}

/* The platform has confirmed what is known as of REVISION.  */
static void
know (cs_follower_t *follower, uint64_t revision, cs_time_us_t now)
{
  if (revision > follower->news->revision)
    follower->news->revision = revision;
  follower->news->own_confirmed_at = now;
  follower->news->confirmed_at = now;
}

static void
take_list (cs_follower_t *follower, const cs_store_page_t *page,
           cs_time_us_t now)
{
  if (!follower->list_begun)
    {
      follower->list_begun = true;
      /* Changes since the first page come again as changes.  */
      follower->list_revision = page->revision;
      follower->handlers.on_list_begin (follower->router);
    }
  take_items (follower, page, now);
  if (page->truncated)
    {
      call (follower, now);
      return;
    }
  follower->listing = false;
  know (follower, follower->list_revision, now);
  follower->handlers.on_list_end (follower->router, kept_until (follower, now),
                                  now);
  call (follower, now);
}

static void
take_watch (cs_follower_t *follower, const cs_store_page_t *page,
            cs_time_us_t now)
{
  take_items (follower, page, now);
  know (follower, page->revision, now);
  if (json_array_size (page->items) > 0)
    cs_mesh_push_news (follower->router->mesh);
  if (json_array_size (page->items) == 0)
    call (follower, now);
  else
    cs_timer_set (&follower->timer,
                  follower->router->settings.coalesce_ms * CS_US_PER_MS);
}

static void
on_answer (void *context, int status, const json_t *body)
{
  cs_follower_t *follower = context;
  cs_time_us_t now = cs_loop_now (follower->router->loop);
  cs_store_page_t page;
  if (status == STATUS_GONE && !follower->listing)
    {
      note_answer (follower, now);
      restart_list (follower);
      call (follower, now);
      return;
    }
  int rc = status != 200       ? CS_ERR_PLATFORM_DOWN
           : follower->listing ? cs_store_read_list (body, &page)
                               : cs_store_read_watch (body, &page);
  if (rc != 0)
    {
      fail (follower, status, now);
      return;
    }
  note_answer (follower, now);
  if (follower->listing)
    take_list (follower, &page, now);
  else
    take_watch (follower, &page, now);
}

cs_follower_t *
cs_follower_create (cs_router_t *router, cs_store_kind_t kind,
                    cs_sync_state_t *news,
                    const cs_follower_handlers_t *handlers)
{
  cs_follower_t *follower = calloc (1, sizeof *follower);
  if (follower == NULL)
    return NULL;
  follower->router = router;
  follower->kind = kind;
  follower->news = news;
  follower->handlers = *handlers;
  cs_timer_init (&follower->timer, router->loop, call, follower);
  restart_list (follower);
  follower->client = cs_store_client_create (router, on_answer, follower);
  if (follower->client == NULL)
    {
      free (follower);
      return NULL;
    }
  call (follower, cs_loop_now (router->loop));
  return follower;
}

void
cs_follower_destroy (cs_follower_t *follower)
{
  if (follower == NULL)
    return;
  cs_timer_clear (&follower->timer);
  cs_store_client_destroy (follower->client);
  free (follower);
}
