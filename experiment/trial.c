#include "trial.h"

#include <stdlib.h>

#include "common/error.h"
#include "state.h"
#include "summary.h"

/* Routers tell each other their calls this often, and act on what was told
   one beat before.  */
#define BEAT_US (300 * CS_US_PER_MS)
/* A refused caller comes back once after this, doubled at most by chance.  */
#define RETRY_AFTER_US (400 * CS_US_PER_MS)
#define RETURNS_MOST 1
#define PRESSING_RETURNS_MOST 5

static const engine_t *
true_engine (void *context, uint32_t at)
{
  const trial_t *trial = context;
  return trial->engines[at];
}

static const kind_t *
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
  if (when != 0 && when != trial->steps[at])
    heap_push (&trial->heap, when, EV_STEP, at);
  trial->steps[at] = when;
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
      if (request->made == 0)
        view_load (view, request->engine, engine_running (engine),
                   engine_waiting (engine), now);
      request_take_token (request, kind_of (trial, request), now);
      return;
    }
  view_end (view, request->engine);
  request->engine = UINT32_MAX;
  request->state = REQUEST_DONE;
}

static void
refuse (trial_t *trial, request_t *request)
{
  bool presses = trial->setup->pattern == PATTERN_PRESSING
                 && pattern_is_on (trial->now);
  uint32_t most = presses ? PRESSING_RETURNS_MOST : RETURNS_MOST;
  if (request->returns++ >= most)
    {
      request->state = REQUEST_REFUSED;
      return;
    }
  cs_time_us_t pause
      = presses ? CS_US_PER_MS
                : RETRY_AFTER_US
                      + (cs_time_us_t)(RETRY_AFTER_US
                                       * cs_random_unit (&trial->load.random));
  request->tries = 0;
  heap_push (&trial->heap, trial->now + pause, EV_RETURN, request->ask.id);
}

/* Sends REQUEST to engines until one takes it.  */
void
trial_send (trial_t *trial, request_t *request)
{
  while (request->tries < TRIES_MOST)
    {
      uint32_t source;
      uint32_t at
          = view_choose (view_of (trial, request), &request->ask,
                         request->tried, request->tries, trial->now, &source);
      if (at == UINT32_MAX)
        break;
      request->tried[request->tries++] = at;
      engine_t *engine = trial->engines[at];
      const engine_t *from
          = source == UINT32_MAX ? NULL : trial->engines[source];
      if (engine == NULL
          || !engine_submit (engine, &request->ask, from, trial->now))
        continue;
      request->engine = at;
      view_begin (view_of (trial, request), at);
      schedule_step (trial, at, engine_advance (engine, trial->now));
      return;
    }
  refuse (trial, request);
}

static void
arrive (trial_t *trial, uint32_t kind)
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
                          .arrived = trial->now,
                          .engine = UINT32_MAX };
  request->router = (uint32_t)(cs_random_u64 (&trial->load.random)
                               % trial->setup->installation->routers);
  load_draw (&trial->load, kind, trial->now, &request->ask);
  request->ask.id = (uint32_t)trial->request_count++;
  heap_push (&trial->heap,
             trial->now + kind_of (trial, request)->limit_ms * CS_US_PER_MS,
             EV_LEAVE, request->ask.id);
  heap_push (&trial->heap,
             trial->now + load_next_us (&trial->load, kind, trial->now),
             EV_ARRIVAL, kind);
  trial_send (trial, request);
}

static void
leave (trial_t *trial, request_t *request)
{
  if (request->state != REQUEST_OPEN)
    return;
  request->state = REQUEST_LEFT;
  if (request->engine == UINT32_MAX)
    return;
  engine_cancel (trial->engines[request->engine], request->ask.id);
  view_end (view_of (trial, request), request->engine);
  request->engine = UINT32_MAX;
}

/* What was told at the last beat is acted upon, and the next is told.  */
static void
beat (trial_t *trial)
{
  uint32_t routers = trial->setup->installation->routers;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    {
      uint32_t *row = &trial->told[at * routers];
      uint32_t sum = 0;
      for (uint32_t i = 0; i < routers; i++)
        sum += row[i];
      for (uint32_t i = 0; i < routers; i++)
        view_peers (trial->views[i], at, sum - row[i], trial->now);
      for (uint32_t i = 0; i < routers; i++)
        row[i] = view_in_flight (trial->views[i], at);
    }
  heap_push (&trial->heap, trial->now + BEAT_US, EV_BEAT, 0);
}

static void
sample (trial_t *trial)
{
  uint32_t sum = 0;
  uint32_t most = 0;
  uint32_t count = 0;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] != NULL)
      {
        uint32_t calls = engine_running (trial->engines[at])
                         + engine_waiting (trial->engines[at]);
        sum += calls;
        count++;
        most = calls > most ? calls : most;
      }
  if (sum > 0 && trial->now >= TRIAL_WARM_US && trial->now < TRIAL_END_US)
    trial->skews[trial->skew_count++] = (double)most * count / sum;
  heap_push (&trial->heap, trial->now + SAMPLE_US, EV_SAMPLE, 0);
}

static void
handle (trial_t *trial, const event_t *event)
{
  switch (event->kind)
    {
    case EV_ARRIVAL:
      if (trial->now < TRIAL_END_US)
        arrive (trial, event->index);
      return;
    case EV_STEP:
      /* Of an engine that has crashed since, perhaps.  */
      if (trial->now == trial->steps[event->index]
          && trial->engines[event->index] != NULL)
        schedule_step (
            trial, event->index,
            engine_advance (trial->engines[event->index], trial->now));
      return;
    case EV_RETURN:
      if (trial->requests[event->index].state == REQUEST_OPEN)
        trial_send (trial, &trial->requests[event->index]);
      return;
    case EV_LEAVE:
      leave (trial, &trial->requests[event->index]);
      return;
    case EV_BEAT:
      beat (trial);
      return;
    case EV_SAMPLE:
      sample (trial);
      return;
    case EV_CHANGE:
      changes_begin (trial);
      return;
    case EV_RESTORE:
      changes_end (trial);
      return;
    case EV_NOTICE_GONE:
      changes_notice (trial, event->index, false);
      return;
    case EV_NOTICE_NEW:
      changes_notice (trial, event->index, true);
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
  trial->told = calloc ((size_t)ENGINES_MOST * installation->routers,
                        sizeof *trial->told);
  for (uint32_t i = 0; i < installation->routers; i++)
    {
      trial->views[i]
          = view_create (setup->way, &setup->policy,
                         setup->seed * ROUTERS_MOST + i, true_engine, trial);
      if (trial->views[i] == NULL)
        return CS_ERR_NO_MEMORY;
    }
  for (uint32_t at = 0; at < installation->engines; at++)
    {
      changes_start (trial, at);
      changes_notice (trial, at, true);
    }
  for (uint32_t kind = 0; kind < installation->kind_count; kind++)
    heap_push (&trial->heap, load_next_us (&trial->load, kind, 0), EV_ARRIVAL,
               kind);
  heap_push (&trial->heap, BEAT_US, EV_BEAT, 0);
  heap_push (&trial->heap, SAMPLE_US, EV_SAMPLE, 0);
  heap_push (&trial->heap, PATTERN_FROM_US, EV_CHANGE, 0);
  heap_push (&trial->heap, PATTERN_TO_US, EV_RESTORE, 0);
  return trial->told == NULL || trial->out_of_memory ? CS_ERR_NO_MEMORY
                                                     : CS_OK;
}

static int
sum_up (trial_t *trial)
{
  trial_result_t *out = trial->result;
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] != NULL)
      changes_stop (trial, at);
  uint64_t least = summary_least_read (trial->requests, trial->request_count);
  out->read_again
      = least == 0 ? 0 : (double)trial->read_shared / (double)least;
  out->skew_p50 = summary_percentile (trial->skews, trial->skew_count, 0.5);
  out->skew_p99 = summary_percentile (trial->skews, trial->skew_count, 0.99);
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
      handle (trial, &event);
      if (trial->out_of_memory)
        rc = CS_ERR_NO_MEMORY;
    }
  if (rc == 0)
    rc = sum_up (trial);
  for (uint32_t at = 0; at < ENGINES_MOST; at++)
    engine_destroy (trial->engines[at]);
  for (uint32_t i = 0; i < ROUTERS_MOST; i++)
    view_destroy (trial->views[i]);
  heap_free (&trial->heap);
  free (trial->told);
  free (trial->requests);
  free (trial);
  return rc;
}
