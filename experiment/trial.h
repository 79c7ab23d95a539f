/* One run: a load of one pattern against engines, by one way of choosing.  */

#ifndef CS_EXPERIMENT_TRIAL_H
#define CS_EXPERIMENT_TRIAL_H

#include "load.h"
#include "view.h"

#define TRIAL_WARM_US (10 * CS_US_PER_S)
#define TRIAL_END_US (60 * CS_US_PER_S)   /* of arrivals */
#define TRIAL_DRAIN_US (20 * CS_US_PER_S) /* then the last ones end */

typedef struct
{
  const installation_t *installation;
  pattern_t pattern;
  way_t way;
  cs_choice_policy_t policy; /* of WAY_ROUTER */
  double scale;              /* of the load */
  bool has_priorities;       /* engines are told which kinds are urgent */
  uint64_t seed;
} trial_setup_t;

/* Of the requests that came after the warm-up.  Shares are of worth.  */
typedef struct
{
  double on_time;      /* first event and pauses within the aims */
  double served;       /* late answers at their smaller worth */
  double worst_second; /* on time, of the requests of one second */
  double worst_kind;
  double least_kind; /* share of requests served, least of the kinds, over the
                        share of all */
  double first_p50_ms;
  double first_p95_ms;
  double read_again; /* shared tokens read, over the least that any placement
                        could read: each part once */
  double skew_p50;   /* busiest engine over the mean */
  double skew_p99;
  uint32_t requests;
  uint32_t refused; /* for good */
  uint32_t failed;  /* their engine crashed */
  uint32_t left;    /* callers that did not wait longer */
  uint32_t repeats; /* calls beyond the first of each request */
  uint32_t preemptions;
} trial_result_t;

/* Returns 0 or CS_ERR_NO_MEMORY.  The same setup has the same result.  */
int trial_run (const trial_setup_t *setup, trial_result_t *out);

#endif
