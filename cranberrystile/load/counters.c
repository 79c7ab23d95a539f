#include "cranberrystile/counters.h"

#include <stdlib.h>

#include "common/error.h"

static const cs_time_us_t bucket_bounds_us[CS_BUCKET_COUNT]
    = { 250,   500,    1000,   2000,   5000,    10000,   20000,
        50000, 100000, 250000, 500000, 1100000, 5000000, 30000000 };

static const char *const counter_names[] = {
#define CS_COUNTER_NAME(symbol, name, help) name,
  CS_COUNTER_LIST (CS_COUNTER_NAME)
#undef CS_COUNTER_NAME
};

static const char *const counter_help[] = {
#define CS_COUNTER_HELP(symbol, name, help) help,
  CS_COUNTER_LIST (CS_COUNTER_HELP)
#undef CS_COUNTER_HELP
};

static const char *const histogram_names[CS_HISTOGRAM_COUNT]
    = { "router_seconds", "first_byte_seconds", "answer_seconds" };

typedef struct
{
  atomic_ullong buckets[CS_BUCKET_COUNT + 1];
  atomic_ullong sum_us;
} histogram_t;

struct cs_counters
{
  atomic_ullong counters[CS_COUNTER_COUNT];
  atomic_ullong answers[CS_ERROR_COUNT];
  histogram_t histograms[CS_HISTOGRAM_COUNT];
};

cs_counters_t *
cs_counters_create (void)
{
  return calloc (1, sizeof (cs_counters_t));
}

void
cs_counters_destroy (cs_counters_t *counters)
{
  free (counters);
}

static void
add (atomic_ullong *value, uint64_t amount)
{
  atomic_fetch_add_explicit (value, amount, memory_order_relaxed);
}

static uint64_t
get (const atomic_ullong *value)
{
  return atomic_load_explicit (value, memory_order_relaxed);
}

void
cs_counters_add (cs_counters_t *counters, cs_counter_t counter,
                 uint64_t amount)
{
  add (&counters->counters[counter], amount);
}

uint64_t
cs_counters_get (const cs_counters_t *counters, cs_counter_t counter)
{
  return get (&counters->counters[counter]);
}

static size_t
answer_index (int error)
{
  if (error > 0 || -error >= CS_ERROR_COUNT)
    return (size_t)-CS_ERR_INTERNAL;
  return (size_t)-error;
}

void
cs_counters_add_answer (cs_counters_t *counters, int error)
{
  add (&counters->answers[answer_index (error)], 1);
}

uint64_t
cs_counters_get_answers (const cs_counters_t *counters, int error)
{
  return get (&counters->answers[answer_index (error)]);
}

void
cs_counters_observe (cs_counters_t *counters, cs_histogram_t histogram,
                     cs_time_us_t duration)
{
  histogram_t *entry = &counters->histograms[histogram];
  size_t i = 0;
  while (i < CS_BUCKET_COUNT && duration > bucket_bounds_us[i])
    i++;
  add (&entry->buckets[i], 1);
  add (&entry->sum_us, duration);
}

static int
print_histogram (const histogram_t *histogram, const char *name, cs_buf_t *out)
{
  uint64_t total = 0;
  int rc = cs_buf_printf (out, "# TYPE cranberrystile_%s histogram\n", name);
  for (size_t i = 0; i < CS_BUCKET_COUNT; i++)
    {
      total += get (&histogram->buckets[i]);
      rc |= cs_buf_printf (out, "cranberrystile_%s_bucket{le=\"%g\"} %llu\n",
                           name,
                           (double)bucket_bounds_us[i] / (double)CS_US_PER_S,
                           (unsigned long long)total);
    }
  total += get (&histogram->buckets[CS_BUCKET_COUNT]);
  rc |= cs_buf_printf (out,
                       "cranberrystile_%s_bucket{le=\"+Inf\"} %llu\n"
                       "cranberrystile_%s_sum %g\n"
                       "cranberrystile_%s_count %llu\n",
                       name, (unsigned long long)total, name,
                       (double)get (&histogram->sum_us) / (double)CS_US_PER_S,
                       name, (unsigned long long)total);
  return rc == 0 ? 0 : CS_ERR_NO_MEMORY;
}

int
cs_counters_print (const cs_counters_t *counters, cs_buf_t *out)
{
  int rc = 0;
  for (size_t i = 0; i < CS_COUNTER_COUNT; i++)
    rc |= cs_buf_printf (out,
                         "# HELP cranberrystile_%s %s.\n"
                         "# TYPE cranberrystile_%s counter\n"
                         "cranberrystile_%s %llu\n",
                         counter_names[i], counter_help[i], counter_names[i],
                         counter_names[i],
                         (unsigned long long)get (&counters->counters[i]));
  rc |= cs_buf_printf (out, "# HELP cranberrystile_answers_total Answers to "
                            "callers by error kind.\n"
                            "# TYPE cranberrystile_answers_total counter\n");
  for (int i = 0; i < CS_ERROR_COUNT; i++)
    rc |= cs_buf_printf (
        out, "cranberrystile_answers_total{kind=\"%s\"} %llu\n",
        cs_error_name (-i), (unsigned long long)get (&counters->answers[i]));
  for (size_t i = 0; i < CS_HISTOGRAM_COUNT; i++)
    rc |= print_histogram (&counters->histograms[i], histogram_names[i], out);
  return rc == 0 ? 0 : CS_ERR_NO_MEMORY;
}
