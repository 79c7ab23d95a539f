/* State of a simulation; internal to the benchmark.  */

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
#define MAX_WAIT_US (30 * CS_US_PER_S)
#define TICK_US (2 * CS_US_PER_MS)
#define MAX_ATTEMPTS 3
#define HEARTBEATS_PER_S 4
#define FRAME_HEAD_BYTES 4

/* Time for a router's report of a joined engine to reach the owner.  The
   engine is included in the true mean only after this.  */
#define JOIN_REPORT_US (5 * CS_US_PER_MS)

enum
{
  EV_ARRIVAL,
  EV_REQUEST,      /* a placement request reaches the owner */
  EV_ENGINE_START, /* a call reaches its engine */
  EV_ENGINE_END,   /* an engine completes a call */
  EV_RELEASE,      /* the end of a call is reported to the owner */
  EV_SAMPLE,
  EV_LOAD_REPORT, /* the baselines receive new loads */
  EV_TICK,
  EV_REPLACE, /* an engine is replaced by one with an empty cache */
  EV_FLAP,
  EV_LOSS_DETECTED, /* the owners detect that an engine is down */
  EV_RETURN_DETECTED,
  EV_ENGINE_UP,
  EV_ENGINE_COUNTED, /* an engine is included in the true mean */
  EV_ENGINES_FAIL,
  EV_OWNER_LOST,
  EV_ROUTER_SWITCH, /* a router hands over to the new owner */
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
  uint32_t epoch; /* incremented each time the engine goes down; calls of
                     an earlier epoch fail */
  bool up;
  bool counted; /* included in the true mean */
  bool failing; /* refuses connections, but is still reported live */
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
  uint32_t attempts;
  cs_avoid_list_t avoid;
  uint64_t serial; /* identifies the current attempt to the owner */
  cs_time_us_t ends_at;
  cs_time_us_t arrived;
  bool granted;
  bool at_engine;
  bool requested;
} call_t;

typedef struct
{
  setup_t setup;
  result_t *result;
  heap_t heap;
  cs_time_us_t now;
  cs_time_us_t measure_from;
  cs_time_us_t end_at;
  cs_random_t random;
  engine_t *engines;
  cs_owner_t **owners; /* one, or one per router for the baselines */
  uint32_t owner_count;
  cs_owner_t *old_owner;
  bool *switched;             /* by router: whether it uses the new owner */
  cs_retry_budget_t *budgets; /* by router */
  chat_t *chats;
  uint32_t chat_count;
  uint32_t chat_capacity;
  call_t *calls;
  uint32_t call_count;
  uint32_t call_capacity;
  uint32_t *free_calls;
  uint32_t free_count;
  uint64_t serial;
  cache_t *shared_cache;
  uint64_t reusable_tokens, reused_tokens, shared_cache_tokens;
  double *skew_samples;
  uint32_t skew_sample_count;
  double *waits;
  uint32_t wait_count;
  uint32_t wait_capacity;
  double *bytes; /* control traffic, by router */
  uint64_t total_placement_cpu_us;
  uint64_t placement_count;
} world_t;

/* world.c: calls and running engines.  */
bool world_uses_single_owner (const world_t *world);
bool world_is_measured (const world_t *world);
void world_request_placement (world_t *world, uint32_t call);
void world_send_release (world_t *world, uint32_t call);
void world_count_running (const world_t *world, uint32_t *total,
                          uint32_t *count);
cs_owner_t *world_create_owner (world_t *world, uint64_t seed);

/* changes.c: changes of engines and owners.  */
void changes_replace_engine (world_t *world);
void changes_flap_engine (world_t *world);
void changes_engine_up (world_t *world, uint32_t engine);
void changes_engines_fail (world_t *world);
void changes_owner_lost (world_t *world);
void changes_switch_router (world_t *world, uint32_t router);
void changes_report_target_count (world_t *world);
void changes_update_owners (world_t *world, const engine_t *engine,
                            cs_target_state_t state, bool joined);
void changes_loss_detected (world_t *world, uint32_t engine);
void changes_return_detected (world_t *world, uint32_t engine);

/* summary.c */
void summary_fill (world_t *world);

#endif
