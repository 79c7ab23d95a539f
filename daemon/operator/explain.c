/* GET /explain?offering=NAME&organisation=NAME&chat=ID: where a chat goes and
   why.  */

#include <stdlib.h>
#include <string.h>

#include "cranberrystile/chat_key.h"
#include "daemon/handlers.h"

static bool
read_variable (const char *query, const char *name, char *out, size_t size)
{
  return mg_get_var (query, strlen (query), name, out, size) > 0;
}

int
cs_operate_explain (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                    const char **content_type)
{
  char offering[CS_NAME_MAX + 1];
  char organisation[CS_NAME_MAX + 1];
  char chat[512];
  if (!read_variable (query, "offering", offering, sizeof offering)
      || !read_variable (query, "organisation", organisation,
                         sizeof organisation)
      || !read_variable (query, "chat", chat, sizeof chat))
    return 400;
  uint64_t key = cs_chat_key_by_id (cs_str (organisation), cs_str (offering),
                                    cs_str (chat));
  json_t *root
      = cs_placement_explain (daemon->placement, cs_str (offering), key);
  if (root == NULL)
    return 404;
  return cs_operator_answer (root, body);
}
