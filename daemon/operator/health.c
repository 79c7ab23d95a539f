/* GET /healthz and /readyz.  */

#include "daemon/handlers.h"

int
cs_operate_healthz (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                    const char **content_type)
{
  cs_buf_printf (body, "{\"status\":\"ok\"}\n");
  return 200;
}

int
cs_operate_readyz (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                   const char **content_type)
{
  const char *reason = "ready";
  if (atomic_load (&daemon->leaving))
    reason = "leaving";
  else if (cs_configuration_revision (daemon->configuration) == 0)
    reason = "no release";
  else if (!cs_placement_has_pools (daemon->placement))
    reason = "no pools";
  bool ready = reason[0] == 'r';
  cs_buf_printf (body, "{\"status\":\"%s\"}\n", reason);
  return ready ? 200 : 503;
}
