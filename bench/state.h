/* The state of a run, shared by the files of this folder only.  */

#ifndef CS_BENCH_STATE_H
#define CS_BENCH_STATE_H

#include "world.h"

#include "cache.h"
#include "cranberrystile/eject.h"
#include "cranberrystile/retry.h"
#include "heap.h"

#define ORGANISATIONS 10
#define SERVICE_MEAN_S 16.0
#define NEW_CHAT_SHARE 0.1
#define TURN_TOKENS 500
#define BURST_FACTOR 10.0
#define BURST_S 20
#define WAIT_MOST_US (30 * CS_US_PER_S)
#define TICK_US (2 * CS_US_PER_MS)
#define TRIES_MOST 3
#define HEARTBEATS_PER_S 4
#define FRAME_HEAD_BYTES 4

/* A joined engine counts in the true mean this long after a router has learned
   of it: the time in which that router's word reaches the owner.  */
#define WORD_US (5 * CS_US_PER_MS)

enum
{
  EV_ARRIVAL,
  EV_ASK,     /* at the owner */
  EV_CALL,    /* at the engine */
  EV_END,     /* at the engine */
  EV_RELEASE, /* at the owner */
  EV_SAMPLE,
  EV_REFRESH, /* of the baselines' views */
  EV_TICK,
  EV_REPLACE, /* an engine is replaced by a cold one */
  EV_FLAP,
  EV_LEARN_GONE, /* the owner learns that an engine is away */
  EV_LEARN_BACK,
  EV_BACK,
  EV_COUNTS, /* the engine counts in the true mean */
  EV_FAIL,
  EV_OWNER_LOST,
  EV_SWITCH, /* a router hands over to the new owner */
  EV_STOP
};

typedef struct
{
  uint32_t tokens; /* context at its last call, 0 before the first */
  uint32_t organisation;
} chat_t;

typedef struct
{
  uint64_t id;
  uint32_t running;
  uint32_t epoch; /* rises with each restart; older calls are void */
  bool up;
  bool counted; /* in the true mean */
  bool failing; /* refuses connections, but is believed live */
  cache_t *cache;
  cs_eject_t eject;
} engine_t;

typedef struct
{
  bool used;
  uint32_t chat;
  uint32_t router;
  uint32_t engine;
  uint32_t epoch;
  uint32_t tries;
  cs_avoid_list_t avoid;
  uint64_t serial; /* the call's id towards the owner */
  cs_time_us_t ends;
  cs_time_us_t arrived;
  bool granted;
  bool at_engine;
  bool asked;
} call_t;

typedef struct
{
  setup_t setup;
  result_t *result;
  heap_t heap;
  cs_time_us_t now;
  cs_time_us_t warm;
  cs_time_us_t end;
  cs_random_t random;
  engine_t *engines;
  cs_owner_t **owners; /* one, or one a router for the baselines */
  uint32_t owner_count;
  cs_owner_t *old_owner;
  bool *switched;             /* routers that ask the new owner */
  cs_retry_budget_t *budgets; /* one a router */
  chat_t *chats;
  uint32_t chat_count;
  uint32_t chat_capacity;
  call_t *calls;
  uint32_t call_count;
  uint32_t call_capacity;
  uint32_t *free_calls;
  uint32_t free_count;
  uint64_t serial;
  cache_t *best_cache;
  uint64_t could, found, best_found;
  double *samples;
  uint32_t sample_count;
  double *waits;
  uint32_t wait_count;
  uint32_t wait_capacity;
  double *bytes; /* control bytes of each router */
  uint64_t place_cpu_us;
  uint64_t place_count;
} world_t;

/* world.c: what happens to calls.  */
bool world_is_ours (const world_t *world);
bool world_is_measured (const world_t *world);
void world_ask (world_t *world, uint32_t call);
void world_send_release (world_t *world, uint32_t call);
void world_true_counts (const world_t *world, uint32_t *total,
                        uint32_t *count);
cs_owner_t *world_create_owner (world_t *world, uint64_t seed);

/* changes.c: what happens to engines and owners.  */
void changes_replace (world_t *world);
void changes_flap (world_t *world);
void changes_back (world_t *world, uint32_t engine);
void changes_fail (world_t *world);
void changes_owner_lost (world_t *world);
void changes_switch (world_t *world, uint32_t router);
void changes_set_believed (world_t *world);
void changes_tell_owners (world_t *world, const engine_t *engine,
                          cs_target_state_t state, bool joined);
void changes_learn_gone (world_t *world, uint32_t engine);
void changes_learn_back (world_t *world, uint32_t engine);

/* summary.c */
void summary_fill (world_t *world);

#endif
