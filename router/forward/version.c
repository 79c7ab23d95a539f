/* The software version at which the stream of a request begins, or goes on. */

#include "cranberrystile/version_history.h"
#include "router/forward/internal.h"

/* Reading from the target pauses while more than this waits for the save.  */
#define MAX_HELD_BYTES (64U * 1024)
/* How often it is checked whether events that wait still have to.  */
#define SAVE_RECHECK_US (100 * CS_US_PER_MS)

static uint64_t
service_hash (const cs_forward_t *forward)
{
  return cs_hash (cs_name_str (&forward->service->name), 0);
}

/* The stream goes on at the service that began it, also if the route is shared
   by several.  */
static void
select_service_of_version (cs_forward_t *forward)
{
  const cs_route_t *route = forward->route;
  const cs_target_t *target
      = forward->version == 0
            ? NULL
            : cs_fleet_find_version (forward->router->fleet, forward->version);
  if (target == NULL)
    return;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      cs_str_t name
          = forward->routing->services[route->weighted_services[i].service]
                .name;
      if (!cs_str_equal (name, cs_name_str (&target->service)))
        continue;
      cs_service_state_t *service
          = cs_service_table_get (&forward->router->services, name);
      if (service != NULL)
        forward->service = service;
      return;
    }
}

/* Starts the request, or goes on with the stream that it takes up, whose
   version the search has found unless RESULT is an error.  */
static void
on_version_found (void *context, int result, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  if (result != CS_OK)
    {
      forward->router->counters.streams_refused++;
      cs_forward_fail (forward, result, now);
      return;
    }
  forward->version = forward->lookup.version;
  select_service_of_version (forward);
  cs_retry_window_first_attempt (&forward->service->retry_window, now);
  cs_forward_start_attempt (forward, now);
}

bool
cs_forward_is_resumable (const cs_forward_t *forward)
{
  return forward->route->kind == CS_ROUTE_STREAMING
         && forward->route->resumable;
}

void
cs_forward_find_version (cs_forward_t *forward, cs_time_us_t now)
{
  bool is_taken_up = forward->request.last_event_id.len > 0;
  cs_str_t begun_by
      = is_taken_up ? forward->request.resumes : forward->request.id;
  forward->stream = begun_by.len > 0 ? cs_hash (begun_by, 0) : 0;
  forward->lookup = (cs_version_lookup_t){
    .stream = forward->stream,
    .service = service_hash (forward),
    .on_result = on_version_found,
    .context = forward,
  };
  int rc = CS_OK;
  if (is_taken_up && cs_forward_is_resumable (forward))
    rc = cs_stream_versions_find (forward->router->stream_versions,
                                  &forward->lookup, now);
  if (rc != CS_ERR_IN_PROGRESS)
    on_version_found (forward, rc, now);
}

void
cs_forward_record_version (cs_forward_t *forward, cs_time_us_t now)
{
  cs_time_us_t life_us = forward->route->timeout_ms * CS_US_PER_MS;
  if (!cs_forward_is_resumable (forward) || forward->stream == 0)
    return;
  if (forward->request.deadline_ms * CS_US_PER_MS > life_us)
    life_us = forward->request.deadline_ms * CS_US_PER_MS;
  if (life_us > CS_STREAM_LIFE_US)
    life_us = CS_STREAM_LIFE_US;
  cs_stream_record_t record = { .stream = forward->stream,
                                .version = forward->target->version,
                                .until = forward->received_at + life_us };
  uint64_t number = cs_stream_versions_begin (
      forward->router->stream_versions, service_hash (forward), &record, now);
  /* A stream that is taken up was saved before.  */
  forward->save.number = forward->request.last_event_id.len > 0 ? 0 : number;
  if (forward->recorded_version != 0
      && forward->recorded_version != record.version)
    forward->must_save = true;
  forward->recorded_version = record.version;
}

uint64_t
cs_forward_preferred_version (const cs_forward_t *forward, cs_time_us_t now)
{
  bool may_have_run = forward->outcome_unknown || forward->connection != NULL;
  if (forward->version != 0)
    return forward->version;
  if (may_have_run)
    return forward->recorded_version;
  return cs_forward_is_resumable (forward) ? cs_stream_versions_preferred (
             forward->router->stream_versions, service_hash (forward), now)
                                           : 0;
}

bool
cs_forward_may_change_version (const cs_forward_t *forward, cs_time_us_t now)
{
  return forward->connection == NULL
         || cs_stream_versions_are_saved_soon (
             forward->router->stream_versions, now);
}

static void
pause_target (cs_forward_t *forward, bool paused)
{
  if (forward->paused == paused || forward->connection == NULL)
    return;
  forward->paused = paused;
  if (!paused)
    forward->unpaused_at = cs_loop_now (forward->router->loop);
  cs_connection_pause (forward->connection, paused);
}

/* Returns whether events were held back.  */
static bool
end_hold (cs_forward_t *forward)
{
  if (!forward->is_held)
    return false;
  forward->is_held = false;
  cs_timer_clear (&forward->hold_timer);
  cs_stream_versions_end_wait (forward->router->stream_versions,
                               &forward->save);
  return true;
}

/* Whether events must not be sent before the version of the stream is saved,
   however long that takes.  Otherwise a store that is slow must not make all
   streams late.  */
static bool
must_save (const cs_forward_t *forward, cs_time_us_t now)
{
  return forward->must_save
         || cs_stream_versions_must_save (forward->router->stream_versions,
                                          service_hash (forward),
                                          forward->recorded_version, now);
}

void
cs_forward_end_wait_for_save (cs_forward_t *forward)
{
  if (!end_hold (forward))
    return;
  if (!must_save (forward, cs_loop_now (forward->router->loop)))
    {
      cs_forward_flush (forward);
      return;
    }
  cs_buf_clear (&forward->response_body);
  cs_event_stream_free (&forward->events);
  forward->events = (cs_event_stream_t){ 0 };
}

static void
on_saved (void *context, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  if (!end_hold (forward))
    return;
  pause_target (forward, false);
  cs_forward_flush (forward);
}

void
cs_forward_check_hold (void *context, cs_time_us_t now)
{
  cs_forward_t *forward = context;
  if (must_save (forward, now))
    cs_timer_set (&forward->hold_timer, SAVE_RECHECK_US);
  else
    on_saved (forward, now);
}

void
cs_forward_flush_events (cs_forward_t *forward)
{
  if (forward->response_started || forward->save.number == 0)
    {
      cs_forward_flush (forward);
      return;
    }
  if (forward->response_body.len > MAX_HELD_BYTES)
    pause_target (forward, true);
  if (forward->is_held || forward->response_body.len == 0)
    return;
  cs_time_us_t now = cs_loop_now (forward->router->loop);
  cs_time_us_t held_until = forward->sent_at + CS_STREAM_PROMPT_SAVE_US;
  forward->save.on_saved = on_saved;
  forward->save.context = forward;
  if ((now >= held_until && !must_save (forward, now))
      || cs_stream_versions_wait (forward->router->stream_versions,
                                  &forward->save))
    {
      cs_forward_flush (forward);
      return;
    }
  forward->is_held = true;
  cs_timer_set (&forward->hold_timer,
                now < held_until ? held_until - now : SAVE_RECHECK_US);
}
