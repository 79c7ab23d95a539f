#include "router/follower.h"

#include <stdlib.h>

#include "common/error.h"
#include "common/log.h"
#include "cranberrystile/relist.h"
#include "router/list_cursor.h"
#include "router/mesh.h"
#include "router/store_client.h"
#include "router/stream_versions.h"

/* Exponential backoff after a failed call, with jitter so that routers don't
   retry together.  A router with a hub may wait for this fraction of the time
   after which all bounds hold again, since the hub will be first to know.  */
#define MIN_BACKOFF_MS 100
#define MAX_BACKOFF_MS 500
#define MAX_BACKOFF_DOUBLINGS 6
#define MEMBER_BACKOFF_SHARE 0.4
/* A watch that ends without a change after less than this fraction of its wait
   was cut off.  */
#define CUT_WATCH_SHARE 0.5
/* A response to a watch may arrive this much after its wait time.  */
#define WATCH_TIMEOUT_MARGIN_MS 500

/* How often a router that skips its own watch checks whether its peers' state
   is still fresh.  */
#define PEER_CHECK_INTERVAL_US (100 * CS_US_PER_MS)
/* How often a starting router checks whether its hubs have sent their
   state.  */
#define START_CHECK_INTERVAL_US (20 * CS_US_PER_MS)

#define STATUS_GONE 410

struct cs_follower
{
  cs_router_t *router;
  cs_store_kind_t kind;
  cs_follower_handlers_t handlers;
  cs_sync_state_t *sync_state; /* for this kind; also updated by peers */
  cs_store_client_t *client;
  cs_timer_t timer; /* starts the next call */
  bool listing;
  cs_list_cursor_t cursor;      /* of the list in progress */
  cs_revision_t known_revision; /* when the list in progress was begun */
  uint32_t failures;            /* consecutive */
  cs_relist_t relist;
  cs_time_us_t call_started_at;
  uint32_t watch_ms; /* wait of the last watch */
  cs_outage_t outage;
};

static void
restart_list (cs_follower_t *follower)
{
  follower->listing = true;
  cs_list_cursor_reset (&follower->cursor);
  follower->known_revision = follower->sync_state->revision;
  follower->sync_state->list_revision = (cs_revision_t){ 0 };
}

/* If peers keep this router up to date, or are about to, schedules the next
   check of that and returns true.  */
static bool
leave_to_peers (cs_follower_t *follower, cs_time_us_t now)
{
  const cs_mesh_t *mesh = follower->router->mesh;
  const cs_sync_state_t *sync_state = follower->sync_state;
  bool waits = cs_mesh_waits_for_hub (mesh, sync_state, now);
  if (!waits && !cs_mesh_can_skip_watch (mesh, sync_state, now))
    return false;
  restart_list (follower);
  follower->listing = sync_state->confirmed_at == 0;
  cs_timer_set (&follower->timer,
                waits ? START_CHECK_INTERVAL_US : PEER_CHECK_INTERVAL_US);
  return true;
}

static void
start_call (void *context, cs_time_us_t now)
{
  cs_follower_t *follower = context;
  if (leave_to_peers (follower, now))
    return;
  /* A revision of an earlier era means nothing to the store.  */
  if (!follower->listing
      && follower->sync_state->revision.era != follower->router->store_era)
    restart_list (follower);
  cs_buf_t path = { 0 };
  const cs_router_settings_t *settings = &follower->router->settings;
  uint32_t timeout_ms = settings->call_timeout_ms;
  int rc;
  follower->call_started_at = now;
  if (follower->listing)
    rc = cs_store_list_path (follower->kind,
                             cs_list_cursor_after (&follower->cursor), &path);
  else
    {
      follower->watch_ms
          = follower->kind == CS_STORE_EVACUATIONS
                ? cs_router_settings_evacuation_watch_ms (
                    settings, now - follower->sync_state->confirmed_at)
                : cs_router_settings_watch_ms (settings);
      rc = cs_store_watch_path (follower->kind,
                                follower->sync_state->revision.number,
                                follower->watch_ms, &path);
      timeout_ms = follower->watch_ms + WATCH_TIMEOUT_MARGIN_MS;
    }
  if (rc == 0)
    cs_store_client_call (follower->client, "GET", cs_buf_str (&path),
                          (cs_str_t){ "", 0 }, timeout_ms * CS_US_PER_MS);
  else
    cs_timer_set (&follower->timer, MAX_BACKOFF_MS * CS_US_PER_MS);
  cs_buf_free (&path);
}

/* Starts the next call after PAUSE_MS, half of it more or less at random so
   that routers don't call together.  */
static void
schedule_call (cs_follower_t *follower, double pause_ms)
{
  double jitter = 0.5 + cs_random_unit (&follower->router->random);
  cs_timer_set (&follower->timer,
                (cs_time_us_t)(pause_ms * jitter * CS_US_PER_MS));
}

/* Schedules a list, since the store can't report the changes after the known
   revision.  */
static void
schedule_list (cs_follower_t *follower, cs_time_us_t now)
{
  uint32_t pause_ms = cs_relist_pause_ms (&follower->relist,
                                          follower->router->store_era, now);
  restart_list (follower);
  schedule_call (follower, pause_ms);
}

static double
max_backoff_ms (const cs_follower_t *follower)
{
  const cs_router_t *router = follower->router;
  double member_ms = MEMBER_BACKOFF_SHARE * router->settings.contact_ms;
  if (cs_mesh_has_hub (router->mesh) && member_ms > MAX_BACKOFF_MS)
    return member_ms;
  return MAX_BACKOFF_MS;
}

static void
on_call_failed (cs_follower_t *follower, int status, cs_time_us_t now)
{
  uint32_t doublings = follower->failures < MAX_BACKOFF_DOUBLINGS
                           ? follower->failures
                           : MAX_BACKOFF_DOUBLINGS;
  double backoff_ms = MIN_BACKOFF_MS << doublings;
  double max_ms = max_backoff_ms (follower);
  if (backoff_ms > max_ms)
    backoff_ms = max_ms;
  follower->failures++;
  /* While a list is in progress, peers' lists that are older are not taken. */
  if (follower->listing)
    restart_list (follower);
  if (cs_outage_failed (&follower->outage,
                        status == 0 ? follower->call_started_at : now))
    cs_log (CS_EV_PLATFORM_LOST, "kind=%s status=%d",
            cs_store_kind_name (follower->kind), status);
  schedule_call (follower, backoff_ms);
}

/* Repeats the call whose response could not be applied.  The revision stays
   the same, so that the store states the changes again.  */
static void
on_not_applied (cs_follower_t *follower)
{
  cs_log (CS_EV_STORE_RESPONSE_REJECTED, "kind=%s reason=no_memory",
          cs_store_kind_name (follower->kind));
  if (follower->listing)
    restart_list (follower);
  schedule_call (follower, MAX_BACKOFF_MS);
}

static void
on_call_responded (cs_follower_t *follower, cs_time_us_t now)
{
  follower->failures = 0;
  if (cs_outage_answered (&follower->outage, now))
    cs_log (CS_EV_PLATFORM_RESTORED, "kind=%s revision=%llu",
            cs_store_kind_name (follower->kind),
            (unsigned long long)follower->sync_state->revision.number);
}

static cs_time_us_t
kept_until (const cs_follower_t *follower, cs_time_us_t now)
{
  cs_outage_policy_t policy
      = cs_router_settings_outage_policy (&follower->router->settings);
  return cs_outage_kept_until (&follower->outage, &policy, now);
}

/* Returns 0, or CS_ERR_NO_MEMORY if an object could not be applied.  */
static int
read_items (cs_follower_t *follower, cs_store_page_t *page, cs_time_us_t now)
{
  cs_store_object_t object;
  const uint64_t *ignored = &follower->router->counters.names_too_long;
  uint64_t ignored_before = *ignored;
  cs_time_us_t until = kept_until (follower, now);
  while (cs_store_next_object (page, &object))
    {
      int rc = follower->handlers.on_object (follower->router, &object, until,
                                             now);
      if (rc != 0)
        return rc;
      if (follower->listing)
        cs_list_cursor_pass (&follower->cursor, object.name);
    }
  if (*ignored > ignored_before)
    cs_log (CS_EV_STORE_NAMES_TOO_LONG, "kind=%s entries=%llu max=%d",
            cs_store_kind_name (follower->kind),
            (unsigned long long)(*ignored - ignored_before), CS_NAME_MAX);
  return CS_OK;
}

/* Records that the platform has confirmed the state at REVISION.  */
static void
record_revision (cs_follower_t *follower, cs_revision_t revision,
                 cs_time_us_t now)
{
  if (cs_revision_compare (revision, follower->sync_state->revision) > 0)
    follower->sync_state->revision = revision;
  follower->sync_state->own_confirmed_at = now;
  follower->sync_state->confirmed_at = now;
}

/* Targets that registered after the copy was taken are missing from it until
   they register again, as after an outage.  */
static void
begin_list (cs_follower_t *follower, cs_revision_t revision, cs_time_us_t now)
{
  cs_router_t *router = follower->router;
  if (follower->kind == CS_STORE_TARGETS)
    cs_stream_versions_missed (router->stream_versions, now);
  bool is_restored = follower->sync_state->confirmed_at != 0
                     && revision.era > follower->sync_state->revision.era;
  if (is_restored)
    {
      cs_outage_failed (&follower->outage, now);
      cs_outage_answered (&follower->outage, now);
    }
  /* Watching starts at the first page's revision, so changes made while later
     pages were read are reported again.  */
  follower->sync_state->list_revision = revision;
  follower->handlers.on_list_begin (router);
}

/* Whether a peer has sent something newer than the list of REVISION since that
   was asked for.  */
static bool
is_overtaken (const cs_follower_t *follower, cs_revision_t revision)
{
  cs_revision_t known = follower->sync_state->revision;
  return cs_revision_compare (known, follower->known_revision) != 0
         && cs_revision_compare (known, revision) > 0;
}

/* The state is that of REVISION or a later one; changes are watched.  */
static void
end_list (cs_follower_t *follower, cs_revision_t revision, cs_time_us_t now)
{
  restart_list (follower);
  follower->listing = false;
  cs_relist_ended (&follower->relist, now);
  record_revision (follower, revision, now);
}

static void
read_list_page (cs_follower_t *follower, cs_store_page_t *page,
                cs_time_us_t now)
{
  bool has_begun = follower->sync_state->list_revision.number != 0;
  cs_revision_t revision
      = has_begun ? follower->sync_state->list_revision : page->revision;
  if (is_overtaken (follower, revision))
    {
      end_list (follower, revision, now);
      start_call (follower, now);
      return;
    }
  if (!has_begun)
    begin_list (follower, revision, now);
  if (page->revision.era != revision.era)
    {
      schedule_list (follower, now);
      return;
    }
  cs_list_cursor_begin_page (&follower->cursor);
  int rc = read_items (follower, page, now);
  if (rc == 0 && page->truncated
      && !cs_list_cursor_has_moved (&follower->cursor))
    {
      on_call_failed (follower, 0, now);
      return;
    }
  if (rc == 0 && !page->truncated)
    rc = follower->handlers.on_list_end (follower->router, revision,
                                         kept_until (follower, now), now);
  if (rc != 0)
    {
      on_not_applied (follower);
      return;
    }
  if (!page->truncated)
    end_list (follower, revision, now);
  start_call (follower, now);
}

static void
read_watch (cs_follower_t *follower, cs_store_page_t *page, cs_time_us_t now)
{
  const cs_router_settings_t *settings = &follower->router->settings;
  if (page->revision.era != follower->sync_state->revision.era)
    {
      schedule_list (follower, now);
      return;
    }
  cs_relist_watched (&follower->relist);
  if (read_items (follower, page, now) != 0)
    {
      on_not_applied (follower);
      return;
    }
  record_revision (follower, page->revision, now);
  if (page->count > 0)
    cs_mesh_push_changes (follower->router->mesh);
  if (page->count > 0)
    cs_timer_set (&follower->timer, settings->coalesce_ms * CS_US_PER_MS);
  else if ((double)(now - follower->call_started_at)
           < CUT_WATCH_SHARE * follower->watch_ms * CS_US_PER_MS)
    schedule_call (follower, MAX_BACKOFF_MS);
  else
    start_call (follower, now);
}

static void
on_response (void *context, const cs_store_response_t *response)
{
  cs_follower_t *follower = context;
  int status = response->status;
  cs_time_us_t now = cs_loop_now (follower->router->loop);
  cs_store_page_t page;
  if (status == STATUS_GONE && !follower->listing)
    {
      on_call_responded (follower, now);
      cs_relist_watch_lost (&follower->relist, follower->call_started_at, now);
      schedule_list (follower, now);
      return;
    }
  int rc = status != 200 ? CS_ERR_PLATFORM_DOWN
           : follower->listing
               ? cs_store_read_list (response->body, response->era, &page)
               : cs_store_read_watch (response->body, response->era, &page);
  if (rc != 0)
    {
      on_call_failed (follower, status, now);
      return;
    }
  on_call_responded (follower, now);
  if (follower->listing)
    read_list_page (follower, &page, now);
  else
    read_watch (follower, &page, now);
  cs_store_page_release (&page);
}

cs_follower_t *
cs_follower_create (cs_router_t *router, cs_store_kind_t kind,
                    cs_sync_state_t *sync_state,
                    const cs_follower_handlers_t *handlers)
{
  cs_follower_t *follower = calloc (1, sizeof *follower);
  if (follower == NULL)
    return NULL;
  follower->router = router;
  follower->kind = kind;
  follower->sync_state = sync_state;
  follower->handlers = *handlers;
  cs_timer_init (&follower->timer, router->loop, start_call, follower);
  restart_list (follower);
  follower->client = cs_store_client_create (router, on_response, follower);
  if (follower->client == NULL)
    {
      free (follower);
      return NULL;
    }
  start_call (follower, cs_loop_now (router->loop));
  return follower;
}

void
cs_follower_destroy (cs_follower_t *follower)
{
  if (follower == NULL)
    return;
  cs_timer_clear (&follower->timer);
  cs_store_client_destroy (follower->client);
  cs_list_cursor_free (&follower->cursor);
  free (follower);
}
