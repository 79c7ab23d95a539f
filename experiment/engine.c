#include "engine.h"

#include <stdlib.h>

#include "prefix_cache.h"

/* A running or waiting request.  */
typedef struct
{
  engine_request_t request;
  uint32_t prefill_left;     /* prompt tokens left to prefill */
  uint32_t prefilling;       /* of those, tokens in the current step */
  uint32_t generated;        /* output tokens */
  cs_time_us_t copy_done_at; /* when its copied segments arrive; 0: none */
  bool has_source;           /* copies segments from another engine */
  uint32_t source_cached;    /* tokens that the other engine has cached */
} job_t;

struct engine
{
  engine_setup_t setup;
  engine_event_fn *event;
  void *context;
  job_t *running; /* in admission order */
  uint32_t running_count;
  job_t *waiting; /* by priority, then in arrival order */
  uint32_t waiting_count;
  prefix_cache_t cache;
  uint64_t own_tokens;       /* unshared tokens of all running requests */
  cs_time_us_t step_ends_at; /* 0: idle */
  cs_time_us_t link_free_at; /* copies are transferred one at a time */
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
  /* Preempted requests don't count towards max_queued.  */
  engine->waiting
      = calloc (setup->max_queued + setup->slots, sizeof *engine->waiting);
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
  prefix_cache_free (&engine->cache);
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

/* Inserts JOB before or behind the waiting jobs of its priority.  */
static void
enqueue (engine_t *engine, const job_t *job, bool before)
{
  uint32_t at = engine->waiting_count++;
  uint32_t priority = job->request.priority;
  while (
      at > 0
      && (engine->waiting[at - 1].request.priority > priority
          || (before && engine->waiting[at - 1].request.priority == priority)))
    {
      engine->waiting[at] = engine->waiting[at - 1];
      at--;
    }
  engine->waiting[at] = *job;
}

bool
engine_submit (engine_t *engine, const engine_request_t *request,
               const engine_t *source, cs_time_us_t now)
{
  if (engine->waiting_count >= engine->setup.max_queued
      || prompt_tokens (request) + request->output > engine->setup.memory)
    {
      engine->counts.refusals++;
      return false;
    }
  job_t job = { .request = *request };
  if (source != NULL)
    {
      job.has_source = true;
      job.source_cached = engine_cached_tokens (source, &request->context);
    }
  enqueue (engine, &job, false);
  if (engine->step_ends_at == 0)
    engine->step_ends_at = now;
  return true;
}

static void
remove_from (job_t *list, uint32_t *count, uint32_t at)
{
  for (uint32_t i = at; i + 1 < *count; i++)
    list[i] = list[i + 1];
  (*count)--;
}

static void
remove_from_batch (engine_t *engine, uint32_t at)
{
  job_t *job = &engine->running[at];
  engine->own_tokens -= job->request.context.own_tokens + job->generated;
  prefix_cache_release (&engine->cache, &job->request.context);
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
        remove_from_batch (engine, i);
        return;
      }
}

/* Moves the first waiting request into the batch.  */
static void
admit_first (engine_t *engine, cs_time_us_t now)
{
  job_t *job = &engine->running[engine->running_count++];
  *job = engine->waiting[0];
  remove_from (engine->waiting, &engine->waiting_count, 0);
  const cs_prompt_context_t *context = &job->request.context;
  uint32_t shared = cs_prompt_context_tokens (context);
  uint32_t cached = prefix_cache_ready_tokens (&engine->cache, context);
  job->copy_done_at = 0;
  if (job->has_source && job->source_cached > cached)
    {
      uint32_t copied = job->source_cached - cached;
      cs_time_us_t copy_start
          = engine->link_free_at > now ? engine->link_free_at : now;
      engine->link_free_at
          = copy_start
            + (cs_time_us_t)(copied * CS_US_PER_MS
                             / engine->setup.copy_tokens_per_ms);
      job->copy_done_at = engine->link_free_at;
      engine->counts.copied += copied;
      cached = job->source_cached;
    }
  engine->counts.prefilled_shared += shared - cached;
  /* After a preemption, the tokens generated before it are prefilled
     again.  */
  job->prefill_left = shared - cached + context->own_tokens + job->generated;
  prefix_cache_acquire (&engine->cache, context);
  if (job->prefill_left == 0)
    prefix_cache_mark_ready (&engine->cache, context);
  engine->own_tokens += context->own_tokens + job->generated;
}

static bool
fits (engine_t *engine)
{
  uint64_t memory = engine->setup.memory;
  uint64_t left
      = memory > engine->own_tokens ? memory - engine->own_tokens : 0;
  return prefix_cache_evict (&engine->cache, left)
         && engine->own_tokens <= memory;
}

/* Returns the newest of the least urgent running requests.  */
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
preempt (engine_t *engine, uint32_t at)
{
  job_t job = engine->running[at];
  remove_from_batch (engine, at);
  enqueue (engine, &job, true);
  engine->counts.preemptions++;
}

/* Preempts requests until the others fit in memory.  */
static void
preempt_until_fit (engine_t *engine)
{
  while (!fits (engine) && engine->running_count > 1)
    preempt (engine, least_urgent (engine));
}

/* Whether the batch is full and holds a less urgent request than the first
   waiting one.  */
static bool
first_preempts (const engine_t *engine)
{
  uint32_t at = least_urgent (engine);
  return engine->running_count == engine->setup.slots
         && engine->waiting[0].request.priority
                < engine->running[at].request.priority;
}

/* Whether the first waiting request fits in memory beside the running
   ones.  */
static bool
first_fits (engine_t *engine)
{
  const engine_request_t *first = &engine->waiting[0].request;
  uint64_t needed = engine->own_tokens + prompt_tokens (first)
                    + engine->waiting[0].generated;
  return engine->running_count == 0 || needed <= engine->setup.memory;
}

static double
step_duration_us (const engine_t *engine, uint32_t decoding,
                  uint32_t prefilling)
{
  const engine_setup_t *setup = &engine->setup;
  double growth = setup->step_growth * decoding / setup->slots;
  return setup->step_us * (1 + growth)
         + prefilling * CS_US_PER_MS / setup->prefill_tokens_per_ms;
}

/* Admits waiting requests, plans the next step and sets its end.  */
static void
begin_step (engine_t *engine, cs_time_us_t now)
{
  uint32_t decoding = 0;
  uint32_t prefilling = 0;
  cs_time_us_t copy_ends = 0;
  while (engine->waiting_count > 0)
    {
      if (first_preempts (engine))
        preempt (engine, least_urgent (engine));
      if (engine->running_count == engine->setup.slots || !first_fits (engine))
        break;
      admit_first (engine, now);
    }
  preempt_until_fit (engine);
  for (uint32_t i = 0; i < engine->running_count; i++)
    {
      job_t *job = &engine->running[i];
      job->prefilling = 0;
      if (job->copy_done_at > now)
        {
          if (copy_ends == 0 || job->copy_done_at < copy_ends)
            copy_ends = job->copy_done_at;
          continue;
        }
      if (job->prefill_left == 0)
        {
          decoding++;
          continue;
        }
      uint32_t left = engine->setup.prefill_chunk - prefilling;
      job->prefilling = job->prefill_left < left ? job->prefill_left : left;
      prefilling += job->prefilling;
    }
  if (engine->running_count == 0)
    engine->step_ends_at = 0;
  else if (decoding == 0 && prefilling == 0)
    engine->step_ends_at = copy_ends;
  else
    engine->step_ends_at
        = now + (cs_time_us_t)step_duration_us (engine, decoding, prefilling);
}

/* Completes the step for the request at AT; returns whether the request is
   done.  */
static bool
end_step_of (engine_t *engine, uint32_t at, cs_time_us_t now)
{
  job_t *job = &engine->running[at];
  if (job->copy_done_at > now)
    return false;
  if (job->prefill_left > 0)
    {
      job->prefill_left -= job->prefilling;
      engine->counts.prefilled += job->prefilling;
      if (job->prefill_left == 0)
        prefix_cache_mark_ready (&engine->cache, &job->request.context);
      job->prefilling = 0;
      return false;
    }
  job->generated++;
  engine->own_tokens++;
  engine->event (engine->context, job->request.id, ENGINE_TOKEN, now);
  return job->generated >= job->request.output;
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
      remove_from_batch (engine, i);
      engine->event (engine->context, id, ENGINE_DONE, now);
    }
}

cs_time_us_t
engine_advance (engine_t *engine, cs_time_us_t now)
{
  if (engine->step_ends_at == 0 || now < engine->step_ends_at)
    return engine->step_ends_at;
  end_step (engine, now);
  begin_step (engine, now);
  return engine->step_ends_at;
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
engine_cached_tokens (const engine_t *engine,
                      const cs_prompt_context_t *context)
{
  return prefix_cache_ready_tokens (&engine->cache, context);
}

cs_time_us_t
engine_predict_first_token_us (const engine_t *engine,
                               const cs_prompt_context_t *context)
{
  const engine_setup_t *setup = &engine->setup;
  uint64_t prefill_left = cs_prompt_context_tokens (context)
                          + context->own_tokens
                          - engine_cached_tokens (engine, context);
  for (uint32_t i = 0; i < engine->running_count; i++)
    prefill_left += engine->running[i].prefill_left;
  for (uint32_t i = 0; i < engine->waiting_count; i++)
    prefill_left += prompt_tokens (&engine->waiting[i].request);
  double steps = (double)prefill_left / setup->prefill_chunk + 1;
  double wait
      = steps * step_duration_us (engine, engine->running_count, 0)
        + (double)prefill_left * CS_US_PER_MS / setup->prefill_tokens_per_ms;
  /* Without a free slot, the requests ahead must finish first.  That takes
     about one step per remaining token of an average request, divided by the
     number of slots.  */
  if (engine->running_count >= setup->slots)
    {
      uint64_t left = 0;
      for (uint32_t i = 0; i < engine->running_count; i++)
        left += engine->running[i].request.output
                - engine->running[i].generated;
      wait += (double)(left * (engine->waiting_count + 1))
              / ((double)setup->slots * setup->slots)
              * step_duration_us (engine, setup->slots, 0);
    }
  return (cs_time_us_t)wait;
}

const engine_counts_t *
engine_counts (const engine_t *engine)
{
  return &engine->counts;
}
