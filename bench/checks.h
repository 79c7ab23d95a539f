/* Requirements on the results, checked over all runs of one fleet size.  */

#ifndef CS_BENCH_CHECKS_H
#define CS_BENCH_CHECKS_H

#include "world.h"

typedef enum
{
  CHECK_CAP,     /* no placement above the cap, in any scenario */
  CHECK_REUSE,   /* at least 0.93 at c = 1.25 and 0.98 at c = 1.5, calm */
  CHECK_MEDIAN,  /* median of max/mean at most 1.25 at c = 1.25, calm */
  CHECK_CACHE,   /* within 5% of a shared cache, in SCENARIO_HALF_CACHE */
  CHECK_WAITS,   /* others wait at most 1.2 times as long in a surge */
  CHECK_TRIES,   /* retries at most a tenth of the first attempts */
  CHECK_CONTROL, /* at most 4 KB/s per router in small fleets, 22 in a cell */
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
