#include "state.h"

/* A crash is noticed by broken connections, a new engine by the platform's
   news.  */
#define NOTICE_GONE_US (300 * CS_US_PER_MS)
#define NOTICE_NEW_US (500 * CS_US_PER_MS)

void
changes_start (trial_t *trial, uint32_t at)
{
  trial->engines[at] = engine_create (&trial->setup->installation->engine,
                                      trial_on_engine_event, trial);
  if (trial->engines[at] == NULL)
    trial->out_of_memory = true;
  if (at >= trial->engine_count)
    trial->engine_count = at + 1;
}

void
changes_stop (trial_t *trial, uint32_t at)
{
  const engine_counts_t *counts = engine_counts (trial->engines[at]);
  trial->read_shared += counts->read_shared;
  trial->result->preemptions += counts->preemptions;
  engine_destroy (trial->engines[at]);
  trial->engines[at] = NULL;
  trial->steps[at] = 0;
}

/* Engine AT crashes: what has not begun to answer is tried elsewhere.  */
static void
crash (trial_t *trial, uint32_t at)
{
  changes_stop (trial, at);
  heap_push (&trial->heap, trial->now + NOTICE_GONE_US, EV_NOTICE_GONE, at);
  for (size_t i = 0; i < trial->request_count; i++)
    {
      request_t *request = &trial->requests[i];
      if (request->engine != at || request->state != REQUEST_OPEN)
        continue;
      view_end (trial->views[request->router], at);
      request->engine = UINT32_MAX;
      if (request->made > 0)
        request->state = REQUEST_FAILED;
      else
        trial_send (trial, request);
    }
}

void
changes_begin (trial_t *trial)
{
  uint32_t engines = trial->setup->installation->engines;
  if (trial->setup->pattern == PATTERN_HALF_LOST)
    for (uint32_t at = 0; at < engines / 2; at++)
      crash (trial, at);
  if (trial->setup->pattern == PATTERN_COLD_JOIN)
    for (uint32_t at = engines; at < engines + engines / 3; at++)
      {
        changes_start (trial, at);
        heap_push (&trial->heap, trial->now + NOTICE_NEW_US, EV_NOTICE_NEW,
                   at);
      }
}

void
changes_end (trial_t *trial)
{
  for (uint32_t at = 0; at < trial->engine_count; at++)
    if (trial->engines[at] == NULL)
      {
        changes_start (trial, at);
        heap_push (&trial->heap, trial->now + NOTICE_NEW_US, EV_NOTICE_NEW,
                   at);
      }
}

void
changes_notice (trial_t *trial, uint32_t at, bool is_new)
{
  const installation_t *installation = trial->setup->installation;
  for (uint32_t i = 0; i < installation->routers; i++)
    if (is_new)
      view_add (trial->views[i], at, installation->engine.slots, trial->now);
    else
      view_remove (trial->views[i], at, trial->now);
}
