/* JSON responses of the operators' handlers.  */

#include <stdlib.h>

#include "daemon/handlers.h"

int
cs_operator_write_json (json_t *root, cs_buf_t *body)
{
  char *json_text = json_dumps (root, JSON_INDENT (2));
  json_decref (root);
  if (json_text == NULL || cs_buf_printf (body, "%s\n", json_text) != 0)
    {
      free (json_text);
      return 503;
    }
  free (json_text);
  return 200;
}
