#include "trial.h"

#include <stdlib.h>

#include "common/error.h"
#include "state.h"
#include "summary.h"

/* Interval at which routers exchange their calls in flight.  They act on the
   values of the previous heartbeat.  */
#define HEARTBEAT_US (300 * CS_US_PER_MS)
/* A refused client retries after this delay plus a random part of up to the
   same length.  */
#define RETRY_AFTER_US (400 * CS_US_PER_MS)
#define MAX_CLIENT_RETRIES 1
#define MAX_PRESSING_RETRIES 5

static const engine_t *
get_engine (void *context, uint32_t at)
{
  const trial_t *trial = context;
  return trial->engines[at];
}

static const request_kind_t *
kind_of (const trial_t *trial, const request_t *request)
{
  return &trial->setup->installation->kinds[request->kind];
}

static view_t *
view_of (const trial_t *trial, const request_t *request)
{
  return trial->views[request->router];
}

static void
schedule_step (trial_t *trial, uint32_t at, cs_time_us_t when)
{
  if (when != 0 && when != trial->step_due_at[at])
    heap_push (&trial->heap, when, EV_STEP, at);
  trial->step_due_at[at] = when;
}

static void
record_first_token (trial_t *trial, const request_t *request, cs_time_us_t now)
{
  cs_time_us_t objective
      = kind_of (trial, request)->first_event_slo_ms * CS_US_PER_MS;
  view_first_token (view_of (trial, request), request->sent_at,
                    now - request->sent_at > objective, now);
}

void
trial_on_engine_event (void *context, uint32_t id, engine_event_t event,
                       cs_time_us_t now)
{
  trial_t *trial = context;
  request_t *request = &trial->requests[id];
  view_t *view = view_of (trial, request);
  const engine_t *engine = trial->engines[request->engine];
  if (event == ENGINE_TOKEN)
    {
      if (request->generated == 0)
        {
          view_update_load (view, request->engine, engine_running (engine),
                            engine_waiting (engine), now);
          record_first_token (trial, request, now);
        }
      request_record_token (request, kind_of (trial, request), now);
      return;
    }
  view_call_ended (view, request->engine);
  request->engine = UINT32_MAX;
  request->state = REQUEST_DONE;
}

static void
handle_refusal (trial_t *trial, request_t *request)
{
  bool is_pressing = trial->setup->pattern == PATTERN_PRESSING
                     && pattern_is_active (trial->now);
  uint32_t max_retries
      = is_pressing ? MAX_PRESSING_RETRIES : MAX_CLIENT_RETRIES;
  if (request->client_retries++ >= max_retries)
    {
      request->state = REQUEST_REFUSED;
      return;
    }
  cs_time_us_t pause
      = is_pressing
            ? CS_US_PER_MS
            : RETRY_AFTER_US
                  + (cs_time_us_t)(RETRY_AFTER_US
                                   * cs_random_unit (&trial->load.random));
  request->attempts = 0;
  heap_push (&trial->heap, trial->now + pause, EV_CLIENT_RETRY,
             request->engine_request.id);
}

void
trial_send (trial_t *trial, request_t *request)
{
  while (request->attempts < MAX_ATTEMPTS)
    {
      uint32_t source_at;
      uint32_t at = view_choose (
          view_of (trial, request), &request->engine_request,
          request->tried_engines, request->attempts, trial->now, &source_at);
      if (at == UINT32_MAX)
        break;
      request->tried_engines[request->attempts++] = at;
      engine_t *engine = trial->engines[at];
      const engine_t *source
          = source_at == UINT32_MAX ? NULL : trial->engines[source_at];
      if (engine == NULL
          || !engine_submit (engine, &request->engine_request, source,
                             trial->now))
        continue;
      request->engine = at;
      request->sent_at = trial->now;
      view_call_started (view_of (trial, request), at);
      schedule_step (trial, at, engine_advance (engine, trial->now));
      return;
    }
  handle_refusal (trial, request);
}

static void
on_arrival (trial_t *trial, uint32_t kind)
{
  if (trial->request_count == trial->request_capacity)
    {
      size_t capacity
          = trial->request_capacity == 0 ? 4096 : trial->request_capacity * 2;
      request_t *grown
          = reallocarray (trial->requests, capacity, sizeof *grown);
      if (grown == NULL)
        {
          trial->out_of_memory = true;
          return;
        }
      trial->requests = grown;
      trial->request_capacity = capacity;
    }
  request_t *request = &trial->requests[trial->request_count];
  *request = (request_t){ .kind = kind,
                          .arrived_at = trial->now,
                          .engine = UINT32_MAX };
  request->router = (uint32_t)(cs_random_u64 (&trial->load.random)
                               % trial->setup->installation->routers);
  load_draw_request (&trial->load, kind, trial->now, &request->engine_request);
  request->engine_request.id = (uint32_t)trial->request_count++;
  heap_push (&trial->heap,
             trial->now
                 + kind_of (trial, request)->client_timeout_ms * CS_US_PER_MS,
             EV_CLIENT_TIMEOUT, request->engine_request.id);
  heap_push (&trial->heap,
             trial->now
                 + load_next_arrival_us (&trial->load, kind, trial->now),
             EV_ARRIVAL, kind);
  trial_send (trial, request);
}

static void
abandon (trial_t *trial, request_t *request)
{
  if (request->state != REQUEST_OPEN)
    return;
  request->state = REQUEST_ABANDONED;
  if (request->engine == UINT32_MAX)
    return;
  if (request->generated == 0)
    record_first_token (trial, request, trial->now);
  engine_cancel (trial->engines[request->engine], request->engine_request.id);
  view_call_ended (view_of (trial, request), request->engine);
  request->engine = UINT32_MAX;
}

/* Delivers the loads reported at the previous heartbeat, and records the
   current ones.  */
static void
exchange_loads (trial_t *trial)
{
  uint32_t routers = trial->setup->installation->routers;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    {
      uint32_t *row = &trial->reported[at * routers];
      uint32_t sum = 0;
      for (uint32_t i = 0; i < routers; i++)
        sum += row[i];
      for (uint32_t i = 0; i < routers; i++)
        view_update_peer_calls (trial->views[i], at, sum - row[i], trial->now);
      for (uint32_t i = 0; i < routers; i++)
        row[i] = view_in_flight (trial->views[i], at);
    }
  heap_push (&trial->heap, trial->now + HEARTBEAT_US, EV_HEARTBEAT, 0);
}

static void
sample_load_skew (trial_t *trial)
{
  uint32_t sum = 0;
  uint32_t max_calls = 0;
  uint32_t count = 0;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] != NULL)
      {
        uint32_t calls = engine_running (trial->engines[at])
                         + engine_waiting (trial->engines[at]);
        sum += calls;
        count++;
        max_calls = calls > max_calls ? calls : max_calls;
      }
  if (sum > 0 && trial->now >= TRIAL_WARMUP_US && trial->now < TRIAL_END_US)
    trial->load_skews[trial->load_skew_count++]
        = (double)max_calls * count / sum;
  heap_push (&trial->heap, trial->now + SAMPLE_US, EV_SAMPLE, 0);
}

static void
handle_event (trial_t *trial, const event_t *event)
{
  switch (event->kind)
    {
    case EV_ARRIVAL:
      if (trial->now < TRIAL_END_US)
        on_arrival (trial, event->index);
      return;
    case EV_STEP:
      /* The event is stale if the engine has crashed meanwhile.  */
      if (trial->now == trial->step_due_at[event->index]
          && trial->engines[event->index] != NULL)
        schedule_step (
            trial, event->index,
            engine_advance (trial->engines[event->index], trial->now));
      return;
    case EV_CLIENT_RETRY:
      if (trial->requests[event->index].state == REQUEST_OPEN)
        trial_send (trial, &trial->requests[event->index]);
      return;
    case EV_CLIENT_TIMEOUT:
      abandon (trial, &trial->requests[event->index]);
      return;
    case EV_HEARTBEAT:
      exchange_loads (trial);
      return;
    case EV_SAMPLE:
      sample_load_skew (trial);
      return;
    case EV_PATTERN_START:
      changes_on_pattern_start (trial);
      return;
    case EV_PATTERN_END:
      changes_on_pattern_end (trial);
      return;
    case EV_NOTICE_LOST:
      changes_notify_routers (trial, event->index, false);
      return;
    case EV_NOTICE_NEW:
      changes_notify_routers (trial, event->index, true);
      return;
    }
}

static int
set_up (trial_t *trial)
{
  const trial_setup_t *setup = trial->setup;
  const installation_t *installation = setup->installation;
  trial->load = (load_t){ .installation = installation,
                          .pattern = setup->pattern,
                          .scale = setup->scale,
                          .has_priorities = setup->has_priorities,
                          .random = { .seed = setup->seed } };
  trial->reported = calloc ((size_t)MAX_ENGINES * installation->routers,
                            sizeof *trial->reported);
  for (uint32_t i = 0; i < installation->routers; i++)
    {
      trial->views[i]
          = view_create (setup->strategy, &setup->policy,
                         setup->seed * MAX_ROUTERS + i, get_engine, trial);
      if (trial->views[i] == NULL)
        return CS_ERR_NO_MEMORY;
    }
  for (uint32_t at = 0; at < installation->engines; at++)
    {
      changes_start_engine (trial, at);
      changes_notify_routers (trial, at, true);
    }
  for (uint32_t kind = 0; kind < installation->kind_count; kind++)
    heap_push (&trial->heap, load_next_arrival_us (&trial->load, kind, 0),
               EV_ARRIVAL, kind);
  heap_push (&trial->heap, HEARTBEAT_US, EV_HEARTBEAT, 0);
  heap_push (&trial->heap, SAMPLE_US, EV_SAMPLE, 0);
  heap_push (&trial->heap, PATTERN_START_US, EV_PATTERN_START, 0);
  heap_push (&trial->heap, PATTERN_END_US, EV_PATTERN_END, 0);
  return trial->reported == NULL || trial->out_of_memory ? CS_ERR_NO_MEMORY
                                                         : CS_OK;
}

static int
finish_result (trial_t *trial)
{
  trial_result_t *out = trial->result;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] != NULL)
      changes_stop_engine (trial, at);
  uint64_t min_prefill
      = summary_min_prefill (trial->requests, trial->request_count);
  out->shared_prefill_ratio
      = min_prefill == 0
            ? 0
            : (double)trial->prefilled_shared / (double)min_prefill;
  out->load_skew_p50
      = summary_percentile (trial->load_skews, trial->load_skew_count, 0.5);
  out->load_skew_p99
      = summary_percentile (trial->load_skews, trial->load_skew_count, 0.99);
  return summary_of_requests (trial->setup->installation, trial->requests,
                              trial->request_count, out);
}

int
trial_run (const trial_setup_t *setup, trial_result_t *out)
{
  event_t event;
  *out = (trial_result_t){ 0 };
  trial_t *trial = calloc (1, sizeof *trial);
  if (trial == NULL)
    return CS_ERR_NO_MEMORY;
  trial->setup = setup;
  trial->result = out;
  int rc = set_up (trial);
  while (rc == 0 && heap_pop (&trial->heap, &event))
    {
      trial->now = event.at;
      if (event.at >= TRIAL_END_US + TRIAL_DRAIN_US)
        break;
      handle_event (trial, &event);
      if (trial->out_of_memory)
        rc = CS_ERR_NO_MEMORY;
    }
  if (rc == 0)
    rc = finish_result (trial);
  for (uint32_t at = 0; at < MAX_ENGINES; at++)
    engine_destroy (trial->engines[at]);
  for (uint32_t i = 0; i < MAX_ROUTERS; i++)
    view_destroy (trial->views[i]);
  heap_free (&trial->heap);
  free (trial->reported);
  free (trial->requests);
  free (trial);
  return rc;
}
