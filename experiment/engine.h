/* Simulates an inference engine in virtual time, with continuous batching,
   chunked prefill, and memory shared between running requests and cached
   prompt segments.  Steps are computed, not executed, so a policy is evaluated
   within seconds.  */

#ifndef CS_EXPERIMENT_ENGINE_H
#define CS_EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/prompt_context.h"

typedef struct
{
  uint32_t slots;      /* maximum batch size */
  uint32_t max_queued; /* maximum number of waiting requests */
  uint64_t memory;     /* tokens, of running requests and cached segments */
  uint32_t step_us;    /* duration of a step with a batch of one */
  double step_growth;  /* a full batch takes 1 + this times as long */
  double prefill_tokens_per_ms;
  uint32_t prefill_chunk;    /* maximum of prompt tokens in one step */
  double copy_tokens_per_ms; /* from another engine */
} engine_setup_t;

typedef struct
{
  uint32_t id;
  cs_prompt_context_t context;
  uint32_t output;   /* tokens to generate */
  uint32_t priority; /* 0 is the most urgent */
} engine_request_t;

/* Progress of a request.  */
typedef enum
{
  ENGINE_TOKEN, /* another token was generated */
  ENGINE_DONE
} engine_event_t;

typedef void engine_event_fn (void *context, uint32_t id, engine_event_t event,
                              cs_time_us_t now);

typedef struct engine engine_t;

/* SETUP is copied; CONTEXT is borrowed and passed to EVENT.  Returns NULL when
   memory runs out.  */
engine_t *engine_create (const engine_setup_t *setup, engine_event_fn *event,
                         void *context);
void engine_destroy (engine_t *engine);

/* Queues a request.  Segments that are missing here are copied from SOURCE,
   another engine, if it isn't NULL.  Returns false, and drops the request, if
   the queue is full or the request exceeds the memory.  */
bool engine_submit (engine_t *engine, const engine_request_t *request,
                    const engine_t *source, cs_time_us_t now);

/* Drops a request whose client has disconnected.  */
void engine_cancel (engine_t *engine, uint32_t id);

/* Completes the current step if it ends by NOW, and starts the next one.
   Returns the time at which the current step ends, or 0 if the engine is
   idle.  */
cs_time_us_t engine_advance (engine_t *engine, cs_time_us_t now);

uint32_t engine_running (const engine_t *engine);
uint32_t engine_waiting (const engine_t *engine);

/* Returns how many tokens of the shared segments of CONTEXT are cached.  */
uint32_t engine_cached_tokens (const engine_t *engine,
                               const cs_prompt_context_t *context);

/* Estimates the time to first token of a request with CONTEXT that arrives
   now, from the work on this engine.  */
cs_time_us_t
engine_predict_first_token_us (const engine_t *engine,
                               const cs_prompt_context_t *context);

typedef struct
{
  uint64_t prefilled;        /* prompt tokens */
  uint64_t prefilled_shared; /* of shared segments */
  uint64_t copied;           /* tokens copied from other engines */
  uint32_t preemptions;      /* requests moved back to the queue */
  uint32_t refusals;
} engine_counts_t;

const engine_counts_t *engine_counts (const engine_t *engine);

#endif
