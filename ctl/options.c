#include "ctl/options.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#define PLATFORM_TIMEOUT_MS 5000

int
cs_options_parse (const char *command, const char *operand_help,
                  int min_operands, int max_operands, int argc, char **argv,
                  cs_options_t *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_str *platform = arg_str0 ("p", "platform", "IP:PORT",
                                       "address of the platform's object API");
  struct arg_str *name_space
      = arg_str0 ("n", "namespace", "NAME", "namespace in the platform");
  struct arg_str *token
      = arg_str0 (NULL, "token", "TEXT", "bearer token for the platform");
  struct arg_str *host
      = arg_str0 ("H", "host", "IP:PORT", "operator port of a router");
  struct arg_str *key
      = arg_str0 ("k", "key", "TEXT", "operator key of the router");
  struct arg_str *user
      = arg_str0 ("u", "user", "NAME", "operator name for the audit trail");
  struct arg_str *operation = arg_str0 (
      "o", "operation", "ID", "operation id, to retry an apply safely");
  struct arg_str *operands
      = arg_strn (NULL, NULL, operand_help, min_operands, max_operands, "");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, platform, name_space, token,    host,
                    key,  user,     operation,  operands, end };
  int errors = arg_parse (argc, argv, table);
  int status = -1;
  if (help->count > 0)
    {
      printf ("Usage: cranberrystilectl %s", command);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = 0;
      goto out;
    }
  if (errors > 0)
    {
      fprintf (stderr,
               "cranberrystilectl %s: invalid usage; see cranberrystilectl %s "
               "--help\n",
               command, command);
      status = CS_EXIT_USAGE;
      goto out;
    }
  memset (out, 0, sizeof *out);
  out->platform = platform->count > 0 ? platform->sval[0] : NULL;
  out->name_space = name_space->count > 0 ? name_space->sval[0] : "default";
  out->token = token->count > 0 ? token->sval[0] : "";
  out->host = host->count > 0 ? host->sval[0] : NULL;
  out->key = key->count > 0 ? key->sval[0] : "";
  out->user = user->count > 0 ? user->sval[0] : getenv ("USER");
  out->operation = operation->count > 0 ? operation->sval[0] : NULL;
  out->operand_count = operands->count;
  for (int i = 0; i < operands->count && i < CS_MAX_OPERANDS; i++)
    out->operands[i] = operands->sval[i];
  if (out->user == NULL)
    out->user = "unknown";
out:
  /* The string values point into ARGV and outlive the table.  */
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

cs_platform_t *
cs_options_create_platform (const cs_options_t *options)
{
  if (options->platform == NULL)
    {
      fprintf (stderr, "cranberrystilectl: --platform is required\n");
      return NULL;
    }
  return cs_platform_create (options->platform, options->name_space,
                             options->token, PLATFORM_TIMEOUT_MS, NULL, NULL);
}

json_t *
cs_read_json (const char *file)
{
  json_error_t error;
  json_t *value = strcmp (file, "-") == 0 ? json_loadf (stdin, 0, &error)
                                          : json_load_file (file, 0, &error);
  if (value == NULL)
    fprintf (stderr, "cranberrystilectl: %s:%d: %s\n", file, error.line,
             error.text);
  return value;
}

int
cs_report_error (const char *what, int error, const cs_buf_t *reason)
{
  fprintf (stderr, "cranberrystilectl: %s: %s%s%s\n", what,
           cs_error_name (error), reason->len > 0 ? ": " : "",
           reason->len > 0 ? reason->data : "");
  switch (error)
    {
    case CS_ERR_CONFLICT:
      return CS_EXIT_CONFLICT;
    case CS_ERR_PLATFORM_DOWN:
      return CS_EXIT_OUTCOME_UNKNOWN;
    default:
      return CS_EXIT_FAILED;
    }
}
