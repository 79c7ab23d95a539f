/* GET /v1/models.  */

#include <stdlib.h>

#include "daemon/handlers.h"

static json_t *
model_to_json (const cs_offering_t *offering)
{
  return json_pack ("{s:s, s:s, s:i, s:s}", "id", offering->name.text,
                    "object", "model", "created", 0, "owned_by",
                    "cranberrystile");
}

void
cs_handle_models (cs_exchange_t *exchange)
{
  cs_offering_t *offerings;
  if (cs_exchange_authorise (exchange) != 0)
    return;
  size_t count = cs_configuration_offerings (exchange->daemon->configuration,
                                             &offerings);
  json_t *list = json_array ();
  for (size_t i = 0; i < count; i++)
    if (!offerings[i].is_service)
      json_array_append_new (list, model_to_json (&offerings[i]));
  json_t *root = json_pack ("{s:s, s:o}", "object", "list", "data", list);
  char *json_text = json_dumps (root, JSON_COMPACT);
  if (json_text == NULL)
    cs_exchange_fail (exchange, CS_ERR_NO_MEMORY, NULL, 1);
  else
    cs_exchange_respond (exchange, 200, "application/json",
                         cs_str (json_text));
  free (json_text);
  json_decref (root);
  free (offerings);
}
