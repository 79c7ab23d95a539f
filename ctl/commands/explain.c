/* explain OFFERING ORGANISATION CHAT: prints where a chat is placed, and
   why.  */

#include <stdlib.h>

#include <event2/http.h>

#include "ctl/commands.h"
#include "operator.h"

int
cs_command_explain (int argc, char **argv)
{
  static const char *const names[] = { "offering", "organisation", "chat" };
  cs_options_t options;
  cs_buf_t path = { 0 };
  int status = cs_options_parse ("explain", "OFFERING ORGANISATION CHAT", 3, 3,
                                 argc, argv, &options);
  if (status >= 0)
    return status;
  cs_buf_printf (&path, "/explain");
  for (int i = 0; i < 3; i++)
    {
      char *escaped = evhttp_encode_uri (options.operands[i]);
      cs_buf_printf (&path, "%c%s=%s", i == 0 ? '?' : '&', names[i],
                     escaped == NULL ? "" : escaped);
      free (escaped);
    }
  status = cs_operator_call (&options, "GET", path.data);
  cs_buf_free (&path);
  return status;
}
