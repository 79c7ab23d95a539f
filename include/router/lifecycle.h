/* Start, reload and stop of a router.  */

#ifndef CS_ROUTER_LIFECYCLE_H
#define CS_ROUTER_LIFECYCLE_H

#include "router/settings.h"

/* Runs a router with the settings of FILE until it is told to stop by SIGTERM
   or SIGINT and its requests have ended.  Returns the exit status.  */
int cs_router_run (const char *file, const cs_router_settings_t *settings);

#endif
