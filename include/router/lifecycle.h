/* Startup, reload and graceful stop of a router.  */

#ifndef CS_ROUTER_LIFECYCLE_H
#define CS_ROUTER_LIFECYCLE_H

#include "router/settings.h"

/* Runs a router with SETTINGS, which were read from FILE, until SIGTERM or
   SIGINT; then stops it gracefully.  FILE is read again on SIGHUP and when it
   changes.  Returns the exit status, which is EXIT_FAILURE if the router could
   not start.  */
int cs_router_run (const char *file, const cs_router_settings_t *settings);

#endif
