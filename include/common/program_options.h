/* Command line of the programs that run until they are stopped.  */

#ifndef CS_COMMON_PROGRAM_OPTIONS_H
#define CS_COMMON_PROGRAM_OPTIONS_H

#include <stdbool.h>

/* Exit status after a wrong command line or bad settings.  */
#define CS_EXIT_USAGE 2

typedef struct
{
  const char *settings; /* borrowed from the arguments or the environment */
  bool check;           /* check the settings and exit */
} cs_program_options_t;

/* Reads the command line of PROGRAM, and answers --help and --version. The
   environment variable VARIABLE, if it is not NULL, names the settings when no
   option does.  Returns the status to exit with, or -1 to go on.  */
int cs_program_options_parse (const char *program, const char *variable,
                              int argc, char **argv,
                              cs_program_options_t *out);

#endif
