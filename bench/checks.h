/* Requirements on the results, checked over all runs of one fleet size.  */

#ifndef CS_BENCH_CHECKS_H
#define CS_BENCH_CHECKS_H

#include "world.h"

typedef enum
{
  CHECK_CAP,     /* no placement above the cap, in any scenario */
  CHECK_REUSE,   /* in SCENARIO_CALM, at least 0.93 with a cap factor of 1.25
                    and 0.98 with 1.5 */
  CHECK_MEDIAN,  /* in SCENARIO_CALM, median load skew at most 1.25 with a cap
                    factor of 1.25 */
  CHECK_CACHE,   /* in SCENARIO_HALF_CACHE, at least 0.95 of the reuse of a
                    shared cache */
  CHECK_WAITS,   /* in SCENARIO_SURGE, the other organisations' p95 wait is at
                    most 1.2 times that of SCENARIO_CALM */
  CHECK_TRIES,   /* retries at most a tenth of the first attempts */
  CHECK_CONTROL, /* control traffic of each router at most 4 KB/s, or 22 KB/s
                    in fleets of 100 engines and more */
  CHECK_COUNT
} check_t;

/* Zero-initialise before the first run.  */
typedef struct
{
  bool failed[CHECK_COUNT];
  double calm_wait_ms; /* p95 wait of the calm scenario, for CHECK_WAITS */
} checks_t;

/* Checks the result of one run.  Baseline algorithms are not checked.  Run
   SCENARIO_CALM before SCENARIO_SURGE, which is compared with it.  */
void checks_evaluate (checks_t *checks, const setup_t *setup,
                      const result_t *result);

/* Prints one line per check: "check SIZE-CHECK-SEED pass" or "fail".  */
void checks_print (const checks_t *checks, const setup_t *setup);

#endif
