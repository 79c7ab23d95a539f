/* POST /drain: stops this host gracefully, as SIGTERM does.  */

#include <signal.h>
#include <unistd.h>

#include "common/log.h"
#include "daemon/handlers.h"

int
cs_operate_drain (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                  const char **content_type)
{
  cs_log (CS_EV_OPERATOR_DRAIN, "host=%s", daemon->settings.name);
  cs_buf_printf (body, "{\"status\":\"draining\"}\n");
  return kill (getpid (), SIGTERM) == 0 ? 202 : 500;
}
