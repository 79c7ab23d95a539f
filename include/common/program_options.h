/* Command line options of the long-running programs.  */

#ifndef CS_COMMON_PROGRAM_OPTIONS_H
#define CS_COMMON_PROGRAM_OPTIONS_H

#include <stdbool.h>

/* Exit status for an invalid command line or invalid settings.  */
#define CS_EXIT_USAGE 2

typedef struct
{
  const char *settings; /* file name, owned by argv or the environment */
  bool check;           /* only check the settings, then exit */
} cs_program_options_t;

/* Parses the command line of PROGRAM, and handles --help and --version.  The
   environment variable VARIABLE, if not NULL, supplies the settings file when
   there is no --settings option.  Returns the exit status of the program, or
   -1 when it should run.  */
int cs_program_options_parse (const char *program, const char *variable,
                              int argc, char **argv,
                              cs_program_options_t *out);

#endif
