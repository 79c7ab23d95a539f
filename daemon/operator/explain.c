/* GET /explain?offering=NAME&organisation=NAME&chat=ID: to which target a chat
   is routed, and why.  */

#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "cranberrystile/chat_key.h"
#include "daemon/handlers.h"

/* Copies a query parameter; returns false if it is missing, empty or too long.
 */
static bool
copy_parameter (const struct evkeyvalq *parameters, const char *name,
                char *out, size_t size)
{
  const char *value = evhttp_find_header (parameters, name);
  if (value == NULL || value[0] == '\0' || strlen (value) >= size)
    return false;
  memcpy (out, value, strlen (value) + 1);
  return true;
}

int
cs_operate_explain (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                    const char **content_type)
{
  char offering[CS_NAME_MAX + 1];
  char organisation[CS_NAME_MAX + 1];
  char chat[512];
  struct evkeyvalq parameters;
  if (evhttp_parse_query_str (query, &parameters) != 0)
    return 400;
  bool complete
      = copy_parameter (&parameters, "offering", offering, sizeof offering)
        && copy_parameter (&parameters, "organisation", organisation,
                           sizeof organisation)
        && copy_parameter (&parameters, "chat", chat, sizeof chat);
  evhttp_clear_headers (&parameters);
  if (!complete)
    return 400;
  uint64_t key = cs_chat_key_by_id (cs_str (organisation), cs_str (offering),
                                    cs_str (chat));
  json_t *root
      = cs_placement_explain (daemon->placement, cs_str (offering), key);
  if (root == NULL)
    return 404;
  return cs_operator_write_json (root, body);
}
