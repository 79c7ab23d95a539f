/* release plan|apply NOTE, release history, release diff FROM TO.  */

#include <stdio.h>
#include <string.h>

#include <openssl/rand.h>

#include "common/clock.h"
#include "ctl/commands.h"
#include "ctl/options.h"
#include "trail.h"

typedef int action_fn (const cs_options_t *options, cs_platform_t *platform);

static void
set_operation_id (const cs_options_t *options, cs_name_t *out)
{
  uint64_t random = 0;
  char text[32];
  if (options->operation != NULL)
    {
      cs_name_set (out, cs_str (options->operation));
      return;
    }
  RAND_bytes ((unsigned char *)&random, sizeof random);
  snprintf (text, sizeof text, "op-%016llx", (unsigned long long)random);
  cs_name_set (out, cs_str (text));
}

static int
make_record (const cs_options_t *options, const cs_release_t *base,
             cs_release_record_t *record)
{
  memset (record, 0, sizeof *record);
  record->note = cs_read_json (options->operands[1]);
  if (record->note == NULL)
    return CS_ERR_BAD_RELEASE;
  record->revision = cs_release_revision (base) + 1;
  record->wall_ms = cs_clock_wall_ms ();
  cs_name_set (&record->operator_name, cs_str (options->user));
  set_operation_id (options, &record->operation);
  return 0;
}

/* Prints the release that was accepted as REVISION.  */
static void
print_accepted_release (cs_platform_t *platform, uint64_t revision)
{
  cs_release_record_t accepted;
  if (cs_release_store_get (platform, revision, &accepted) != 0)
    return;
  printf ("accepted before yours:\n");
  cs_trail_print_summary (&accepted);
  cs_trail_print_changes (&accepted);
  cs_release_record_free (&accepted);
}

/* Whether an earlier attempt of the same operation, whose response was lost,
   was accepted.  */
static bool
was_accepted (cs_platform_t *platform, const cs_release_t *base,
              const cs_release_record_t *record)
{
  cs_release_record_t newest;
  if (cs_release_revision (base) == 0
      || cs_release_store_get (platform, cs_release_revision (base), &newest)
             != 0)
    return false;
  bool same = cs_name_equal (&newest.operation, &record->operation);
  cs_release_record_free (&newest);
  return same;
}

static int
apply_note (cs_platform_t *platform, const cs_release_t *base,
            const cs_release_record_t *record, cs_buf_t *reason)
{
  cs_release_t *next = NULL;
  if (was_accepted (platform, base, record))
    {
      printf ("accepted already as revision %llu\n",
              (unsigned long long)cs_release_revision (base));
      return 0;
    }
  int rc = cs_release_store_accept (platform, base, record, &next, reason);
  if (rc == 0)
    {
      printf ("accepted as revision %llu\n",
              (unsigned long long)record->revision);
      /* A failure is harmless: without the new snapshot, loading the newest
         release only takes more reads.  */
      (void)cs_release_store_snapshot (platform, next);
    }
  else if (rc == CS_ERR_CONFLICT)
    print_accepted_release (platform, record->revision);
  else if (rc == CS_ERR_PLATFORM_DOWN)
    cs_buf_printf (reason, "the outcome is unknown; retry with --operation %s",
                   record->operation.text);
  cs_release_destroy (next);
  return rc;
}

static int
plan_note (const cs_release_t *base, const cs_release_record_t *record,
           cs_buf_t *reason)
{
  cs_release_t *next = NULL;
  int rc = cs_release_apply (base, record->note, &next, reason);
  if (rc == 0)
    {
      printf ("revision %llu would become %llu:\n",
              (unsigned long long)cs_release_revision (base),
              (unsigned long long)cs_release_revision (next));
      cs_trail_print_changes (record);
    }
  cs_release_destroy (next);
  return rc;
}

static int
process_note (const cs_options_t *options, cs_platform_t *platform, bool apply)
{
  cs_release_t *base = NULL;
  cs_release_record_t record = { 0 };
  cs_buf_t reason = { 0 };
  if (options->operand_count != 2)
    {
      fprintf (stderr, "cranberrystilectl release: NOTE is required\n");
      return CS_EXIT_USAGE;
    }
  int rc = cs_release_store_load (platform, NULL, &base, &reason);
  if (rc == 0)
    rc = make_record (options, base, &record);
  if (rc == 0)
    rc = apply ? apply_note (platform, base, &record, &reason)
               : plan_note (base, &record, &reason);
  int status
      = rc == 0 ? 0 : cs_report_error (options->operands[1], rc, &reason);
  cs_release_record_free (&record);
  cs_release_destroy (base);
  cs_buf_free (&reason);
  return status;
}

static int
run_plan (const cs_options_t *options, cs_platform_t *platform)
{
  return process_note (options, platform, false);
}

static int
run_apply (const cs_options_t *options, cs_platform_t *platform)
{
  return process_note (options, platform, true);
}

static int
print_range (cs_platform_t *platform, uint64_t from, uint64_t to,
             bool with_changes)
{
  cs_buf_t no_reason = { 0 };
  for (uint64_t i = from; i <= to; i++)
    {
      cs_release_record_t record;
      int rc = cs_release_store_get (platform, i, &record);
      if (rc == CS_ERR_NOT_FOUND)
        return 0;
      if (rc != 0)
        return cs_report_error ("release", rc, &no_reason);
      cs_trail_print_summary (&record);
      if (with_changes)
        cs_trail_print_changes (&record);
      cs_release_record_free (&record);
    }
  return 0;
}

static int
run_history (const cs_options_t *options, cs_platform_t *platform)
{
  return print_range (platform, 1, UINT64_MAX, false);
}

static int
run_diff (const cs_options_t *options, cs_platform_t *platform)
{
  uint64_t from, to;
  if (options->operand_count != 3
      || cs_str_to_u64 (cs_str (options->operands[1]), &from) != 0
      || cs_str_to_u64 (cs_str (options->operands[2]), &to) != 0)
    {
      fprintf (stderr, "cranberrystilectl release diff: FROM and TO revisions "
                       "are required\n");
      return CS_EXIT_USAGE;
    }
  return print_range (platform, from + 1, to, true);
}

/* Sorted by name.  */
static const struct
{
  const char *name;
  action_fn *run;
} actions[] = {
  { "apply", run_apply },
  { "diff", run_diff },
  { "history", run_history },
  { "plan", run_plan },
};

int
cs_command_release (int argc, char **argv)
{
  cs_options_t options;
  int status = cs_options_parse ("release", "plan|apply|history|diff", 1, 3,
                                 argc, argv, &options);
  if (status >= 0)
    return status;
  cs_platform_t *platform = cs_options_create_platform (&options);
  if (platform == NULL)
    return CS_EXIT_USAGE;
  status = CS_EXIT_USAGE;
  size_t i = 0;
  while (i < sizeof actions / sizeof actions[0]
         && strcmp (actions[i].name, options.operands[0]) != 0)
    i++;
  if (i < sizeof actions / sizeof actions[0])
    status = actions[i].run (&options, platform);
  else
    fprintf (stderr, "cranberrystilectl release: unknown action %s\n",
             options.operands[0]);
  cs_platform_destroy (platform);
  return status;
}
