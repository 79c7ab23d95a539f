/* A discrete-event simulation of a fleet.  Calls arrive at routers and are
   placed by the owner code of the library; engines and the network are
   simulated.  Time is virtual, and the seed determines the whole run except
   for the processor time that is measured.  */

#ifndef CS_BENCH_WORLD_H
#define CS_BENCH_WORLD_H

#include "cranberrystile/owner.h"

typedef enum
{
  SCENARIO_CALM,
  SCENARIO_BURST,    /* 10 times the arrivals for 20 s, no new chats */
  SCENARIO_SURGE,    /* one organisation sends 7 to 9 times its calm rate, over
                        twice what all slots serve; see arrival_rate */
  SCENARIO_FLAP,     /* engines leave and come back for seconds at a time */
  SCENARIO_DISAGREE, /* up to 2 s until owners detect changes, in a burst */
  SCENARIO_OWNER_LOST,   /* the owner fails in the middle of a burst */
  SCENARIO_ENGINES_FAIL, /* a third of the engines refuses connections */
  SCENARIO_HALF_CACHE,   /* caches hold half of the active chats */
  SCENARIO_COUNT
} scenario_t;

typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t routers;
  cs_time_us_t hop_us; /* one-way network delay, to routers and engines */
  uint32_t seconds;    /* measured time; the warm-up before it takes as long */
} fleet_size_t;

typedef struct
{
  fleet_size_t size;
  scenario_t scenario;
  cs_placement_algorithm_t algorithm;
  double cap_factor;
  /* Interval of the load reports by which the baselines place calls.  */
  cs_time_us_t load_report_interval_us;
  uint64_t seed;
  double load; /* mean calls in flight on an engine while calm */
  /* Overrides of cs_pool_policy_t; 0 keeps the default.  */
  double short_factor;
  double long_share;
  uint32_t ranks;
} setup_t;

typedef struct
{
  /* Context tokens found in caches, as a share of those that could have been
     found: with the simulated caches, and with a single cache of the same
     total capacity and the same arrivals.  */
  double reuse;
  double shared_cache_reuse;
  /* Of the maximum over the mean of engine loads, sampled every second.  */
  double skew_median, skew_p99, skew_max;
  uint64_t placements;
  /* Placements above ceil (cap_factor * mean) by the true counts of running
     calls, and the maximum number of calls above it.  */
  uint64_t violations;
  uint32_t max_violation;
  double others_wait_p95_ms; /* waits of organisations that do not surge */
  uint64_t refused;
  uint64_t refused_others; /* of organisations that do not surge */
  uint64_t first_attempts;
  uint64_t retries;
  double control_bytes;     /* per second, mean over the routers */
  double max_control_bytes; /* per second, of the router with the most */
  double placement_cpu_us;  /* mean processor time of a placement, us */
} result_t;

const char *scenario_name (scenario_t scenario);

/* Runs the simulation of SETUP and fills RESULT.  */
void world_run (const setup_t *setup, result_t *result);

#endif
