/* State of a trial, private to this folder.  */

#ifndef CS_EXPERIMENT_STATE_H
#define CS_EXPERIMENT_STATE_H

#include "heap.h"
#include "request.h"
#include "trial.h"

#define MAX_ENGINES 128
#define MAX_ROUTERS 128
#define SAMPLE_US (250 * CS_US_PER_MS)
#define MAX_SAMPLES (TRIAL_END_US / SAMPLE_US + 1)

enum
{
  EV_ARRIVAL,        /* of a request; index: kind */
  EV_STEP,           /* end of a step; index: engine */
  EV_CLIENT_RETRY,   /* of a refused request; index: request */
  EV_CLIENT_TIMEOUT, /* index: request */
  EV_HEARTBEAT,
  EV_SAMPLE,
  EV_PATTERN_START,
  EV_PATTERN_END,
  EV_NOTICE_LOST, /* routers notice a lost engine; index: engine */
  EV_NOTICE_NEW
};

typedef struct
{
  const trial_setup_t *setup;
  trial_result_t *result;
  load_t load;
  heap_t heap;
  cs_time_us_t now;
  view_t *views[MAX_ROUTERS];
  engine_t *engines[MAX_ENGINES];        /* NULL: not running */
  cs_time_us_t step_due_at[MAX_ENGINES]; /* 0: no EV_STEP queued */
  uint32_t engine_count;
  uint32_t *reported; /* per engine and router: calls in flight at the last
                         heartbeat */
  request_t *requests;
  size_t request_count;
  size_t request_capacity;
  double load_skews[MAX_SAMPLES];
  size_t load_skew_count;
  uint64_t prefilled_shared;
  bool out_of_memory;
} trial_t;

/* trial.c: sends REQUEST to one engine after the other until one accepts it;
   refuses it if none does.  */
void trial_send (trial_t *trial, request_t *request);
void trial_on_engine_event (void *trial, uint32_t id, engine_event_t event,
                            cs_time_us_t now);

/* changes.c: engines that start, stop and crash.  */
void changes_start_engine (trial_t *trial, uint32_t at);
void changes_stop_engine (trial_t *trial, uint32_t at);

void changes_on_pattern_start (trial_t *trial);
void changes_on_pattern_end (trial_t *trial);

/* Adds engine AT to the views of all routers, or removes it.  */
void changes_notify_routers (trial_t *trial, uint32_t at, bool is_new);

#endif
