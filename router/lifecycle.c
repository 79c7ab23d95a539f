#include "router/lifecycle.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/log.h"
#include "cranberrystile/limit_weights.h"
#include "cranberrystile/pace_weights.h"
#include "net/channel.h"
#include "net/listener.h"
#include "router/blocked_parts.h"
#include "router/caller.h"
#include "router/cold.h"
#include "router/crash_check.h"
#include "router/evacuations.h"
#include "router/follower.h"
#include "router/forward.h"
#include "router/mesh.h"
#include "router/operator.h"
#include "router/quarantine.h"
#include "router/router.h"
#include "router/stream_versions.h"

/* Interval at which idle connections are closed, missing targets expire, the
   settings file is checked for changes and a stop advances.  */
#define TICK_US (250 * CS_US_PER_MS)
/* Fraction of the grace period after which a stop aborts the requests still in
   flight; the rest is for the process to exit by itself.  */
#define GRACE_SHARE 0.96
/* New requests are accepted for at most this fraction of the grace period; the
   rest is for the requests in flight.  */
#define LAME_DUCK_SHARE 0.5

typedef struct
{
  cs_router_t router;
  const char *file;
  struct timespec file_mtime;
  cs_listener_t *caller_listener;
  cs_listener_t *readiness_listener;
  cs_listener_t *metrics_listener;
  cs_follower_t *routing_follower;
  cs_follower_t *target_follower;
  cs_follower_t *evacuation_follower; /* NULL: evacuations aren't followed */
  struct event *signals[3];
  cs_timer_t tick;
  cs_timer_t stop_timer; /* fires when new requests are no longer accepted */
} process_t;

bool
cs_router_is_ready (const cs_router_t *router)
{
  return router->routing != NULL && router->fleet_synced && !router->stopping
         && cs_evacuations_may_serve (router->evacuations);
}

static void
on_target_removed (void *context, cs_target_t *target)
{
  cs_log (CS_EV_TARGET_REMOVED, "target=%s in_flight=%u", target->id.text,
          target->in_flight);
  cs_connections_close_idle (target, true, 0);
}

static void
record_file_mtime (process_t *process)
{
  struct stat status;
  if (stat (process->file, &status) == 0)
    process->file_mtime = status.st_mtim;
}

/* Applies SETTINGS.  Listeners keep the addresses from startup.  */
static void
apply_settings (process_t *process, const cs_router_settings_t *settings)
{
  cs_router_t *router = &process->router;
  router->settings = *settings;
  cs_log_set_rate_limit (settings->lines_per_s);
  router->services.retry_ratio = settings->retry_ratio;
  router->services.retry_window_us
      = (cs_time_us_t)(settings->retry_window_s * CS_US_PER_S);
}

static void
reload (process_t *process)
{
  cs_router_settings_t settings;
  cs_buf_t reason = { 0 };
  record_file_mtime (process);
  if (cs_router_settings_read (process->file, &settings, &reason) != 0)
    cs_log (CS_EV_BAD_SETTING, "kept=\"previous settings\" reason=\"%s\"",
            reason.data);
  else
    {
      /* Evacuations are followed from the start or not at all.  */
      settings.evacuation_ms = process->router.settings.evacuation_ms;
      apply_settings (process, &settings);
      cs_log (CS_EV_SETTINGS_RELOADED, "file=%s", process->file);
    }
  cs_buf_free (&reason);
}

static void
reload_if_changed (process_t *process)
{
  struct stat status;
  if (stat (process->file, &status) == 0
      && (status.st_mtim.tv_sec != process->file_mtime.tv_sec
          || status.st_mtim.tv_nsec != process->file_mtime.tv_nsec))
    reload (process);
}

static void
begin_stop (process_t *process)
{
  cs_router_t *router = &process->router;
  cs_time_us_t now = cs_loop_now (router->loop);
  double grace_us = router->settings.grace_s * CS_US_PER_S;
  double accepting_us = router->settings.lame_duck_ms * CS_US_PER_MS;
  if (router->stopping)
    {
      cs_log (CS_EV_STOP_REPEATED, "in_flight=%u", router->in_flight);
      return;
    }
  if (accepting_us > grace_us * LAME_DUCK_SHARE)
    accepting_us = grace_us * LAME_DUCK_SHARE;
  router->stopping = true;
  router->accepts_until = now + (cs_time_us_t)accepting_us;
  router->aborts_at = now + (cs_time_us_t)(grace_us * GRACE_SHARE);
  cs_timer_set (&process->stop_timer, (cs_time_us_t)accepting_us);
  cs_mesh_leave (router->mesh);
  cs_log (CS_EV_STOP_BEGUN, "in_flight=%u", router->in_flight);
}

static void
on_signal (evutil_socket_t number, short what, void *context)
{
  if (number == SIGHUP)
    reload (context);
  else
    begin_stop (context);
}

/* Advances a stop: first the load balancer gets time to notice that the router
   is not ready, then the listener and idle caller connections are closed, then
   the requests in flight finish and their answers are written, or they are
   aborted.  */
static void
continue_stop (void *context, cs_time_us_t now)
{
  process_t *process = context;
  cs_router_t *router = &process->router;
  if (now < router->accepts_until)
    return;
  /* The kernel resets connections that are not accepted yet.  */
  if (process->caller_listener != NULL)
    cs_listener_accept_pending (process->caller_listener);
  cs_listener_destroy (process->caller_listener);
  process->caller_listener = NULL;
  cs_callers_close_idle (router, now);
  bool finished = router->callers == NULL
                  && !cs_channels_have_lingering_output (router->loop);
  if (finished || now > router->aborts_at)
    cs_loop_stop (router->loop);
}

static void
prune_targets (cs_router_t *router, cs_time_us_t now)
{
  size_t count;
  cs_fleet_remove_expired (router->fleet, now);
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    cs_connections_close_idle (targets[i], false, now);
}

static void
on_tick (void *context, cs_time_us_t now)
{
  process_t *process = context;
  prune_targets (&process->router, now);
  cs_router_evacuations_tick (&process->router, now);
  cs_limit_weights_update (process->router.fleet, now);
  cs_pace_weights_update (process->router.fleet, process->router.evacuations,
                          now);
  cs_cold_update (&process->router, now);
  cs_cold_log_ended (&process->router, now);
  cs_stream_versions_update (process->router.stream_versions, now);
  cs_blocked_parts_update (process->router.blocked_parts, now);
  reload_if_changed (process);
  process->router.counters.log_lines_dropped = cs_log_dropped ();
  if (process->router.stopping)
    continue_stop (process, now);
  cs_timer_set (&process->tick, TICK_US);
}

static bool
watch_signals (process_t *process)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  struct event_base *base = cs_loop_base (process->router.loop);
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      process->signals[i]
          = evsignal_new (base, numbers[i], on_signal, process);
      if (process->signals[i] == NULL
          || event_add (process->signals[i], NULL) != 0)
        return false;
    }
  return true;
}

static bool
create_components (process_t *process)
{
  cs_router_t *router = &process->router;
  cs_choice_policy_t policy = cs_choice_policy_default ();
  router->random.seed
      = cs_hash (cs_str (router->settings.name), cs_clock_wall_ms ());
  router->loop = cs_loop_create ();
  router->fleet = cs_fleet_create (on_target_removed, router);
  if (router->fleet != NULL)
    cs_fleet_set_hold (router->fleet,
                       cs_router_settings_expiry_us (&router->settings));
  router->chooser = cs_chooser_create (&policy, router->random.seed);
  router->quarantine = cs_router_quarantine_create (router);
  router->connection_env.loop = router->loop;
  router->connection_env.settings = &router->settings;
  router->connection_env.counters = &router->counters;
  return cs_router_evacuations_create (router) == 0 && router->loop != NULL
         && router->fleet != NULL && router->chooser != NULL
         && router->quarantine != NULL;
}

static cs_listener_t *
listen_at (process_t *process, const char *address,
           void (*accept) (void *context, int fd))
{
  cs_listener_t *listener = cs_listener_create (
      process->router.loop, cs_str (address), accept, &process->router);
  if (listener == NULL)
    cs_log (CS_EV_START_FAILED, "address=%s reason=\"%s\"", address,
            strerror (errno));
  return listener;
}

static bool
start (process_t *process)
{
  cs_router_t *router = &process->router;
  const cs_router_settings_t *settings = &router->settings;
  cs_time_us_t started_at = cs_clock_now ();
  if (!create_components (process) || !watch_signals (process))
    {
      cs_log (CS_EV_START_FAILED, "reason=\"%s\"", strerror (errno));
      return false;
    }
  cs_forward_start_hold_init (router, started_at);
  process->caller_listener
      = listen_at (process, settings->callers, cs_caller_accept);
  process->readiness_listener
      = listen_at (process, settings->readiness, cs_operator_accept);
  if (process->caller_listener == NULL || process->readiness_listener == NULL)
    return false;
  if (settings->metrics[0] != '\0')
    {
      process->metrics_listener
          = listen_at (process, settings->metrics, cs_operator_accept);
      if (process->metrics_listener == NULL)
        return false;
    }
  if (settings->peers[0] != '\0')
    {
      router->mesh = cs_mesh_create (router);
      if (router->mesh == NULL)
        {
          cs_log (CS_EV_START_FAILED, "address=%s reason=\"%s\"",
                  settings->peers, strerror (errno));
          return false;
        }
    }
  process->routing_follower
      = cs_follower_create (router, CS_STORE_ROUTING, &router->routing_sync,
                            &cs_routing_follower_handlers);
  process->target_follower
      = cs_follower_create (router, CS_STORE_TARGETS, &router->targets_sync,
                            &cs_target_follower_handlers);
  if (router->evacuations != NULL)
    {
      process->evacuation_follower = cs_follower_create (
          router, CS_STORE_EVACUATIONS, &router->evacuations_sync,
          &cs_evacuation_follower_handlers);
      if (process->evacuation_follower == NULL)
        return false;
    }
  router->blocked_parts = cs_blocked_parts_create (router);
  router->stream_versions = cs_stream_versions_create (router);
  if (process->routing_follower == NULL || process->target_follower == NULL
      || router->blocked_parts == NULL || router->stream_versions == NULL)
    return false;
  cs_timer_init (&process->tick, router->loop, on_tick, process);
  cs_timer_init (&process->stop_timer, router->loop, continue_stop, process);
  cs_timer_set (&process->tick, TICK_US);
  return true;
}

static void
cleanup (process_t *process)
{
  cs_router_t *router = &process->router;
  if (router->loop == NULL)
    return;
  cs_callers_close_all (router);
  cs_crash_checks_end (router);
  cs_blocked_parts_destroy (router->blocked_parts);
  cs_stream_versions_destroy (router->stream_versions);
  router->stream_versions = NULL;
  cs_follower_destroy (process->routing_follower);
  cs_follower_destroy (process->target_follower);
  cs_follower_destroy (process->evacuation_follower);
  cs_mesh_destroy (router->mesh);
  cs_listener_destroy (process->caller_listener);
  cs_listener_destroy (process->readiness_listener);
  cs_listener_destroy (process->metrics_listener);
  cs_fleet_destroy (router->fleet);
  cs_evacuations_destroy (router->evacuations);
  cs_chooser_destroy (router->chooser);
  cs_quarantine_destroy (router->quarantine);
  cs_service_table_free (&router->services);
  cs_routing_release (router->routing);
  cs_buf_free (&router->routing_document);
  for (size_t i = 0; i < sizeof process->signals / sizeof (struct event *);
       i++)
    if (process->signals[i] != NULL)
      event_free (process->signals[i]);
  cs_channels_close_lingering (router->loop);
  cs_loop_destroy (router->loop);
}

int
cs_router_run (const char *file, const cs_router_settings_t *settings)
{
  static process_t process;
  process.file = file;
  record_file_mtime (&process);
  apply_settings (&process, settings);
  bool started = start (&process);
  if (started)
    {
      cs_log (CS_EV_STARTED, "callers=%s readiness=%s platform=%s",
              settings->callers, settings->readiness, settings->platform);
      cs_loop_run (process.router.loop);
      cs_log (CS_EV_STOPPED, "in_flight=%u", process.router.in_flight);
    }
  cleanup (&process);
  return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
