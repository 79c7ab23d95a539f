/* One run of the measurement: chats arrive at routers, calls are placed by the
   decision library, engines are a few lines of arithmetic.  Virtual time, one
   seed, no clock.  */

#ifndef CS_BENCH_WORLD_H
#define CS_BENCH_WORLD_H

#include "cranberrystile/owner.h"

typedef enum
{
  CASE_CALM,
  CASE_BURST,    /* 10 times the arrivals for 20 s, all of known chats */
  CASE_SURGE,    /* one organisation sends 10 times as much, few slots */
  CASE_FLAP,     /* engines leave and come back for seconds at a time */
  CASE_DISAGREE, /* routers learn of engines up to 2 s apart, in a burst */
  CASE_OWNER,    /* the owner is lost in the middle of a burst */
  CASE_FAIL,     /* a third of the engines fails */
  CASE_CACHE,    /* caches hold half of the chats */
  CASE_COUNT
} case_t;

typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t routers;
  cs_time_us_t hop_us; /* one way between routers, and to engines */
  uint32_t seconds;    /* measured, after as long a warm-up */
} size_row_t;

typedef struct
{
  size_row_t size;
  case_t scenario;
  cs_placement_algorithm_t way;
  double cap_factor;
  cs_time_us_t lag_us; /* age of the views that baselines place by */
  uint64_t seed;
  double load; /* mean calls on an engine while calm */
  /* Changes of the library's policy; 0 leaves its value.  */
  double short_factor;
  double long_share;
  uint32_t ranks;
} setup_t;

typedef struct
{
  double reuse;      /* tokens found / tokens that could have been found */
  double best_reuse; /* of one cache as large as all, with the same arrivals */
  double skew_median, skew_p99, skew_worst; /* max/mean of 1 s samples */
  uint64_t placements;
  uint64_t violations; /* placements above ceil (c * mean) by true counts */
  uint32_t violation_worst; /* calls above it */
  double calm_wait_p95_ms;  /* waits of organisations that do not surge */
  uint64_t refused;
  uint64_t refused_calm;
  uint64_t first_tries;
  uint64_t extra_tries;
  double control_bytes; /* per second, mean of the routers */
  double control_most;  /* per second, the router with the most */
  double place_us;      /* processor time of one placement */
} result_t;

const char *case_name (case_t scenario);
void world_run (const setup_t *setup, result_t *result);

#endif
