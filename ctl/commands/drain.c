/* drain: makes a router leave the fleet gracefully.  */

#include "ctl/commands.h"
#include "operator.h"

int
cs_command_drain (int argc, char **argv)
{
  cs_options_t options;
  int status = cs_options_parse ("drain", NULL, 0, 0, argc, argv, &options);
  if (status >= 0)
    return status;
  return cs_operator_call (&options, "POST", "/drain");
}
