#include "state.h"

/* Delays until the routers notice a change: a crash breaks their connections,
   a new engine is reported by the platform.  */
#define NOTICE_LOST_US (300 * CS_US_PER_MS)
#define NOTICE_NEW_US (500 * CS_US_PER_MS)

void
changes_start_engine (trial_t *trial, uint32_t at)
{
  trial->engines[at] = engine_create (&trial->setup->installation->engine,
                                      trial_on_engine_event, trial);
  if (trial->engines[at] == NULL)
    trial->out_of_memory = true;
  if (at >= trial->engine_count)
    trial->engine_count = at + 1;
}

void
changes_stop_engine (trial_t *trial, uint32_t at)
{
  const engine_counts_t *counts = engine_counts (trial->engines[at]);
  trial->prefilled_shared += counts->prefilled_shared;
  trial->result->preemptions += counts->preemptions;
  engine_destroy (trial->engines[at]);
  trial->engines[at] = NULL;
  trial->step_due_at[at] = 0;
}

/* Crashes engine AT.  Its requests fail if they have generated tokens, and are
   retried elsewhere otherwise.  */
static void
crash (trial_t *trial, uint32_t at)
{
  changes_stop_engine (trial, at);
  heap_push (&trial->heap, trial->now + NOTICE_LOST_US, EV_NOTICE_LOST, at);
  for (size_t i = 0; i < trial->request_count; i++)
    {
      request_t *request = &trial->requests[i];
      if (request->engine != at || request->state != REQUEST_OPEN)
        continue;
      view_call_ended (trial->views[request->router], at);
      request->engine = UINT32_MAX;
      if (request->generated > 0)
        request->state = REQUEST_FAILED;
      else
        trial_send (trial, request);
    }
}

void
changes_on_pattern_start (trial_t *trial)
{
  uint32_t engines = trial->setup->installation->engines;
  if (trial->setup->pattern == PATTERN_HALF_LOST)
    for (uint32_t at = 0; at < engines / 2; at++)
      crash (trial, at);
  if (trial->setup->pattern == PATTERN_COLD_JOIN)
    for (uint32_t at = engines; at < engines + engines / 3; at++)
      {
        changes_start_engine (trial, at);
        heap_push (&trial->heap, trial->now + NOTICE_NEW_US, EV_NOTICE_NEW,
                   at);
      }
}

void
changes_on_pattern_end (trial_t *trial)
{
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] == NULL)
      {
        changes_start_engine (trial, at);
        heap_push (&trial->heap, trial->now + NOTICE_NEW_US, EV_NOTICE_NEW,
                   at);
      }
}

void
changes_notify_routers (trial_t *trial, uint32_t at, bool is_new)
{
  const installation_t *installation = trial->setup->installation;
  for (uint32_t i = 0; i < installation->routers; i++)
    if (is_new)
      view_add (trial->views[i], at, installation->engine.slots, trial->now);
    else
      view_remove (trial->views[i], at, trial->now);
}
