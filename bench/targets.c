#include "targets.h"

#include <stdio.h>

#define CELL_ENGINES 100
#define CONTROL_TODAY (4 * 1024.0)
#define CONTROL_CELL (22 * 1024.0)

static const char *const names[TARGET_COUNT]
    = { "cap", "reuse", "median", "cache", "waits", "tries", "control" };

static void
judge_calm (targets_t *targets, const setup_t *setup, const result_t *result)
{
  bool tight = setup->cap_factor < 1.4;
  targets->calm_wait_ms = result->calm_wait_p95_ms;
  if (result->reuse < (tight ? 0.93 : 0.98))
    targets->missed[TARGET_REUSE] = true;
  if (tight && result->skew_median > 1.25 + 1e-9)
    targets->missed[TARGET_MEDIAN] = true;
}

void
targets_judge (targets_t *targets, const setup_t *setup,
               const result_t *result)
{
  double control
      = setup->size.engines < CELL_ENGINES ? CONTROL_TODAY : CONTROL_CELL;
  if (setup->way != CS_PLACE_BOUNDED)
    return;
  if (result->violations > 0)
    targets->missed[TARGET_CAP] = true;
  if (result->control_most > control)
    targets->missed[TARGET_CONTROL] = true;
  if ((double)result->extra_tries > 0.1 * (double)result->first_tries)
    targets->missed[TARGET_TRIES] = true;
  if (setup->scenario == CASE_CALM)
    judge_calm (targets, setup, result);
  if (setup->scenario == CASE_SURGE
      && result->calm_wait_p95_ms > 1.2 * targets->calm_wait_ms)
    targets->missed[TARGET_WAITS] = true;
  if (setup->scenario == CASE_CACHE
      && result->reuse < 0.95 * result->best_reuse)
    targets->missed[TARGET_CACHE] = true;
}

void
targets_print (const targets_t *targets, const setup_t *setup)
{
  for (int i = 0; i < TARGET_COUNT; i++)
    printf ("check %s-%s-%llu %s\n", setup->size.name, names[i],
            (unsigned long long)setup->seed,
            targets->missed[i] ? "fail" : "pass");
}
