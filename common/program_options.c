#include "common/program_options.h"

#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>

int
cs_program_options_parse (const char *program, const char *variable, int argc,
                          char **argv, cs_program_options_t *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_str *settings
      = arg_str0 ("s", "settings", "FILE", "settings file, in INI format");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, check, settings, end };
  int errors = arg_parse (argc, argv, table);
  int status = -1;
  out->settings = variable == NULL ? NULL : getenv (variable);
  if (settings->count > 0)
    out->settings = settings->sval[0];
  out->check = check->count > 0;
  if (help->count > 0)
    {
      printf ("Usage: %s", program);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      if (variable != NULL)
        printf ("Without --settings, $%s names the file.\n", variable);
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("%s %s\n", program, CS_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (errors > 0 || out->settings == NULL)
    {
      fprintf (stderr, "%s: invalid options or no settings file; see --help\n",
               program);
      status = CS_EXIT_USAGE;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
