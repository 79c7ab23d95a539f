/* Connections to targets: a pool for each target, and one request at a time on
   each connection.  */

#ifndef CS_ROUTER_CONNECTION_H
#define CS_ROUTER_CONNECTION_H

#include <stdbool.h>

#include "cranberrystile/fleet.h"
#include "http/head.h"
#include "net/loop.h"
#include "platform/headers.h"
#include "router/counters.h"
#include "router/settings.h"

typedef struct cs_connection cs_connection_t;

/* What a connection tells the owner of the request that it carries.  After
   on_end the connection is no longer the owner's.  */
typedef struct
{
  /* The head of the answer to this request.  */
  void (*on_answer) (void *context, const cs_http_head_t *head,
                     const cs_target_answer_t *answer);
  void (*on_body) (void *context, cs_str_t part);
  /* CS_OK: the answer is complete.  CS_ERR_CONNECT: no connection.
     CS_ERR_CUT, CS_ERR_WRONG_ANSWER: it broke.  WAS_SENT tells whether any
     byte of the request may have reached the target.  */
  void (*on_end) (void *context, int error, bool was_sent);
} cs_connection_handlers_t;

typedef struct
{
  cs_loop_t *loop;
  const cs_router_settings_t *settings;
  cs_router_counters_t *counters;
} cs_connection_scope_t;

/* What to send.  The strings may go once the call has returned, but
   REQUEST_ID must stay until the end.  */
typedef struct
{
  cs_str_t head;
  cs_str_t body;
  cs_str_t request_id;
  bool is_head; /* method HEAD: the answer has no body */
  bool fresh;   /* may not be repeated: avoid a connection idle for long */
} cs_connection_request_t;

/* Sends a request to TARGET on a kept or a new connection.  Returns NULL when
   there is no descriptor or memory; no handler is called then.  */
cs_connection_t *cs_connection_send (const cs_connection_scope_t *scope,
                                     cs_target_t *target,
                                     const cs_connection_request_t *request,
                                     const cs_connection_handlers_t *handlers,
                                     void *context);

/* Gives up the request and closes the connection; no handler is called.  */
void cs_connection_abort (cs_connection_t *connection);

/* Stops or resumes reading the answer.  */
void cs_connection_pause (cs_connection_t *connection, bool paused);

/* Closes the idle connections of TARGET that were not used for their time; all
   of them when the target is leaving or ALL.  */
void cs_connections_sweep (cs_target_t *target, bool all, cs_time_us_t now);

#endif
