/* Connections to targets: one pool per target, and one request at a time on
   each connection.  */

#ifndef CS_ROUTER_CONNECTION_H
#define CS_ROUTER_CONNECTION_H

#include <stdbool.h>

#include "cranberrystile/evacuations.h"
#include "cranberrystile/fleet.h"
#include "http/head.h"
#include "net/loop.h"
#include "platform/headers.h"
#include "router/counters.h"
#include "router/settings.h"

typedef struct cs_connection cs_connection_t;

/* Callbacks to the owner of the request on a connection.  The owner must not
   use the connection after on_end.  */
typedef struct
{
  /* The response head has been received.  */
  void (*on_response) (void *context, const cs_http_head_t *head,
                       const cs_target_response_t *response);
  void (*on_body) (void *context, cs_str_t part);
  /* CS_OK: the response is complete.  CS_ERR_CONNECT: the connection could not
     be established, or not before the target's data centre was evacuated.
     CS_ERR_CUT: it was closed early.  CS_ERR_WRONG_ANSWER: the response was
     invalid.  WAS_SENT: a byte of the request may have reached the target.  */
  void (*on_end) (void *context, int error, bool was_sent);
} cs_connection_handlers_t;

/* What all connections of a router share.  */
typedef struct
{
  cs_loop_t *loop;
  const cs_router_settings_t *settings;
  cs_router_counters_t *counters;
  const cs_evacuations_t *evacuations; /* NULL: they aren't followed */
} cs_connection_env_t;

/* A request to send.  The strings may be freed once cs_connection_send has
   returned, except REQUEST_ID, which must stay valid until on_end or
   cs_connection_abort.  */
typedef struct
{
  cs_str_t head;
  cs_str_t body;
  cs_str_t request_id;
  bool is_head;       /* method HEAD: the response has no body */
  bool require_fresh; /* must not be retried: use a new connection, or one
                         idle for at most fresh_ms */
} cs_connection_request_t;

/* Sends a request to TARGET on a pooled or a new connection.  Returns NULL
   when out of file descriptors or memory; no handler is called then.  */
cs_connection_t *cs_connection_send (const cs_connection_env_t *env,
                                     cs_target_t *target,
                                     const cs_connection_request_t *request,
                                     const cs_connection_handlers_t *handlers,
                                     void *context);

/* Whether CONNECTION carried a request before this one, so that its target may
   have ended unnoticed.  */
bool cs_connection_is_reused (const cs_connection_t *connection);

/* Cancels the request and closes the connection; no handler is called.
   Accepts NULL.  */
void cs_connection_abort (cs_connection_t *connection);

/* Reads what the target has sent without waiting for the event loop.  Returns
   false if there is nothing, or reading is paused.  Otherwise handlers may
   have been called and the connection may be gone.  */
bool cs_connection_read (cs_connection_t *connection);

/* Pauses or resumes reading the response.  */
void cs_connection_pause (cs_connection_t *connection, bool paused);

/* Closes the pooled connections of TARGET whose idle timeout has passed, or
   all of them if ALL is set or the target is leaving.  */
void cs_connections_close_idle (cs_target_t *target, bool all,
                                cs_time_us_t now);

#endif
