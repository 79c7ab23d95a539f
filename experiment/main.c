/* cranberrystile-experiment: compares strategies for choosing an engine under
   different load patterns, on simulated engines.  */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "trial.h"

#define EXIT_USAGE 2

static void
print_header (void)
{
  printf (
      "%-8s %-16s %-13s %6s %6s %6s %6s %5s %7s %7s %6s %5s %5s %6s %5s %5s "
      "%5s %5s\n",
      "engines", "pattern", "way", "ontime", "served", "second", "kind",
      "least", "first50", "first95", "again", "skew", "sk99", "asked", "refus",
      "fail", "left", "rep");
}

static void
print_row (const trial_setup_t *setup, const trial_result_t *r)
{
  printf (
      "%-8s %-16s %-13s %6.3f %6.3f %6.3f %6.3f %5.2f %7.0f %7.0f %6.2f %5.2f "
      "%5.2f %6u %5u %5u %5u %5u\n",
      setup->installation->name, pattern_name (setup->pattern),
      strategy_name (setup->strategy), r->on_time, r->served,
      r->min_second_on_time, r->min_kind_on_time, r->min_kind_served,
      r->first_event_p50_ms, r->first_event_p95_ms, r->shared_prefill_ratio,
      r->load_skew_p50, r->load_skew_p99, r->requests, r->refused, r->failed,
      r->abandoned, r->retries);
  fflush (stdout);
}

typedef struct
{
  const char *installation; /* NULL: all */
  const char *pattern;
  const char *strategy;
} selection_t;

static bool
is_selected (const char *wanted, const char *name)
{
  return wanted == NULL || strcmp (wanted, name) == 0;
}

/* Runs the selected trials; returns their number, or -1 when memory runs
   out.  */
static int
run_all (const trial_setup_t *base, const selection_t *selection)
{
  int runs = 0;
  const installation_t *installation;
  trial_setup_t setup = *base;
  print_header ();
  for (size_t i = 0; (installation = installation_at (i)) != NULL; i++)
    for (int pattern = 0; pattern < PATTERN_COUNT; pattern++)
      for (int strategy = 0; strategy < STRATEGY_COUNT; strategy++)
        {
          trial_result_t result;
          setup.installation = installation;
          setup.pattern = (pattern_t)pattern;
          setup.strategy = (strategy_t)strategy;
          if (!is_selected (selection->installation, installation->name)
              || !is_selected (selection->pattern, pattern_name (pattern))
              || !is_selected (selection->strategy, strategy_name (strategy)))
            continue;
          if (trial_run (&setup, &result) != 0)
            return -1;
          print_row (&setup, &result);
          runs++;
        }
  return runs;
}

static void
set_double (double *value, const struct arg_dbl *option)
{
  if (option->count > 0)
    *value = option->dval[0];
}

int
main (int argc, char **argv)
{
  trial_setup_t setup
      = { .scale = 1, .seed = 1, .policy = cs_choice_policy_default () };
  selection_t selection = { NULL, NULL, NULL };
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *installation
      = arg_str0 ("i", "installation", "NAME", "desk or grown; default both");
  struct arg_str *pattern
      = arg_str0 ("p", "pattern", "NAME", "one load pattern; default all");
  struct arg_str *strategy = arg_str0 (
      "w", "way", "NAME", "one strategy for choosing engines; default all");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "default 1");
  struct arg_dbl *scale
      = arg_dbl0 (NULL, "scale", "F", "factor on the load; default 1");
  struct arg_dbl *home_factor
      = arg_dbl0 (NULL, "home-factor", "F",
                  "load limit of a context's home: F times the mean,");
  struct arg_dbl *home_extra
      = arg_dbl0 (NULL, "home-extra", "CALLS", "plus this many calls");
  struct arg_int *homes
      = arg_int0 (NULL, "homes", "N", "engines that share a hot context");
  struct arg_lit *no_priorities
      = arg_lit0 (NULL, "no-priorities", "all kinds are equally urgent");
  struct arg_end *end = arg_end (4);
  void *table[]
      = { help,        installation, pattern, strategy,      seed, scale,
          home_factor, home_extra,   homes,   no_priorities, end };
  int errors = arg_parse (argc, argv, table);
  int status = EXIT_SUCCESS;
  if (help->count > 0 || errors > 0)
    {
      printf ("Usage: cranberrystile-experiment");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = errors > 0 ? EXIT_USAGE : EXIT_SUCCESS;
      goto out;
    }
  if (installation->count > 0)
    selection.installation = installation->sval[0];
  if (pattern->count > 0)
    selection.pattern = pattern->sval[0];
  if (strategy->count > 0)
    selection.strategy = strategy->sval[0];
  if (seed->count > 0)
    setup.seed = (uint64_t)seed->ival[0];
  set_double (&setup.scale, scale);
  set_double (&setup.policy.home_factor, home_factor);
  set_double (&setup.policy.home_extra, home_extra);
  setup.has_priorities = no_priorities->count == 0;
  if (homes->count > 0)
    setup.policy.homes = (uint32_t)homes->ival[0];
  int runs = run_all (&setup, &selection);
  if (runs == 0)
    fprintf (stderr,
             "cranberrystile-experiment: no such installation, pattern or "
             "strategy\n");
  if (runs < 0)
    fprintf (stderr, "cranberrystile-experiment: out of memory\n");
  if (runs <= 0)
    status = EXIT_USAGE;
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
