#include "router/lifecycle.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/log.h"
#include "net/channel.h"
#include "net/listener.h"
#include "router/caller.h"
#include "router/follower.h"
#include "router/mesh.h"
#include "router/operator.h"
#include "router/router.h"

/* Between two looks at idle connections, missing targets, the settings file
   and a stop under way.  */
#define TICK_US (250 * CS_US_PER_MS)
/* Part of the grace after which a stop ends what is still under way; the rest
   is for the process to end by itself.  */
#define GRACE_SHARE 0.96
/* Part of the grace in which requests are taken at most; the rest is for those
   under way.  */
#define LAME_DUCK_SHARE 0.5

typedef struct
{
  cs_router_t router;
  const char *file;
  struct timespec file_changed;
  cs_listener_t *callers;
  cs_listener_t *readiness;
  cs_listener_t *metrics;
  cs_follower_t *follow_routing;
  cs_follower_t *follow_targets;
  struct event *signals[3];
  cs_timer_t tick;
  cs_time_us_t stop_begun;
} process_t;

bool
cs_router_is_ready (const cs_router_t *router)
{
  return router->routing != NULL && router->fleet_known && !router->stopping;
}

static void
on_target_gone (void *context, cs_target_t *target)
{
  cs_log (CS_EV_TARGET_REMOVED, "target=%s in_flight=%u", target->id.text,
          target->in_flight);
  cs_connections_sweep (target, true, 0);
}

static void
remember_file (process_t *process)
{
  struct stat status;
  if (stat (process->file, &status) == 0)
    process->file_changed = status.st_mtim;
}

/* Takes the settings that may change while the router runs; addresses stay as
   they were at the start.  */
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
  remember_file (process);
  if (cs_router_settings_read (process->file, &settings, &reason) != 0)
    cs_log (CS_EV_BAD_SETTING, "kept=\"the settings before\" reason=\"%s\"",
            reason.data);
  else
    {
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
      && (status.st_mtim.tv_sec != process->file_changed.tv_sec
          || status.st_mtim.tv_nsec != process->file_changed.tv_nsec))
    reload (process);
}

static void
begin_stop (process_t *process)
{
  cs_router_t *router = &process->router;
  if (router->stopping)
    {
      cs_log (CS_EV_STOP_REPEATED, "in_flight=%u", router->in_flight);
      return;
    }
  router->stopping = true;
  process->stop_begun = cs_loop_now (router->loop);
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

/* A stop: the balancer is given time to notice, then idle callers are closed,
   then the requests under way end.  */
static void
go_on_stopping (process_t *process, cs_time_us_t now)
{
  cs_router_t *router = &process->router;
  cs_time_us_t elapsed = now - process->stop_begun;
  double grace_us = router->settings.grace_s * CS_US_PER_S;
  double taking_us = router->settings.lame_duck_ms * CS_US_PER_MS;
  if (taking_us > grace_us * LAME_DUCK_SHARE)
    taking_us = grace_us * LAME_DUCK_SHARE;
  if ((double)elapsed < taking_us)
    return;
  cs_listener_destroy (process->callers);
  process->callers = NULL;
  cs_callers_close_idle (router);
  if (router->callers == NULL || (double)elapsed > grace_us * GRACE_SHARE)
    cs_loop_stop (router->loop);
}

static void
sweep_targets (cs_router_t *router, cs_time_us_t now)
{
  size_t count;
  cs_fleet_drop_missing (router->fleet, now);
  cs_target_t *const *targets = cs_fleet_targets (router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    cs_connections_sweep (targets[i], false, now);
}

static void
on_tick (void *context, cs_time_us_t now)
{
  process_t *process = context;
  sweep_targets (&process->router, now);
  reload_if_changed (process);
  process->router.counters.log_lines_dropped = cs_log_dropped ();
  if (process->router.stopping)
    go_on_stopping (process, now);
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
make_parts (process_t *process)
{
  cs_router_t *router = &process->router;
  cs_choice_policy_t policy = cs_choice_policy_default ();
  router->random.seed
      = cs_hash (cs_str (router->settings.name), cs_clock_wall_ms ());
  router->loop = cs_loop_create ();
  router->fleet = cs_fleet_create (on_target_gone, router);
  router->chooser = cs_chooser_create (&policy, router->random.seed);
  router->scope.loop = router->loop;
  router->scope.settings = &router->settings;
  router->scope.counters = &router->counters;
  return router->loop != NULL && router->fleet != NULL
         && router->chooser != NULL;
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
  if (!make_parts (process) || !watch_signals (process))
    {
      cs_log (CS_EV_START_FAILED, "reason=\"%s\"", strerror (errno));
      return false;
    }
  process->callers = listen_at (process, settings->callers, cs_caller_accept);
  process->readiness
      = listen_at (process, settings->readiness, cs_operator_accept);
  if (process->callers == NULL || process->readiness == NULL)
    return false;
  if (settings->metrics[0] != '\0')
    {
      process->metrics
          = listen_at (process, settings->metrics, cs_operator_accept);
      if (process->metrics == NULL)
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
  process->follow_routing = cs_follower_create (
      router, CS_STORE_ROUTING, &router->routing_news, &cs_follow_routing);
  process->follow_targets = cs_follower_create (
      router, CS_STORE_TARGETS, &router->targets_news, &cs_follow_targets);
  if (process->follow_routing == NULL || process->follow_targets == NULL)
    return false;
  cs_timer_init (&process->tick, router->loop, on_tick, process);
  cs_timer_set (&process->tick, TICK_US);
  return true;
}

static void
end (process_t *process)
{
  cs_router_t *router = &process->router;
  if (router->loop == NULL)
    return;
  cs_callers_close_all (router);
  cs_follower_destroy (process->follow_routing);
  cs_follower_destroy (process->follow_targets);
  cs_mesh_destroy (router->mesh);
  cs_listener_destroy (process->callers);
  cs_listener_destroy (process->readiness);
  cs_listener_destroy (process->metrics);
  cs_fleet_destroy (router->fleet);
  cs_chooser_destroy (router->chooser);
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
  remember_file (&process);
  apply_settings (&process, settings);
  bool started = start (&process);
  if (started)
    {
      cs_log (CS_EV_STARTED, "callers=%s readiness=%s platform=%s",
              settings->callers, settings->readiness, settings->platform);
      cs_loop_run (process.router.loop);
      cs_log (CS_EV_STOPPED, "in_flight=%u", process.router.in_flight);
    }
  end (&process);
  return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
