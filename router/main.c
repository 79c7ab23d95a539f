/* cranberrystile-router: the event-driven router of one entry host.  */

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/log.h"
#include "common/program_options.h"
#include "router/lifecycle.h"

/* Environment variable with the path of the settings file; the command line
   takes precedence.  */
#define SETTINGS_VARIABLE "CRANBERRYSTILE_CONFIG"

int
main (int argc, char **argv)
{
  static cs_router_settings_t settings;
  cs_program_options_t options;
  cs_buf_t reason = { 0 };
  int status = cs_program_options_parse (
      "cranberrystile-router", SETTINGS_VARIABLE, argc, argv, &options);
  if (status >= 0)
    return status;
  cs_log_init ("-", "cranberrystile-router");
  cs_log_set_fd (STDOUT_FILENO);
  if (cs_router_settings_read (options.settings, &settings, &reason) != 0)
    {
      cs_log (CS_EV_BAD_SETTING, "%s", reason.data);
      cs_buf_free (&reason);
      return CS_EXIT_USAGE;
    }
  if (options.check)
    {
      printf ("%s: settings are valid\n", options.settings);
      return EXIT_SUCCESS;
    }
  cs_log_init (settings.name, "cranberrystile-router");
  return cs_router_run (options.settings, &settings);
}
