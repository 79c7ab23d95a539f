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

/* Length of one watch; a stop cancels it.  */
#define WATCH_S 30

/* Hosts of a region that watch at the same time.  */
#define WATCHERS 2

/* Pause of the lists' poll, and how much longer a host waits that is not one
   of the watchers before it looks for itself.  */
#define LIST_MS 1000
#define IDLE_FACTOR 10

/* A pause looks this often whether the daemon stops.  */
#define STOP_LOOK_MS 200

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
  char version[32]; /* of the newest release read; the release thread's */
  pthread_t release_thread;
  pthread_t list_thread;
};

static void
note_result (cs_follower_t *follower, int rc)
{
  bool good = rc != CS_ERR_PLATFORM_DOWN;
  bool before = atomic_exchange (&follower->connected, good);
  if (before && !good)
    cs_log (CS_EV_PLATFORM_LOST, "address=%s",
            follower->settings->platform_address);
  if (!before && good)
    cs_log (CS_EV_PLATFORM_RESTORED, "address=%s",
            follower->settings->platform_address);
}

bool
cs_follower_is_connected (const cs_follower_t *follower)
{
  return atomic_load (&follower->connected);
}

static void
pause_ms (cs_follower_t *follower, uint32_t ms)
{
  while (ms > 0 && !atomic_load (&follower->stopping))
    {
      uint32_t part = ms < STOP_LOOK_MS ? ms : STOP_LOOK_MS;
      poll (NULL, 0, (int)part);
      ms -= part;
    }
}

/* Whether this host ranks first in its region for one of the watches.  */
static bool
is_watcher (cs_follower_t *follower)
{
  const cs_host_t *self = cs_members_self (follower->members);
  for (uint64_t i = 0; i < WATCHERS; i++)
    if (cs_members_owner (follower->members,
                          cs_hash (cs_str ("release-watch"), i),
                          cs_clock_now ())
        == self->id)
      return true;
  return false;
}

static int
load_first (cs_follower_t *follower)
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
note_version (cs_follower_t *follower, const cs_release_record_t *record)
{
  memcpy (follower->version, record->version, sizeof follower->version);
}

/* Finds the version to watch from when the release in force came from a
   snapshot or a peer.  */
static int
read_version (cs_follower_t *follower)
{
  cs_release_record_t record;
  uint64_t have = cs_configuration_revision (follower->configuration);
  if (follower->version[0] != '\0')
    return 0;
  if (have == 0)
    {
      snprintf (follower->version, sizeof follower->version, "0");
      return 0;
    }
  int rc = cs_release_store_get (follower->platform, have, &record);
  if (rc == 0)
    {
      note_version (follower, &record);
      cs_release_record_free (&record);
    }
  return rc;
}

/* Installs the releases that have followed.  Returns 0 when up to date.  */
static int
catch_up (cs_follower_t *follower)
{
  int rc = 0;
  if (!cs_configuration_is_known (follower->configuration))
    rc = load_first (follower);
  while (rc == 0 && !atomic_load (&follower->stopping))
    {
      cs_release_record_t record;
      uint64_t next = cs_configuration_revision (follower->configuration) + 1;
      rc = cs_release_store_get (follower->platform, next, &record);
      if (rc != 0)
        break;
      note_version (follower, &record);
      rc = cs_configuration_install_note (follower->configuration, next,
                                          record.note);
      cs_release_record_free (&record);
      /* A peer may have brought it at the same time.  */
      if (rc == CS_ERR_CONFLICT)
        rc = 0;
    }
  return rc == CS_ERR_NOT_FOUND ? 0 : rc;
}

/* Returns false when the watch has missed a release.  */
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
  uint64_t have = cs_configuration_revision (follower->configuration);
  bool go_on = record.revision <= have + 1;
  if (go_on)
    note_version (follower, &record);
  if (record.revision == have + 1)
    cs_configuration_install_note (follower->configuration, record.revision,
                                   record.note);
  cs_release_record_free (&record);
  return go_on;
}

static int
follow_once (cs_follower_t *follower)
{
  int rc = catch_up (follower);
  if (rc == 0)
    rc = read_version (follower);
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
        rc = follow_once (follower);
      else
        rc = catch_up (follower);
      note_result (follower, rc);
      if (rc != 0 || !cs_configuration_is_known (follower->configuration))
        pause_ms (follower, follower->settings->follow_ms);
      else if (!watcher)
        pause_ms (follower, follower->settings->follow_ms * IDLE_FACTOR);
    }
  return NULL;
}

static void
read_target (cs_follower_t *follower, const char *name, const char *instance,
             bool terminating)
{
  cs_endpoint_t *endpoint = cs_endpoints_find (
      follower->endpoints, cs_endpoint_id_of (cs_str (name)));
  if (endpoint == NULL)
    return;
  cs_poller_word (follower->poller, endpoint, cs_str (instance), terminating);
  cs_endpoint_unref (endpoint);
}

/* Reads one entry of an EndpointSlice: a target, or a host of the fleet.  */
static void
read_entry (cs_follower_t *follower, bool hosts, const json_t *entry)
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
    read_target (follower, name, instance, terminating);
  else if (ready && !terminating)
    cs_peers_add_address (follower->peers, address);
}

static void
read_slice (cs_follower_t *follower, const json_t *slice)
{
  const json_t *spec = cs_platform_spec (slice);
  const char *role = json_string_value (json_object_get (spec, "role"));
  const json_t *entries = json_object_get (spec, "endpoints");
  bool hosts = role != NULL && strcmp (role, "hosts") == 0;
  for (size_t i = 0; i < json_array_size (entries); i++)
    read_entry (follower, hosts, json_array_get (entries, i));
}

static void *
run_lists (void *argument)
{
  cs_follower_t *follower = argument;
  while (!atomic_load (&follower->stopping))
    {
      json_t *list = NULL;
      bool wanted = is_watcher (follower);
      if (wanted
          && cs_platform_list (follower->platform, CS_KIND_ENDPOINT_SLICE, 0,
                               "", &list)
                 == 0)
        {
          const json_t *items = json_object_get (list, "items");
          for (size_t i = 0; i < json_array_size (items); i++)
            read_slice (follower, json_array_get (items, i));
        }
      json_decref (list);
      pause_ms (follower, LIST_MS);
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
