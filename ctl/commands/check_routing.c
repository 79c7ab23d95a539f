/* check --routing FILE [--against FILE] [--targets FILE --regions FILE]:
   checks a configuration of the routers before it is sent, and compares it
   with another version.  */

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#include "check_report.h"
#include "common/error.h"
#include "common/program_options.h"
#include "common/settings_table.h"
#include "ctl/commands.h"
#include "platform/routing_check.h"

/* Exit statuses besides 0.  That of a usage error is the same as that of
   errors in the configuration: neither may be sent.  */
#define EXIT_WARNINGS 1
#define EXIT_ERRORS 2

typedef struct
{
  const char *routing;
  const char *against; /* may be NULL */
  const char *targets; /* may be NULL, together with REGIONS */
  const char *regions;
  bool as_json;
} check_options_t;

static const char *
file_or_null (const struct arg_str *option)
{
  return option->count > 0 ? option->sval[0] : NULL;
}

/* Whether standard input is read at most once, and targets and regions are
   given together.  */
static bool
is_consistent (const check_options_t *options)
{
  const char *files[] = { options->routing, options->against, options->targets,
                          options->regions };
  size_t from_stdin = 0;
  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    from_stdin += files[i] != NULL && strcmp (files[i], "-") == 0;
  return from_stdin <= 1
         && (options->targets == NULL) == (options->regions == NULL);
}

/* Returns -1 if the command should run, or else the exit status.  */
static int
parse_options (int argc, char **argv, check_options_t *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *routing = arg_str1 (
      NULL, "routing", "FILE", "configuration to check; - is standard input");
  struct arg_str *against = arg_str0 (
      NULL, "against", "FILE", "version in force, to show what differs");
  struct arg_str *targets = arg_str0 (
      NULL, "targets", "FILE", "the store's list of targets; with --regions");
  struct arg_str *regions = arg_str0 (NULL, "regions", "FILE",
                                      "settings of a router, for its regions");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, routing, against, targets, regions, json, end };
  int errors = arg_parse (argc, argv, table);
  int status = -1;
  *out = (check_options_t){ routing->sval[0], file_or_null (against),
                            file_or_null (targets), file_or_null (regions),
                            json->count > 0 };
  if (help->count > 0)
    {
      printf ("Usage: cranberrystilectl check");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = 0;
    }
  else if (errors > 0 || !is_consistent (out))
    {
      fprintf (stderr, "cranberrystilectl check: invalid usage; see "
                       "cranberrystilectl check --routing - --help\n");
      status = CS_EXIT_USAGE;
    }
  /* The string values point into ARGV and outlive the table.  */
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

/* Appends the content of FILE, or of standard input if it is "-", to OUT.
   Returns 0, or -1 with errno set.  */
static int
read_file (const char *file, cs_buf_t *out)
{
  FILE *stream = strcmp (file, "-") == 0 ? stdin : fopen (file, "r");
  char part[4096];
  size_t got;
  int rc = 0;
  if (stream == NULL)
    return -1;
  while (rc == 0 && (got = fread (part, 1, sizeof part, stream)) > 0)
    rc = cs_buf_append (out, (cs_str_t){ part, got });
  if (rc != 0)
    errno = ENOMEM;
  else if (ferror (stream))
    rc = -1;
  if (stream != stdin)
    fclose (stream);
  return rc == 0 ? 0 : -1;
}

/* Parses the configuration in FILE.  Returns NULL, with a finding, if it can't
   be read.  */
static json_t *
load (const char *file, cs_findings_t *findings)
{
  cs_buf_t text = { 0 };
  json_error_t error;
  json_t *spec = NULL;
  if (read_file (file, &text) != 0)
    {
      cs_findings_add_at (findings, CS_SEVERITY_ERROR, "file_unreadable", file,
                          "%s", strerror (errno));
      goto out;
    }
  spec = json_loadb (text.len == 0 ? "" : text.data, text.len,
                     JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, &error);
  if (spec != NULL)
    goto out;
  bool is_duplicate = json_error_code (&error) == json_error_duplicate_key;
  cs_findings_add_at (findings, CS_SEVERITY_ERROR,
                      is_duplicate ? "duplicate_field" : "not_json", file,
                      "line %d: %s%s", error.line, error.text,
                      is_duplicate ? "; routers use the last one" : "");
  if (is_duplicate)
    spec = json_loadb (text.data, text.len, JSON_DECODE_ANY, &error);
out:
  cs_buf_free (&text);
  return spec;
}

/* Compares VERSION with the configuration in FILE.  Faults of that one are not
   reported, unless it can't be read at all.  */
static void
compare_with (const char *file, const cs_store_version_t *version,
              cs_findings_t *findings)
{
  cs_findings_t ignored = { 0 };
  json_t *spec = load (file, findings);
  if (spec == NULL)
    return;
  cs_routing_t *routing = cs_store_check_routing (spec, &ignored);
  cs_store_version_t other = { spec, routing };
  if (routing == NULL)
    cs_findings_add_at (findings, CS_SEVERITY_ERROR, "against_refused", file,
                        "routers refuse this version, so there is nothing to "
                        "compare with");
  else
    cs_store_compare_routing (&other, version, findings);
  cs_routing_release (routing);
  cs_findings_free (&ignored);
  json_decref (spec);
}

/* Reads the regions in the router's settings FILE.  Returns false, with a
   finding, if it can't.  */
static bool
read_regions (const char *file, cs_setting_pairs_t *regions,
              cs_findings_t *findings)
{
  static const cs_settings_table_t table
      = { .pairs_section = "regions", .skips_unknown = true };
  cs_buf_t text = { 0 };
  cs_buf_t reason = { 0 };
  bool is_read = false;
  if (read_file (file, &text) != 0)
    cs_findings_add_at (findings, CS_SEVERITY_ERROR, "file_unreadable", file,
                        "%s", strerror (errno));
  else if (cs_settings_table_parse (&table, file,
                                    text.len == 0 ? "" : text.data, regions,
                                    sizeof *regions, &reason)
           != 0)
    cs_findings_add_at (findings, CS_SEVERITY_ERROR, "regions_unreadable",
                        file, "%.*s", CS_STR_ARG (cs_buf_str (&reason)));
  else
    is_read = true;
  cs_buf_free (&text);
  cs_buf_free (&reason);
  return is_read;
}

static void
check_regions (const check_options_t *options,
               const cs_store_version_t *version, cs_findings_t *findings)
{
  cs_setting_pairs_t regions;
  cs_buf_t targets = { 0 };
  if (!read_regions (options->regions, &regions, findings))
    return;
  if (read_file (options->targets, &targets) != 0)
    cs_findings_add_at (findings, CS_SEVERITY_ERROR, "file_unreadable",
                        options->targets, "%s", strerror (errno));
  else
    cs_store_check_regions (version->spec, version->routing,
                            cs_buf_str (&targets), &regions, findings);
  cs_buf_free (&targets);
}

static int
exit_status (const cs_findings_t *findings)
{
  if (cs_findings_count (findings, CS_SEVERITY_ERROR) > 0)
    return EXIT_ERRORS;
  return cs_findings_count (findings, CS_SEVERITY_WARNING) > 0 ? EXIT_WARNINGS
                                                               : 0;
}

int
cs_command_check_routing (int argc, char **argv)
{
  check_options_t options;
  cs_findings_t findings = { 0 };
  cs_routing_t *routing = NULL;
  int status = parse_options (argc, argv, &options);
  if (status >= 0)
    return status;
  json_t *spec = load (options.routing, &findings);
  if (spec != NULL)
    routing = cs_store_check_routing (spec, &findings);
  cs_store_version_t version = { spec, routing };
  if (routing != NULL && options.against != NULL)
    compare_with (options.against, &version, &findings);
  if (routing != NULL && options.targets != NULL)
    check_regions (&options, &version, &findings);
  status = exit_status (&findings);
  if ((options.as_json ? cs_check_print_json (&findings)
                       : cs_check_print_text (&findings))
      != 0)
    {
      fprintf (stderr, "cranberrystilectl: out of memory\n");
      status = EXIT_ERRORS;
    }
  cs_routing_release (routing);
  json_decref (spec);
  cs_findings_free (&findings);
  return status;
}
