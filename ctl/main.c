/* cranberrystilectl: the command line tool for operators.  */

#include <stdio.h>
#include <string.h>

#include "ctl/commands.h"
#include "ctl/options.h"

/* Sorted by name.  */
static const struct
{
  const char *name;
  const char *summary;
  cs_command_fn *run;
} commands[] = {
  { "audit", "show who changed what and when", cs_command_audit },
  { "check", "validate a release note, or a configuration (--routing)",
    cs_command_check },
  { "drain", "make a router leave the fleet gracefully", cs_command_drain },
  { "explain", "show where a chat is placed, and why", cs_command_explain },
  { "release", "plan or apply a release, show history or diff",
    cs_command_release },
  { "status", "show a router's view of the fleet", cs_command_status },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static void
print_help (void)
{
  printf ("Usage: cranberrystilectl COMMAND [OPTIONS]\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    printf ("  %-10s %s\n", commands[i].name, commands[i].summary);
}

int
main (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      print_help ();
      return 0;
    }
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    {
      printf ("cranberrystilectl %s\n", CS_VERSION);
      return 0;
    }
  for (size_t i = 0; argc > 1 && i < COMMAND_COUNT; i++)
    if (strcmp (commands[i].name, argv[1]) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr,
           "cranberrystilectl: unknown or missing command; see --help\n");
  return CS_EXIT_USAGE;
}
