/* cranberrystile-router: the event-driven router of one entry host.  */

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <argtable2.h>

#include "common/log.h"
#include "router/lifecycle.h"

#define EXIT_USAGE 2
/* Names the settings file when the command line does not.  */
#define SETTINGS_VARIABLE "CRANBERRYSTILE_CONFIG"

typedef struct
{
  const char *settings; /* borrowed from the arguments or the environment */
  bool check;
} arguments_t;

/* Returns the exit status, or -1 to go on.  */
static int
parse_arguments (int argc, char **argv, arguments_t *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_str *settings
      = arg_str0 ("s", "settings", "FILE",
                  "settings, in INI form; else $" SETTINGS_VARIABLE);
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, check, settings, end };
  int errors = arg_parse (argc, argv, table);
  int status = -1;
  out->settings
      = settings->count > 0 ? settings->sval[0] : getenv (SETTINGS_VARIABLE);
  out->check = check->count > 0;
  if (help->count > 0)
    {
      printf ("Usage: cranberrystile-router");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (version->count > 0)
    {
      printf ("cranberrystile-router %s\n", CS_VERSION);
      status = EXIT_SUCCESS;
    }
  else if (errors > 0 || out->settings == NULL)
    {
      fprintf (stderr, "cranberrystile-router: --settings FILE is needed; see "
                       "--help\n");
      status = EXIT_USAGE;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

int
main (int argc, char **argv)
{
  static cs_router_settings_t settings;
  arguments_t arguments;
  cs_buf_t reason = { 0 };
  int status = parse_arguments (argc, argv, &arguments);
  if (status >= 0)
    return status;
  cs_log_init ("-", "cranberrystile-router");
  cs_log_to (STDOUT_FILENO);
  if (cs_router_settings_read (arguments.settings, &settings, &reason) != 0)
    {
      cs_log (CS_EV_BAD_SETTING, "%s", reason.data);
      cs_buf_free (&reason);
      return EXIT_USAGE;
    }
  if (arguments.check)
    {
      printf ("%s: the settings are good\n", arguments.settings);
      return EXIT_SUCCESS;
    }
  cs_log_init (settings.name, "cranberrystile-router");
  return cs_router_run (arguments.settings, &settings);
}
