/* The figures of a run.  */

#include "state.h"

#include <stdlib.h>

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double
quantile (double *values, uint32_t count, double share)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  uint32_t i = (uint32_t)(share * count);
  return values[i < count ? i : count - 1];
}

void
summary_fill (world_t *world)
{
  result_t *result = world->result;
  double seconds = world->setup.size.seconds;
  result->reuse
      = world->could == 0 ? 0 : (double)world->found / (double)world->could;
  result->best_reuse = world->could == 0
                           ? 0
                           : (double)world->best_found / (double)world->could;
  result->skew_median = quantile (world->samples, world->sample_count, 0.5);
  result->skew_p99 = quantile (world->samples, world->sample_count, 0.99);
  result->skew_worst = quantile (world->samples, world->sample_count, 1.0);
  result->calm_wait_p95_ms = quantile (world->waits, world->wait_count, 0.95);
  result->place_us
      = (double)world->place_cpu_us / (double)(world->place_count + 1);
  for (uint32_t i = 0; i < world->setup.size.routers; i++)
    {
      double rate = world->bytes[i] / seconds;
      result->control_bytes += rate / world->setup.size.routers;
      if (rate > result->control_most)
        result->control_most = rate;
    }
}
