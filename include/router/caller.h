/* Caller connections: reads requests one at a time, forwards each and writes
   the response back before reading the next.  */

#ifndef CS_ROUTER_CALLER_H
#define CS_ROUTER_CALLER_H

#include "router/router.h"

/* Takes ownership of the accepted connection FD.  ROUTER is a cs_router_t.  */
void cs_caller_accept (void *router, int fd);

/* Sends or queues a part of the current response.  */
void cs_caller_send (cs_caller_t *caller, cs_str_t data);

/* Whether so much output is queued for the caller that no more should be
   produced until cs_forward_drained.  */
bool cs_caller_is_behind (const cs_caller_t *caller);

/* Call when the current response is complete and its forward has been freed.
   The connection is kept open unless CLOSE.  */
void cs_caller_complete (cs_caller_t *caller, bool close);

/* Call when the current response broke off: closes the connection so that the
   response cannot be mistaken for a complete one, with a reset if the
   connection's end would be that of the response.  */
void cs_caller_abort (cs_caller_t *caller, bool ends_at_close);

/* Whether the connection should be closed after the next response.  */
bool cs_caller_should_close (const cs_caller_t *caller);

/* Appends the header fields that tell the caller how long it may keep the
   connection, which is closed after this response if CLOSE.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_caller_write_connection_fields (const cs_caller_t *caller, bool close,
                                       cs_buf_t *out);

/* Closes the connections without a current request, for a graceful stop,
   except those on which a request has arrived or may be about to.  */
void cs_callers_close_idle (cs_router_t *router, cs_time_us_t now);

/* Closes all connections and abandons their requests, for the final
   cleanup.  */
void cs_callers_close_all (cs_router_t *router);

#endif
