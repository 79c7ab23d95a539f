/* Computes the results of a run from the collected samples.  */

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
quantile (double *values, uint32_t count, double fraction)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  uint32_t i = (uint32_t)(fraction * count);
  return values[i < count ? i : count - 1];
}

void
summary_fill (world_t *world)
{
  result_t *result = world->result;
  double seconds = world->setup.size.seconds;
  result->reuse
      = world->reusable_tokens == 0
            ? 0
            : (double)world->reused_tokens / (double)world->reusable_tokens;
  result->shared_cache_reuse = world->reusable_tokens == 0
                                   ? 0
                                   : (double)world->shared_cache_tokens
                                         / (double)world->reusable_tokens;
  result->skew_median
      = quantile (world->skew_samples, world->skew_sample_count, 0.5);
  result->skew_p99
      = quantile (world->skew_samples, world->skew_sample_count, 0.99);
  result->skew_max
      = quantile (world->skew_samples, world->skew_sample_count, 1.0);
  result->others_wait_p95_ms
      = quantile (world->waits, world->wait_count, 0.95);
  result->placement_cpu_us = (double)world->total_placement_cpu_us
                             / (double)(world->placement_count + 1);
  for (uint32_t i = 0; i < world->setup.size.routers; i++)
    {
      double rate = world->bytes[i] / seconds;
      result->control_bytes += rate / world->setup.size.routers;
      if (rate > result->max_control_bytes)
        result->max_control_bytes = rate;
    }
}
