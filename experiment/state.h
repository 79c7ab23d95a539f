/* The state of a run, shared by the files of this folder only.  */

#ifndef CS_EXPERIMENT_STATE_H
#define CS_EXPERIMENT_STATE_H

#include "heap.h"
#include "request.h"
#include "trial.h"

#define ENGINES_MOST 128
#define ROUTERS_MOST 128
#define SAMPLE_US (250 * CS_US_PER_MS)
#define SAMPLES_MOST (TRIAL_END_US / SAMPLE_US + 1)

enum
{
  EV_ARRIVAL, /* of a kind */
  EV_STEP,    /* of an engine */
  EV_RETURN,  /* of a refused caller */
  EV_LEAVE,   /* of a caller that waited too long */
  EV_BEAT,
  EV_SAMPLE,
  EV_CHANGE, /* the pattern begins */
  EV_RESTORE,
  EV_NOTICE_GONE, /* of an engine, by all routers */
  EV_NOTICE_NEW
};

typedef struct
{
  const trial_setup_t *setup;
  trial_result_t *result;
  load_t load;
  heap_t heap;
  cs_time_us_t now;
  view_t *views[ROUTERS_MOST];
  engine_t *engines[ENGINES_MOST];  /* NULL: not there */
  cs_time_us_t steps[ENGINES_MOST]; /* events that are queued; 0: none */
  uint32_t engine_count;
  uint32_t *told; /* calls in flight by router and engine, at the last beat */
  request_t *requests;
  size_t request_count;
  size_t request_capacity;
  double skews[SAMPLES_MOST];
  size_t skew_count;
  uint64_t read_shared;
  bool out_of_memory;
} trial_t;

/* trial.c: sends REQUEST to engines until one takes it, or refuses it.  */
void trial_send (trial_t *trial, request_t *request);
void trial_on_engine_event (void *trial, uint32_t id, engine_event_t event,
                            cs_time_us_t now);

/* changes.c: what happens to engines.  */
void changes_start (trial_t *trial, uint32_t at);
void changes_stop (trial_t *trial, uint32_t at);

/* The pattern begins, and ends.  */
void changes_begin (trial_t *trial);
void changes_end (trial_t *trial);

/* All routers learn that engine AT is there, or gone.  */
void changes_notice (trial_t *trial, uint32_t at, bool is_new);

#endif
