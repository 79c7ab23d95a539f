/* What the operators' handlers share.  */

#include <stdlib.h>

#include "daemon/handlers.h"

int
cs_operator_answer (json_t *root, cs_buf_t *body)
{
  char *text = json_dumps (root, JSON_INDENT (2));
  json_decref (root);
  if (text == NULL || cs_buf_printf (body, "%s\n", text) != 0)
    {
      free (text);
      return 503;
    }
  free (text);
  return 200;
}
