#include "checks.h"

#include <stdio.h>

/* Bounds of the control traffic per router, in bytes/s.  Fleets with at
   least MIN_CELL_ENGINES engines are held to the bound of a cell.  */
#define MIN_CELL_ENGINES 100
#define MAX_CONTROL_SMALL (4 * 1024.0)
#define MAX_CONTROL_CELL (22 * 1024.0)

static const char *const names[CHECK_COUNT]
    = { "cap", "reuse", "median", "cache", "waits", "tries", "control" };

static void
evaluate_calm (checks_t *checks, const setup_t *setup, const result_t *result)
{
  bool tight = setup->cap_factor < 1.4;
  checks->calm_wait_ms = result->others_wait_p95_ms;
  if (result->reuse < (tight ? 0.93 : 0.98))
    checks->failed[CHECK_REUSE] = true;
  if (tight && result->skew_median > 1.25 + 1e-9)
    checks->failed[CHECK_MEDIAN] = true;
}

void
checks_evaluate (checks_t *checks, const setup_t *setup,
                 const result_t *result)
{
  double max_control_bytes = setup->size.engines < MIN_CELL_ENGINES
                                 ? MAX_CONTROL_SMALL
                                 : MAX_CONTROL_CELL;
  if (setup->algorithm != CS_PLACE_BOUNDED)
    return;
  if (result->violations > 0)
    checks->failed[CHECK_CAP] = true;
  if (result->max_control_bytes > max_control_bytes)
    checks->failed[CHECK_CONTROL] = true;
  if ((double)result->retries > 0.1 * (double)result->first_attempts)
    checks->failed[CHECK_TRIES] = true;
  if (setup->scenario == SCENARIO_CALM)
    evaluate_calm (checks, setup, result);
  if (setup->scenario == SCENARIO_SURGE
      && result->others_wait_p95_ms > 1.2 * checks->calm_wait_ms)
    checks->failed[CHECK_WAITS] = true;
  if (setup->scenario == SCENARIO_HALF_CACHE
      && result->reuse < 0.95 * result->shared_cache_reuse)
    checks->failed[CHECK_CACHE] = true;
}

void
checks_print (const checks_t *checks, const setup_t *setup)
{
  for (int i = 0; i < CHECK_COUNT; i++)
    printf ("check %s-%s-%llu %s\n", setup->size.name, names[i],
            (unsigned long long)setup->seed,
            checks->failed[i] ? "fail" : "pass");
}
