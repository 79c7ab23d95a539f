/* HTTP endpoints for the platform and operators: readiness and metrics.  */

#ifndef CS_ROUTER_OPERATOR_H
#define CS_ROUTER_OPERATOR_H

#include "router/router.h"

/* Takes ownership of the accepted connection FD and serves any number of
   requests on it.  ROUTER is a cs_router_t.  */
void cs_operator_accept (void *router, int fd);

#endif
