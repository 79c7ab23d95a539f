/* The addresses that the platform and operators ask: readiness and metrics. */

#ifndef CS_ROUTER_OPERATOR_H
#define CS_ROUTER_OPERATOR_H

#include "router/router.h"

/* Takes over the accepted connection FD; each answers any number of
   requests.  */
void cs_operator_accept (void *router, int fd);

#endif
