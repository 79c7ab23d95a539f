#include "daemon/follower.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "api/release_store.h"
#include "common/hash.h"
#include "common/log.h"

/* Duration of one watch call; cancelled when the daemon stops.  */
#define WATCH_S 30

/* Maximum number of hosts of a region that watch at the same time.  */
#define MAX_WATCHERS 2

/* Interval at which watchers poll the lists, and the factor by which the other
   hosts extend the interval at which they check for releases.  */
#define LIST_INTERVAL_MS 1000
#define NON_WATCHER_FACTOR 10

/* Longest sleep between two checks whether the daemon is stopping.  */
#define STOP_POLL_MS 200

struct cs_follower
{
  const cs_settings_t *settings;
  cs_platform_t *platform;
  cs_members_t *members;
  cs_configuration_t *configuration;
  cs_endpoints_t *endpoints;
  cs_peers_t *peers;
  cs_poller_t *poller;
  atomic_bool stopping;
  atomic_bool connected;
  char version[32]; /* resource version of the newest release read;
                       used by the release thread only */
  pthread_t release_thread;
  pthread_t list_thread;
};

static void
record_connectivity (cs_follower_t *follower, int rc)
{
  bool connected = rc != CS_ERR_PLATFORM_DOWN;
  bool was_connected = atomic_exchange (&follower->connected, connected);
  if (was_connected && !connected)
    cs_log (CS_EV_PLATFORM_LOST, "address=%s",
            follower->settings->platform_address);
  if (!was_connected && connected)
    cs_log (CS_EV_PLATFORM_RESTORED, "address=%s",
            follower->settings->platform_address);
}

bool
cs_follower_is_connected (const cs_follower_t *follower)
{
  return atomic_load (&follower->connected);
}

static void
sleep_unless_stopping (cs_follower_t *follower, uint32_t ms)
{
  while (ms > 0 && !atomic_load (&follower->stopping))
    {
      uint32_t step = ms < STOP_POLL_MS ? ms : STOP_POLL_MS;
      poll (NULL, 0, (int)step);
      ms -= step;
    }
}

/* Whether this host is one of the watchers of its region, which are the owners
   of the watch keys by rendezvous hashing.  */
static bool
is_watcher (cs_follower_t *follower)
{
  const cs_host_t *self = cs_members_self (follower->members);
  for (uint64_t i = 0; i < MAX_WATCHERS; i++)
    if (cs_members_owner (follower->members,
                          cs_hash (cs_str ("release-watch"), i),
                          cs_clock_now ())
        == self->id)
      return true;
  return false;
}

static int
load_initial_release (cs_follower_t *follower)
{
  cs_release_t *release = NULL;
  cs_buf_t reason = { 0 };
  int rc = cs_release_store_load (follower->platform, NULL, &release, &reason);
  if (rc == 0)
    cs_configuration_install (follower->configuration, release);
  else if (rc != CS_ERR_PLATFORM_DOWN && rc != CS_ERR_RATE_LIMITED)
    cs_log (CS_EV_RELEASE_REJECTED, "error=%s reason=\"%s\"",
            cs_error_name (rc), reason.data == NULL ? "" : reason.data);
  cs_buf_free (&reason);
  return rc;
}

static void
store_version (cs_follower_t *follower, const cs_release_record_t *record)
{
  memcpy (follower->version, record->version, sizeof follower->version);
}

/* Finds the resource version to watch from, if the release in force came from
   a snapshot or a peer.  */
static int
find_watch_version (cs_follower_t *follower)
{
  cs_release_record_t record;
  uint64_t current = cs_configuration_revision (follower->configuration);
  if (follower->version[0] != '\0')
    return 0;
  if (current == 0)
    {
      snprintf (follower->version, sizeof follower->version, "0");
      return 0;
    }
  int rc = cs_release_store_get (follower->platform, current, &record);
  if (rc == 0)
    {
      store_version (follower, &record);
      cs_release_record_free (&record);
    }
  return rc;
}

/* Installs all releases after the one in force.  Returns 0 when up to date. */
static int
apply_next_releases (cs_follower_t *follower)
{
  int rc = 0;
  if (!cs_configuration_has_release (follower->configuration))
    rc = load_initial_release (follower);
  while (rc == 0 && !atomic_load (&follower->stopping))
    {
      cs_release_record_t record;
      uint64_t next = cs_configuration_revision (follower->configuration) + 1;
      rc = cs_release_store_get (follower->platform, next, &record);
      if (rc != 0)
        break;
      store_version (follower, &record);
      rc = cs_configuration_install_note (follower->configuration, next,
                                          record.note);
      cs_release_record_free (&record);
      /* The release may have been received from a peer meanwhile.  */
      if (rc == CS_ERR_CONFLICT)
        rc = 0;
    }
  return rc == CS_ERR_NOT_FOUND ? 0 : rc;
}

/* Installs a release reported by the watch.  Returns false, which ends the
   watch, if a release was missed or the daemon stops.  */
static bool
on_release (void *context, const char *type, const json_t *object)
{
  cs_follower_t *follower = context;
  cs_release_record_t record;
  if (atomic_load (&follower->stopping))
    return false;
  if (strcmp (type, "ADDED") != 0
      || cs_release_record_read (object, &record) != 0)
    return true;
  uint64_t current = cs_configuration_revision (follower->configuration);
  bool contiguous = record.revision <= current + 1;
  if (contiguous)
    store_version (follower, &record);
  if (record.revision == current + 1)
    cs_configuration_install_note (follower->configuration, record.revision,
                                   record.note);
  cs_release_record_free (&record);
  return contiguous;
}

static int
catch_up_and_watch (cs_follower_t *follower)
{
  int rc = apply_next_releases (follower);
  if (rc == 0)
    rc = find_watch_version (follower);
  if (rc == 0)
    rc = cs_platform_watch (follower->platform, CS_KIND_RELEASE,
                            follower->version, WATCH_S, on_release, follower);
  return rc;
}

static void *
run_releases (void *argument)
{
  cs_follower_t *follower = argument;
  while (!atomic_load (&follower->stopping))
    {
      int rc;
      bool watcher = is_watcher (follower);
      if (watcher)
        rc = catch_up_and_watch (follower);
      else
        rc = apply_next_releases (follower);
      record_connectivity (follower, rc);
      if (rc != 0 || !cs_configuration_has_release (follower->configuration))
        sleep_unless_stopping (follower, follower->settings->follow_ms);
      else if (!watcher)
        sleep_unless_stopping (follower, follower->settings->follow_ms
                                             * NON_WATCHER_FACTOR);
    }
  return NULL;
}

static void
apply_target_entry (cs_follower_t *follower, const char *name,
                    const char *instance, bool terminating)
{
  cs_endpoint_t *endpoint = cs_endpoints_find (
      follower->endpoints, cs_endpoint_id_of (cs_str (name)));
  if (endpoint == NULL)
    return;
  cs_poller_report_instance (follower->poller, endpoint, cs_str (instance),
                             terminating);
  cs_endpoint_unref (endpoint);
}

/* Applies one entry of an EndpointSlice: a target, or a host of the fleet.  */
static void
apply_entry (cs_follower_t *follower, bool hosts, const json_t *entry)
{
  const char *name, *address, *instance;
  int ready, terminating;
  if (json_unpack ((json_t *)entry, "{s:s, s:[s], s:{s:b, s:b}, s:{s:s}}",
                   "hostname", &name, "addresses", &address, "conditions",
                   "ready", &ready, "terminating", &terminating, "targetRef",
                   "uid", &instance)
      != 0)
    return;
  if (!hosts)
    apply_target_entry (follower, name, instance, terminating);
  else if (ready && !terminating)
    cs_peers_add_address (follower->peers, address);
}

static void
apply_slice (cs_follower_t *follower, const json_t *slice)
{
  const json_t *spec = cs_platform_spec (slice);
  const char *role = json_string_value (json_object_get (spec, "role"));
  const json_t *entries = json_object_get (spec, "endpoints");
  bool hosts = role != NULL && strcmp (role, "hosts") == 0;
  for (size_t i = 0; i < json_array_size (entries); i++)
    apply_entry (follower, hosts, json_array_get (entries, i));
}

static void *
run_lists (void *argument)
{
  cs_follower_t *follower = argument;
  while (!atomic_load (&follower->stopping))
    {
      json_t *list = NULL;
      bool watcher = is_watcher (follower);
      if (watcher
          && cs_platform_list (follower->platform, CS_KIND_ENDPOINT_SLICE, 0,
                               "", &list)
                 == 0)
        {
          const json_t *items = json_object_get (list, "items");
          for (size_t i = 0; i < json_array_size (items); i++)
            apply_slice (follower, json_array_get (items, i));
        }
      json_decref (list);
      sleep_unless_stopping (follower, LIST_INTERVAL_MS);
    }
  return NULL;
}

cs_follower_t *
cs_follower_create (const cs_settings_t *settings, cs_platform_t *platform,
                    cs_members_t *members, cs_configuration_t *configuration,
                    cs_endpoints_t *endpoints, cs_peers_t *peers,
                    cs_poller_t *poller)
{
  cs_follower_t *follower = calloc (1, sizeof *follower);
  if (follower == NULL)
    return NULL;
  follower->settings = settings;
  follower->platform = platform;
  follower->members = members;
  follower->configuration = configuration;
  follower->endpoints = endpoints;
  follower->peers = peers;
  follower->poller = poller;
  atomic_store (&follower->connected, true);
  if (pthread_create (&follower->release_thread, NULL, run_releases, follower)
      != 0)
    {
      free (follower);
      return NULL;
    }
  if (pthread_create (&follower->list_thread, NULL, run_lists, follower) != 0)
    {
      atomic_store (&follower->stopping, true);
      pthread_join (follower->release_thread, NULL);
      free (follower);
      return NULL;
    }
  return follower;
}

void
cs_follower_destroy (cs_follower_t *follower)
{
  if (follower == NULL)
    return;
  atomic_store (&follower->stopping, true);
  pthread_join (follower->release_thread, NULL);
  pthread_join (follower->list_thread, NULL);
  free (follower);
}
