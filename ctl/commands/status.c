/* status: prints a router's view of the fleet.  */

#include "ctl/commands.h"
#include "operator.h"

int
cs_command_status (int argc, char **argv)
{
  cs_options_t options;
  int status = cs_options_parse ("status", NULL, 0, 0, argc, argv, &options);
  if (status >= 0)
    return status;
  return cs_operator_call (&options, "GET", "/status");
}
