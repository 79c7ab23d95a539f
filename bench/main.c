/* cranberrystile-bench: simulates the placement algorithm of the daemon and
   the baseline algorithms, and prints the cache reuse, load skew, waits,
   retries and control traffic of each.  */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "checks.h"
#include "world.h"

static const fleet_size_t sizes[] = {
  { "sheetline", 18, 8, 1000, 900 },
  { "bmk", 12, 6, 1500, 900 },
  { "cell", 750, 22, 1000, 120 },
};

/* Mean calls in flight on an engine at the peak load to support: 9,200
   requests/s of 478 tokens, at 33 ms per token, on 12,000 servers.  */
#define PEAK_LOAD 12.1

#define SIZE_COUNT (sizeof sizes / sizeof sizes[0])

static const struct
{
  const char *name;
  cs_placement_algorithm_t algorithm;
} algorithms[] = {
  { "owner, bounded", CS_PLACE_BOUNDED },
  { "least loaded", CS_PLACE_LEAST_LOADED },
  { "two choices", CS_PLACE_TWO_CHOICES },
  { "rendezvous", CS_PLACE_RENDEZVOUS },
  { "round robin", CS_PLACE_ROUND_ROBIN },
};

#define ALGORITHM_COUNT (sizeof algorithms / sizeof algorithms[0])

static void
print_row (const setup_t *setup, const char *algorithm, const result_t *r)
{
  printf (
      "%-9s %-10s %-14s c=%.2f lag=%.1fs seed=%llu | reuse %.3f (best "
      "%.3f) | max/mean %.2f p99 %.2f worst %.2f | above cap %llu of "
      "%llu, worst +%u | calm wait p95 %.1f ms | refused %llu (calm %llu) | "
      "extra "
      "tries %.3f | control %.2f KB/s, most %.2f | place %.1f us\n",
      setup->size.name, scenario_name (setup->scenario), algorithm,
      setup->cap_factor, (double)setup->load_report_interval_us / 1e6,
      (unsigned long long)setup->seed, r->reuse, r->shared_cache_reuse,
      r->skew_median, r->skew_p99, r->skew_max,
      (unsigned long long)r->violations, (unsigned long long)r->placements,
      r->max_violation, r->others_wait_p95_ms, (unsigned long long)r->refused,
      (unsigned long long)r->refused_others,
      r->first_attempts == 0 ? 0
                             : (double)r->retries / (double)r->first_attempts,
      r->control_bytes / 1024, r->max_control_bytes / 1024,
      r->placement_cpu_us);
  fflush (stdout);
}

static void
run_scenario (const setup_t *base, scenario_t scenario, size_t algorithm,
              double cap_factor, cs_time_us_t load_report_interval_us,
              checks_t *checks)
{
  result_t result;
  setup_t setup = *base;
  setup.scenario = scenario;
  setup.algorithm = algorithms[algorithm].algorithm;
  setup.cap_factor = cap_factor;
  setup.load_report_interval_us = load_report_interval_us;
  world_run (&setup, &result);
  checks_evaluate (checks, &setup, &result);
  print_row (&setup, algorithms[algorithm].name, &result);
}

static double
default_cap_factor (const fleet_size_t *size)
{
  return strcmp (size->name, "bmk") == 0 ? 1.5 : 1.25;
}

static void
run_size (const setup_t *base, bool skip_baselines)
{
  double c = default_cap_factor (&base->size);
  checks_t checks = { { false }, 0 };
  for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++)
    for (size_t algorithm = 0;
         algorithm < (skip_baselines ? 1 : ALGORITHM_COUNT); algorithm++)
      {
        run_scenario (base, (scenario_t)scenario, algorithm, c, 500000,
                      &checks);
        /* Algorithms that use load reports also run with older ones.  */
        if (algorithm > 0 && algorithm < 3 && scenario == SCENARIO_BURST)
          run_scenario (base, (scenario_t)scenario, algorithm, c, 2000000,
                        &checks);
      }
  if (c < 1.5)
    run_scenario (base, SCENARIO_CALM, 0, 1.5, 500000, &checks);
  checks_print (&checks, base);
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *size
      = arg_str0 ("s", "size", "NAME", "sheetline, bmk or cell; default all");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "default 1");
  struct arg_lit *ours
      = arg_lit0 (NULL, "ours", "skip the baseline algorithms");
  struct arg_dbl *short_factor = arg_dbl0 (
      NULL, "short", "F", "cap of chats without context, as a factor");
  struct arg_dbl *long_share = arg_dbl0 (
      NULL, "long", "X", "the full cap applies from X times the mean context");
  struct arg_int *ranks = arg_int0 (
      NULL, "ranks", "N", "ranked targets considered after the first");
  struct arg_dbl *load
      = arg_dbl0 (NULL, "load", "CALLS", "mean calls in flight on an engine");
  struct arg_end *end = arg_end (4);
  void *table[]
      = { help, size, seed, ours, short_factor, long_share, ranks, load, end };
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0 || errors > 0)
    {
      printf ("Usage: cranberrystile-bench");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      arg_freetable (table, sizeof table / sizeof table[0]);
      return errors > 0 ? 2 : 0;
    }
  setup_t setup = { .seed = 1, .load = PEAK_LOAD };
  if (seed->count > 0)
    setup.seed = (uint64_t)seed->ival[0];
  if (short_factor->count > 0)
    setup.short_factor = short_factor->dval[0];
  if (long_share->count > 0)
    setup.long_share = long_share->dval[0];
  if (load->count > 0)
    setup.load = load->dval[0];
  if (ranks->count > 0)
    setup.ranks = (uint32_t)ranks->ival[0];
  for (size_t i = 0; i < SIZE_COUNT; i++)
    {
      setup.size = sizes[i];
      if (size->count == 0 || strcmp (size->sval[0], sizes[i].name) == 0)
        run_size (&setup, ours->count > 0);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
