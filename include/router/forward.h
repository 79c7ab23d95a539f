/* One request of a caller on its way to a target and its answer back.  */

#ifndef CS_ROUTER_FORWARD_H
#define CS_ROUTER_FORWARD_H

#include "http/head.h"
#include "router/router.h"

typedef struct cs_forward cs_forward_t;

/* Makes a forward that takes over HEAD and BODY.  Returns NULL without memory.
 */
cs_forward_t *cs_forward_create (cs_router_t *router, cs_caller_t *caller,
                                 cs_http_head_t *head, cs_buf_t *body,
                                 cs_time_us_t now);

/* Serves the request.  Its answer may be with the caller, and FORWARD gone,
   when this returns.  */
void cs_forward_run (cs_forward_t *forward, cs_time_us_t now);

/* Answers ERROR in place of serving the request.  FORWARD is gone then.  */
void cs_forward_refuse (cs_forward_t *forward, int error, cs_time_us_t now);

/* The caller has left: the target's connection is closed at once.  */
void cs_forward_abandon (cs_forward_t *forward);

/* The caller has taken all that was queued.  */
void cs_forward_drained (cs_forward_t *forward);

#endif
