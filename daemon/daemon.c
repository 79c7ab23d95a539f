#include "daemon/daemon.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>

#include "common/hash.h"
#include "common/log.h"
#include "daemon/configuration_sync.h"
#include "daemon/handlers.h"
#include "daemon/limits.h"
#include "daemon/socket.h"
#include "daemon/summaries.h"
#include "daemon/web.h"

/* A stopping router keeps its port open, and refuses requests, until none has
   arrived for QUIET_PERIOD_MS, but at most for MAX_QUIET_WAIT_MS.  So late
   requests get an error response rather than a closed connection.  */
#define QUIET_PERIOD_MS 300
#define MAX_QUIET_WAIT_MS 5000

static void
on_frame (void *context, cs_link_t *link, const cs_frame_t *frame)
{
  cs_daemon_t *daemon = context;
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_TARGET_WORD:
      if (daemon->poller != NULL)
        cs_poller_apply_peer_report (daemon->poller, frame->target_word);
      break;
    case CS__PEER__FRAME__BODY_CONFIGURATION_REQUEST:
      cs_configuration_sync_handle_request (daemon->configuration, link,
                                            frame->configuration_request);
      break;
    case CS__PEER__FRAME__BODY_CONFIGURATION:
      cs_configuration_sync_handle_response (daemon->configuration, link,
                                             frame->configuration);
      break;
    case CS__PEER__FRAME__BODY_SUMMARY:
      cs_remote_capacity_update (
          daemon->remote_capacity,
          cs_name_str (&cs_link_host (link)->data_centre), frame->summary,
          cs_clock_now ());
      break;
    default:
      cs_placement_handle_frame (daemon->placement, link, frame);
    }
}

static void
on_connected (void *context, cs_link_t *link)
{
  cs_daemon_t *daemon = context;
  cs_placement_host_connected (daemon->placement, cs_link_host (link)->id);
}

static void
on_host_lost (void *context, uint64_t host)
{
  cs_daemon_t *daemon = context;
  cs_placement_host_lost (daemon->placement, host);
}

static void
on_newer_release (void *context, cs_link_t *link, uint64_t revision)
{
  cs_daemon_t *daemon = context;
  cs_configuration_sync_send_request (daemon->configuration, link);
}

static uint64_t
get_revision (void *context)
{
  cs_daemon_t *daemon = context;
  return cs_configuration_revision (daemon->configuration);
}

/* Passes the data centres of the own region to the table of members.  */
static void
set_region_data_centres (cs_daemon_t *daemon, const cs_release_t *release)
{
  size_t count;
  size_t in_region_count = 0;
  cs_name_t own_region, region;
  const cs_data_centre_t *all = cs_release_data_centres (release, &count);
  cs_name_t *in_region = calloc (count + 1, sizeof *in_region);
  if (in_region == NULL)
    return;
  cs_release_region_of (release, cs_str (daemon->settings.data_centre),
                        &own_region);
  for (size_t i = 0; i < count; i++)
    {
      cs_release_region_of (release, cs_name_str (&all[i].name), &region);
      if (cs_name_equal (&region, &own_region))
        in_region[in_region_count++] = all[i].name;
    }
  cs_members_set_region (daemon->members, in_region, in_region_count);
  free (in_region);
}

static void
on_release (void *context, const cs_release_t *release)
{
  cs_daemon_t *daemon = context;
  uint64_t revision = cs_release_revision (release);
  set_region_data_centres (daemon, release);
  if (revision > 0 && !atomic_exchange (&daemon->ready, true))
    cs_log (CS_EV_READY, "revision=%llu", (unsigned long long)revision);
  cs_members_set_revision (daemon->members, revision);
  (void)cs_endpoints_update (daemon->endpoints, release);
  cs_placement_refresh (daemon->placement);
  if (daemon->peers != NULL)
    cs_peers_send_heartbeats (daemon->peers);
}

static void
count_platform_call (void *context, uint64_t bytes, bool failed)
{
  cs_counters_t *counters = context;
  cs_counters_add (counters, CS_COUNTER_PLATFORM_CALLS, 1);
  cs_counters_add (counters, CS_COUNTER_PLATFORM_BYTES, bytes);
  if (failed)
    cs_counters_add (counters, CS_COUNTER_PLATFORM_FAILURES, 1);
}

static int
init_self (cs_daemon_t *daemon, const cs_name_t *peer_address, cs_host_t *self)
{
  uint64_t instance;
  if (RAND_bytes ((unsigned char *)&instance, sizeof instance) != 1)
    return CS_ERR_INTERNAL;
  memset (self, 0, sizeof *self);
  self->id = cs_hash (cs_str (daemon->settings.name), instance);
  cs_name_set (&self->name, cs_str (daemon->settings.name));
  cs_name_set (&self->data_centre, cs_str (daemon->settings.data_centre));
  self->peer_address = *peer_address;
  self->caller_address = daemon->caller_address;
  return 0;
}

static int
create_platform (cs_daemon_t *daemon)
{
  const cs_settings_t *settings = &daemon->settings;
  if (settings->platform_address[0] == '\0')
    return 0;
  daemon->platform = cs_platform_create (
      settings->platform_address, settings->platform_namespace,
      settings->platform_token, settings->platform_timeout_ms,
      count_platform_call, daemon->counters);
  return daemon->platform == NULL ? CS_ERR_NO_MEMORY : 0;
}

/* Creates the components that only hold state.  */
static int
create_state (cs_daemon_t *daemon, const cs_name_t *peer_address)
{
  cs_host_t self;
  if (init_self (daemon, peer_address, &self) != 0
      || create_platform (daemon) != 0)
    return CS_ERR_INTERNAL;
  daemon->members = cs_members_create (&self);
  daemon->configuration = cs_configuration_create (on_release, daemon);
  daemon->endpoints
      = cs_endpoints_create (cs_str (daemon->settings.data_centre));
  if (daemon->members == NULL || daemon->configuration == NULL
      || daemon->endpoints == NULL)
    return CS_ERR_NO_MEMORY;
  daemon->remote_capacity = cs_remote_capacity_create (daemon->members);
  daemon->placement = cs_placement_create (
      &daemon->settings, daemon->members, daemon->configuration,
      daemon->endpoints, daemon->counters);
  return daemon->remote_capacity == NULL || daemon->placement == NULL
             ? CS_ERR_NO_MEMORY
             : 0;
}

/* Creates the components that run threads.  */
static int
start_components (cs_daemon_t *daemon, int listener)
{
  cs_peers_callbacks_t callbacks
      = { daemon,       on_frame,         on_connected,
          on_host_lost, on_newer_release, get_revision };
  daemon->peers = cs_peers_create (&daemon->settings, daemon->members,
                                   daemon->counters, listener, &callbacks);
  if (daemon->peers == NULL)
    return CS_ERR_NO_MEMORY;
  if (cs_placement_start (daemon->placement, daemon->peers) != 0)
    return CS_ERR_NO_MEMORY;
  daemon->poller = cs_poller_create (&daemon->settings, daemon->members,
                                     daemon->endpoints, daemon->placement,
                                     daemon->peers, daemon->counters);
  daemon->summaries = cs_summaries_create (daemon->placement, daemon->peers);
  daemon->claims = cs_claims_create (&daemon->settings, daemon->platform,
                                     daemon->members, daemon->counters);
  if (daemon->poller == NULL || daemon->summaries == NULL
      || daemon->claims == NULL)
    return CS_ERR_NO_MEMORY;
  if (daemon->platform == NULL)
    return 0;
  daemon->follower = cs_follower_create (
      &daemon->settings, daemon->platform, daemon->members,
      daemon->configuration, daemon->endpoints, daemon->peers, daemon->poller);
  daemon->orders = cs_orders_create (&daemon->settings, daemon->platform,
                                     daemon->members, daemon->endpoints,
                                     daemon->configuration, daemon->counters);
  return daemon->follower == NULL || daemon->orders == NULL ? CS_ERR_NO_MEMORY
                                                            : 0;
}

static int
start_servers (cs_daemon_t *daemon)
{
  daemon->callers = cs_server_start_callers (daemon, &daemon->caller_address);
  if (daemon->callers == NULL)
    {
      cs_log (CS_EV_START_FAILED, "reason=\"cannot listen on %s\"",
              daemon->settings.caller_listen);
      return CS_ERR_BAD_SETTING;
    }
  daemon->operators
      = cs_server_start_operators (daemon, &daemon->operator_address);
  if (daemon->operators == NULL)
    {
      cs_log (CS_EV_START_FAILED, "reason=\"cannot listen on %s\"",
              daemon->settings.operator_listen);
      return CS_ERR_BAD_SETTING;
    }
  return 0;
}

cs_daemon_t *
cs_daemon_create (const cs_settings_t *settings)
{
  cs_name_t peer_address;
  cs_daemon_t *daemon = calloc (1, sizeof *daemon);
  if (daemon == NULL)
    return NULL;
  daemon->settings = *settings;
  daemon->started = cs_clock_now ();
  /* Refuse requests until all components have started.  */
  atomic_store (&daemon->stopping, true);
  daemon->counters = cs_counters_create ();
  daemon->limits = cs_limits_create ();
  if (daemon->counters == NULL || daemon->limits == NULL
      || start_servers (daemon) != 0)
    goto fail;
  int listener = cs_socket_listen (settings->peer_listen, &peer_address);
  if (listener < 0)
    {
      cs_log (CS_EV_START_FAILED, "reason=\"cannot listen on %s\"",
              settings->peer_listen);
      goto fail;
    }
  if (create_state (daemon, &peer_address) != 0
      || start_components (daemon, listener) != 0)
    {
      cs_log (CS_EV_START_FAILED,
              "reason=\"cannot allocate memory or create a thread\"");
      goto fail;
    }
  atomic_store (&daemon->stopping, false);
  cs_log (CS_EV_STARTED, "caller=%s operator=%s peer=%s version=%s",
          daemon->caller_address.text, daemon->operator_address.text,
          peer_address.text, CS_VERSION);
  return daemon;
fail:
  cs_daemon_destroy (daemon);
  return NULL;
}

void
cs_daemon_destroy (cs_daemon_t *daemon)
{
  if (daemon == NULL)
    return;
  if (daemon->callers != NULL)
    cs_web_stop (daemon->callers);
  if (daemon->operators != NULL)
    cs_web_stop (daemon->operators);
  if (daemon->platform != NULL)
    cs_platform_cancel (daemon->platform);
  cs_orders_destroy (daemon->orders);
  cs_follower_destroy (daemon->follower);
  cs_claims_destroy (daemon->claims);
  cs_summaries_destroy (daemon->summaries);
  cs_poller_destroy (daemon->poller);
  if (daemon->placement != NULL)
    cs_placement_stop (daemon->placement);
  cs_peers_destroy (daemon->peers);
  cs_placement_destroy (daemon->placement);
  cs_remote_capacity_destroy (daemon->remote_capacity);
  cs_configuration_destroy (daemon->configuration);
  cs_endpoints_destroy (daemon->endpoints);
  cs_members_destroy (daemon->members);
  cs_platform_destroy (daemon->platform);
  cs_limits_destroy (daemon->limits);
  cs_counters_destroy (daemon->counters);
  free (daemon);
}

static void
wait_until_drained (cs_daemon_t *daemon)
{
  cs_time_us_t wait_started = cs_clock_now ();
  while (true)
    {
      cs_time_us_t now = cs_clock_now ();
      cs_time_us_t quiet_since = atomic_load (&daemon->arrived);
      if (quiet_since < wait_started)
        quiet_since = wait_started;
      bool quiet = now > quiet_since + QUIET_PERIOD_MS * CS_US_PER_MS
                   || now > wait_started + MAX_QUIET_WAIT_MS * CS_US_PER_MS;
      if (quiet && atomic_load (&daemon->requests) == 0)
        return;
      poll (NULL, 0, 10);
    }
}

void
cs_daemon_stop (cs_daemon_t *daemon)
{
  cs_log (CS_EV_STOP_BEGUN, "requests=%d", atomic_load (&daemon->requests));
  atomic_store (&daemon->leaving, true);
  cs_members_set_leaving (daemon->members);
  cs_peers_send_heartbeats (daemon->peers);
  cs_placement_refresh (daemon->placement);
  poll (NULL, 0, (int)daemon->settings.lame_duck_ms);
  atomic_store (&daemon->stopping, true);
  wait_until_drained (daemon);
}
