#include "engine.h"

#include <stdlib.h>

#include "parts.h"

/* A request that runs or waits.  */
typedef struct
{
  engine_request_t request;
  uint32_t to_read;       /* prompt tokens left */
  uint32_t reading;       /* of those, in the step under way */
  uint32_t made;          /* tokens */
  cs_time_us_t copied_at; /* copies of its parts are there; 0: none */
  bool has_source;        /* copies what SOURCE_KEPT tells */
  uint32_t source_kept;   /* tokens */
} run_t;

struct engine
{
  engine_setup_t setup;
  engine_event_fn *event;
  void *context;
  run_t *running; /* in order of admission */
  uint32_t running_count;
  run_t *waiting; /* the most urgent first, then in order of arrival */
  uint32_t waiting_count;
  parts_t parts;
  uint64_t own_tokens;    /* of running requests: what they share with none */
  cs_time_us_t step_ends; /* 0: idle */
  cs_time_us_t link_free; /* copies run one after the other */
  engine_counts_t counts;
};

engine_t *
engine_create (const engine_setup_t *setup, engine_event_fn *event,
               void *context)
{
  engine_t *engine = calloc (1, sizeof *engine);
  if (engine == NULL)
    return NULL;
  engine->setup = *setup;
  engine->event = event;
  engine->context = context;
  engine->running = calloc (setup->slots, sizeof *engine->running);
  /* Requests that are put back for want of memory wait beside the queue.  */
  engine->waiting
      = calloc (setup->queue_most + setup->slots, sizeof *engine->waiting);
  if (engine->running == NULL || engine->waiting == NULL)
    {
      engine_destroy (engine);
      return NULL;
    }
  return engine;
}

void
engine_destroy (engine_t *engine)
{
  if (engine == NULL)
    return;
  parts_free (&engine->parts);
  free (engine->running);
  free (engine->waiting);
  free (engine);
}

static uint32_t
prompt_tokens (const engine_request_t *request)
{
  return cs_prompt_context_tokens (&request->context)
         + request->context.own_tokens;
}

/* Puts RUN among the waiting ones of its urgency, before or behind them.  */
static void
enqueue (engine_t *engine, const run_t *run, bool before)
{
  uint32_t at = engine->waiting_count++;
  uint32_t priority = run->request.priority;
  while (
      at > 0
      && (engine->waiting[at - 1].request.priority > priority
          || (before && engine->waiting[at - 1].request.priority == priority)))
    {
      engine->waiting[at] = engine->waiting[at - 1];
      at--;
    }
  engine->waiting[at] = *run;
}

bool
engine_submit (engine_t *engine, const engine_request_t *request,
               const engine_t *source, cs_time_us_t now)
{
  if (engine->waiting_count >= engine->setup.queue_most
      || prompt_tokens (request) + request->output > engine->setup.memory)
    {
      engine->counts.refusals++;
      return false;
    }
  run_t run = { .request = *request };
  if (source != NULL)
    {
      run.has_source = true;
      run.source_kept = engine_kept (source, &request->context);
    }
  enqueue (engine, &run, false);
  if (engine->step_ends == 0)
    engine->step_ends = now;
  return true;
}

static void
remove_from (run_t *list, uint32_t *count, uint32_t at)
{
  for (uint32_t i = at; i + 1 < *count; i++)
    list[i] = list[i + 1];
  (*count)--;
}

/* Takes a running request out of the batch.  */
static void
leave_batch (engine_t *engine, uint32_t at)
{
  run_t *run = &engine->running[at];
  engine->own_tokens -= run->request.context.own_tokens + run->made;
  parts_leave (&engine->parts, &run->request.context);
  remove_from (engine->running, &engine->running_count, at);
}

void
engine_cancel (engine_t *engine, uint32_t id)
{
  for (uint32_t i = 0; i < engine->waiting_count; i++)
    if (engine->waiting[i].request.id == id)
      {
        remove_from (engine->waiting, &engine->waiting_count, i);
        return;
      }
  for (uint32_t i = 0; i < engine->running_count; i++)
    if (engine->running[i].request.id == id)
      {
        leave_batch (engine, i);
        return;
      }
}

/* Puts the first waiting request into the batch.  */
static void
admit_first (engine_t *engine, cs_time_us_t now)
{
  run_t *run = &engine->running[engine->running_count++];
  *run = engine->waiting[0];
  remove_from (engine->waiting, &engine->waiting_count, 0);
  const cs_prompt_context_t *context = &run->request.context;
  uint32_t shared = cs_prompt_context_tokens (context);
  uint32_t kept = parts_ready (&engine->parts, context);
  run->copied_at = 0;
  if (run->has_source && run->source_kept > kept)
    {
      uint32_t copied = run->source_kept - kept;
      cs_time_us_t from = engine->link_free > now ? engine->link_free : now;
      engine->link_free = from
                          + (cs_time_us_t)(copied * CS_US_PER_MS
                                           / engine->setup.copied_per_ms);
      run->copied_at = engine->link_free;
      engine->counts.copied += copied;
      kept = run->source_kept;
    }
  engine->counts.read_shared += shared - kept;
  /* What was made before it was put back is read again as well.  */
  run->to_read = shared - kept + context->own_tokens + run->made;
  parts_enter (&engine->parts, context);
  if (run->to_read == 0)
    parts_read (&engine->parts, context);
  engine->own_tokens += context->own_tokens + run->made;
}

static bool
fits (engine_t *engine)
{
  uint64_t memory = engine->setup.memory;
  uint64_t left
      = memory > engine->own_tokens ? memory - engine->own_tokens : 0;
  return parts_shrink (&engine->parts, left) && engine->own_tokens <= memory;
}

/* The newest of the least urgent running requests.  */
static uint32_t
least_urgent (const engine_t *engine)
{
  uint32_t found = 0;
  for (uint32_t i = 1; i < engine->running_count; i++)
    if (engine->running[i].request.priority
        >= engine->running[found].request.priority)
      found = i;
  return found;
}

static void
put_back (engine_t *engine, uint32_t at)
{
  run_t run = engine->running[at];
  leave_batch (engine, at);
  enqueue (engine, &run, true);
  engine->counts.preemptions++;
}

/* Puts requests back until the others fit.  */
static void
make_room (engine_t *engine)
{
  while (!fits (engine) && engine->running_count > 1)
    put_back (engine, least_urgent (engine));
}

/* Whether the batch is full and the first waiting request is more urgent than
   one of it.  */
static bool
first_displaces (const engine_t *engine)
{
  uint32_t at = least_urgent (engine);
  return engine->running_count == engine->setup.slots
         && engine->waiting[0].request.priority
                < engine->running[at].request.priority;
}

/* Whether the first waiting request fits beside the running ones.  */
static bool
first_fits (engine_t *engine)
{
  const engine_request_t *first = &engine->waiting[0].request;
  uint64_t needed
      = engine->own_tokens + prompt_tokens (first) + engine->waiting[0].made;
  return engine->running_count == 0 || needed <= engine->setup.memory;
}

static double
step_length (const engine_t *engine, uint32_t making, uint32_t reading)
{
  const engine_setup_t *setup = &engine->setup;
  double growth = setup->step_growth * making / setup->slots;
  return setup->step_us * (1 + growth)
         + reading * CS_US_PER_MS / setup->read_per_ms;
}

/* Plans the next step and sets when it ends.  */
static void
begin_step (engine_t *engine, cs_time_us_t now)
{
  uint32_t making = 0;
  uint32_t reading = 0;
  cs_time_us_t copy_ends = 0;
  while (engine->waiting_count > 0)
    {
      if (first_displaces (engine))
        put_back (engine, least_urgent (engine));
      if (engine->running_count == engine->setup.slots || !first_fits (engine))
        break;
      admit_first (engine, now);
    }
  make_room (engine);
  for (uint32_t i = 0; i < engine->running_count; i++)
    {
      run_t *run = &engine->running[i];
      run->reading = 0;
      if (run->copied_at > now)
        {
          if (copy_ends == 0 || run->copied_at < copy_ends)
            copy_ends = run->copied_at;
          continue;
        }
      if (run->to_read == 0)
        {
          making++;
          continue;
        }
      uint32_t left = engine->setup.chunk - reading;
      run->reading = run->to_read < left ? run->to_read : left;
      reading += run->reading;
    }
  if (engine->running_count == 0)
    engine->step_ends = 0;
  else if (making == 0 && reading == 0)
    engine->step_ends = copy_ends;
  else
    engine->step_ends
        = now + (cs_time_us_t)step_length (engine, making, reading);
}

/* Ends the step for the request at AT; returns whether it is done.  */
static bool
end_step_of (engine_t *engine, uint32_t at, cs_time_us_t now)
{
  run_t *run = &engine->running[at];
  if (run->copied_at > now)
    return false;
  if (run->to_read > 0)
    {
      run->to_read -= run->reading;
      engine->counts.read += run->reading;
      if (run->to_read == 0)
        parts_read (&engine->parts, &run->request.context);
      run->reading = 0;
      return false;
    }
  run->made++;
  engine->own_tokens++;
  engine->event (engine->context, run->request.id, ENGINE_TOKEN, now);
  return run->made >= run->request.output;
}

static void
end_step (engine_t *engine, cs_time_us_t now)
{
  for (uint32_t i = 0; i < engine->running_count;)
    {
      uint32_t id = engine->running[i].request.id;
      if (!end_step_of (engine, i, now))
        {
          i++;
          continue;
        }
      leave_batch (engine, i);
      engine->event (engine->context, id, ENGINE_DONE, now);
    }
}

cs_time_us_t
engine_advance (engine_t *engine, cs_time_us_t now)
{
  if (engine->step_ends == 0 || now < engine->step_ends)
    return engine->step_ends;
  end_step (engine, now);
  begin_step (engine, now);
  return engine->step_ends;
}

uint32_t
engine_running (const engine_t *engine)
{
  return engine->running_count;
}

uint32_t
engine_waiting (const engine_t *engine)
{
  return engine->waiting_count;
}

uint32_t
engine_kept (const engine_t *engine, const cs_prompt_context_t *context)
{
  return parts_ready (&engine->parts, context);
}

cs_time_us_t
engine_predict (const engine_t *engine, const cs_prompt_context_t *context)
{
  const engine_setup_t *setup = &engine->setup;
  uint64_t to_read = cs_prompt_context_tokens (context) + context->own_tokens
                     - engine_kept (engine, context);
  for (uint32_t i = 0; i < engine->running_count; i++)
    to_read += engine->running[i].to_read;
  for (uint32_t i = 0; i < engine->waiting_count; i++)
    to_read += prompt_tokens (&engine->waiting[i].request);
  double steps = (double)to_read / setup->chunk + 1;
  double wait = steps * step_length (engine, engine->running_count, 0)
                + (double)to_read * CS_US_PER_MS / setup->read_per_ms;
  /* Without a free slot, those before it have to end first: about a step for
     each token of the mean request, shared by the slots.  */
  if (engine->running_count >= setup->slots)
    {
      uint64_t left = 0;
      for (uint32_t i = 0; i < engine->running_count; i++)
        left += engine->running[i].request.output - engine->running[i].made;
      wait += (double)(left * (engine->waiting_count + 1))
              / ((double)setup->slots * setup->slots)
              * step_length (engine, setup->slots, 0);
    }
  return (cs_time_us_t)wait;
}

const engine_counts_t *
engine_counts (const engine_t *engine)
{
  return &engine->counts;
}
