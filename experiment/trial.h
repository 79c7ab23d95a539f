/* Runs one trial: simulates one load pattern with one strategy for choosing
   engines.  */

#ifndef CS_EXPERIMENT_TRIAL_H
#define CS_EXPERIMENT_TRIAL_H

#include "load.h"
#include "view.h"

#define TRIAL_WARMUP_US (10 * CS_US_PER_S)
#define TRIAL_END_US (60 * CS_US_PER_S)   /* end of arrivals */
#define TRIAL_DRAIN_US (20 * CS_US_PER_S) /* then waits for open requests */

typedef struct
{
  const installation_t *installation;
  pattern_t pattern;
  strategy_t strategy;
  cs_choice_policy_t policy; /* for STRATEGY_ROUTER */
  double scale;              /* factor on the load */
  bool has_priorities;       /* engines receive the kinds' priorities */
  uint64_t seed;
} trial_setup_t;

/* Results for the requests that arrive after the warm-up.  on_time, served and
   the lowest shares of on-time requests are weighted by reward.  */
typedef struct
{
  double on_time;            /* completed within the objectives */
  double served;             /* completed; late ones count with late_reward */
  double min_second_on_time; /* lowest share on time, of the requests that
                                arrived within one second */
  double min_kind_on_time;
  double min_kind_served; /* lowest share of completed requests of a kind,
                             relative to that of all kinds */
  double first_event_p50_ms;
  double first_event_p95_ms;
  double shared_prefill_ratio; /* shared tokens prefilled, relative to the
                                  minimum: each segment once */
  double load_skew_p50; /* load of the busiest engine, relative to the mean */
  double load_skew_p99;
  uint32_t requests;
  uint32_t refused;   /* finally, after client retries */
  uint32_t failed;    /* their engine crashed */
  uint32_t abandoned; /* client disconnected after its timeout */
  uint32_t retries;   /* attempts after the first; earlier submissions of a
                         refused request aren't counted */
  uint32_t preemptions;
} trial_result_t;

/* Returns 0 or CS_ERR_NO_MEMORY.  Deterministic: the same setup gives the same
   result.  */
int trial_run (const trial_setup_t *setup, trial_result_t *out);

#endif
