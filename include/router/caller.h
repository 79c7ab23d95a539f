/* Connections of callers: requests are read one after the other, each is given
   to a forward, and its answer is written back.  */

#ifndef CS_ROUTER_CALLER_H
#define CS_ROUTER_CALLER_H

#include "router/router.h"

/* Takes over the accepted connection FD.  */
void cs_caller_accept (void *router, int fd);

/* Sends a part of the answer under way.  */
void cs_caller_send (cs_caller_t *caller, cs_str_t data);

/* Bytes of answers that the caller has not taken yet.  */
size_t cs_caller_queued (const cs_caller_t *caller);

/* The answer under way is complete; the forward is the caller's no more.  The
   connection goes on unless CLOSE.  */
void cs_caller_complete (cs_caller_t *caller, bool close);

/* The answer under way has broken: the connection is closed so that it cannot
   look complete.  */
void cs_caller_break (cs_caller_t *caller);

/* Whether the next answer should close the connection.  */
bool cs_caller_should_close (const cs_caller_t *caller);

/* For a stop: closes the connections that carry no request.  */
void cs_callers_close_idle (cs_router_t *router);

/* For the end: closes all connections.  */
void cs_callers_close_all (cs_router_t *router);

#endif
