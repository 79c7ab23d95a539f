/* Forwards one caller request to a target and its response to the caller.  */

#ifndef CS_ROUTER_FORWARD_H
#define CS_ROUTER_FORWARD_H

#include "http/head.h"
#include "router/router.h"

typedef struct cs_forward cs_forward_t;

/* Call once, before any request: prepares to hold requests while the router
   starts, if [host] start_hold_ms isn't 0.  The process began at STARTED_AT.
 */
void cs_forward_start_hold_init (cs_router_t *router, cs_time_us_t started_at);

/* Creates the state of one request.  Takes ownership of the contents of HEAD
   and BODY.  Returns NULL on allocation failure.  */
cs_forward_t *cs_forward_create (cs_router_t *router, cs_caller_t *caller,
                                 cs_http_head_t *head, cs_buf_t *body,
                                 cs_time_us_t now);

/* Starts serving the request.  The response may already have been sent, and
   FORWARD freed, when this returns.  */
void cs_forward_run (cs_forward_t *forward, cs_time_us_t now);

/* Responds with ERROR instead of serving the request.  Frees FORWARD.  */
void cs_forward_reject (cs_forward_t *forward, int error, cs_time_us_t now);

/* Call when the caller has disconnected: closes the connection to the target
   immediately and frees FORWARD.  */
void cs_forward_abandon (cs_forward_t *forward);

/* Call when all output queued for the caller has been written: resumes reading
   from the target.  */
void cs_forward_drained (cs_forward_t *forward);

#endif
