/* A model of an engine in virtual time: requests run in batches, step by step;
   prompts are read in chunks between the tokens of others; running requests
   and kept parts share the memory.  It is made of arithmetic alone, so a
   policy is weighed in seconds.  */

#ifndef CS_EXPERIMENT_ENGINE_H
#define CS_EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/prompt_context.h"

typedef struct
{
  uint32_t slots;       /* requests in a batch */
  uint32_t queue_most;  /* requests that wait beside them */
  uint64_t memory;      /* tokens of running requests and kept parts */
  uint32_t step_us;     /* of a batch of one */
  double step_growth;   /* a full batch's step takes 1 + this times as long */
  double read_per_ms;   /* prompt tokens */
  uint32_t chunk;       /* prompt tokens read in one step at most */
  double copied_per_ms; /* tokens of a part copied from another engine */
} engine_setup_t;

typedef struct
{
  uint32_t id;
  cs_prompt_context_t context;
  uint32_t output;   /* tokens to make */
  uint32_t priority; /* 0 is the most urgent */
} engine_request_t;

/* What a request met.  */
typedef enum
{
  ENGINE_TOKEN, /* another token was made */
  ENGINE_DONE
} engine_event_t;

typedef void engine_event_fn (void *context, uint32_t id, engine_event_t event,
                              cs_time_us_t now);

typedef struct engine engine_t;

/* SETUP is copied; CONTEXT is borrowed and goes to EVENT.  Returns NULL
   without memory.  */
engine_t *engine_create (const engine_setup_t *setup, engine_event_fn *event,
                         void *context);
void engine_destroy (engine_t *engine);

/* Takes a request in.  SOURCE, another engine or NULL, is asked for a copy of
   the parts that are missing here.  Returns false when the queue is full or
   the request is larger than the memory: it does not run.  */
bool engine_submit (engine_t *engine, const engine_request_t *request,
                    const engine_t *source, cs_time_us_t now);

/* Drops a request whose caller has gone.  */
void engine_cancel (engine_t *engine, uint32_t id);

/* Ends the step under way, if it is due at NOW, and begins the next one.
   Returns when that ends; 0: the engine is idle.  */
cs_time_us_t engine_advance (engine_t *engine, cs_time_us_t now);

uint32_t engine_running (const engine_t *engine);
uint32_t engine_waiting (const engine_t *engine);

/* Tokens of the shared parts of CONTEXT that need not be read.  */
uint32_t engine_kept (const engine_t *engine,
                      const cs_prompt_context_t *context);

/* Time until a request of CONTEXT that came now would make its first token, as
   far as the work that is here tells.  */
cs_time_us_t engine_predict (const engine_t *engine,
                             const cs_prompt_context_t *context);

typedef struct
{
  uint64_t read;        /* prompt tokens in all */
  uint64_t read_shared; /* those of shared parts */
  uint64_t copied;      /* tokens copied from other engines */
  uint32_t preemptions; /* requests put back for want of memory */
  uint32_t refusals;
} engine_counts_t;

const engine_counts_t *engine_counts (const engine_t *engine);

#endif
