#include "router/counters.h"

#define PREFIX "cranberrystile_router_"

void
cs_latency_add (cs_latency_t *latency, cs_time_us_t value_us)
{
  int bucket = 0;
  while (bucket < CS_LATENCY_BUCKETS - 1
         && value_us > (CS_US_PER_MS << (unsigned)bucket))
    bucket++;
  latency->buckets[bucket]++;
  latency->count++;
  latency->sum_us += value_us;
}

int
cs_router_counters_print (const cs_router_counters_t *counters, cs_buf_t *out)
{
  int rc = 0;
#define PRINT(name, help)                                                     \
  if (rc == 0)                                                                \
    rc = cs_buf_printf (out,                                                  \
                        "# HELP " PREFIX #name "_total " help                 \
                        "\n" PREFIX #name "_total %llu\n",                    \
                        (unsigned long long)counters->name);
  CS_COUNTER_LIST (PRINT)
#undef PRINT
  for (int i = 0; rc == 0 && i < CS_ERROR_COUNT; i++)
    if (counters->failed[i] > 0)
      rc = cs_buf_printf (out, PREFIX "failed_total{kind=\"%s\"} %llu\n",
                          cs_error_name (-i),
                          (unsigned long long)counters->failed[i]);
  return rc;
}

int
cs_latency_print (const cs_latency_t *latency, const char *name, cs_buf_t *out)
{
  int rc = 0;
  uint64_t cumulative = 0;
  for (int i = 0; rc == 0 && i < CS_LATENCY_BUCKETS - 1; i++)
    {
      cumulative += latency->buckets[i];
      rc = cs_buf_printf (out, PREFIX "%s_ms_bucket{le=\"%llu\"} %llu\n", name,
                          1ULL << (unsigned)i, (unsigned long long)cumulative);
    }
  if (rc != 0)
    return rc;
  return cs_buf_printf (out,
                        PREFIX "%s_ms_bucket{le=\"+Inf\"} %llu\n" PREFIX
                               "%s_ms_sum %.3f\n" PREFIX "%s_ms_count %llu\n",
                        name, (unsigned long long)latency->count, name,
                        (double)latency->sum_us / CS_US_PER_MS, name,
                        (unsigned long long)latency->count);
}
