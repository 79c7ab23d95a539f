/* The request handlers for callers and operators, and the servers that call
   them.  */

#ifndef CS_DAEMON_HANDLERS_H
#define CS_DAEMON_HANDLERS_H

#include "daemon/exchange.h"

/* Handles a caller's request.  Must send a response or an error in every case.
 */
typedef void cs_handler_fn (cs_exchange_t *exchange);

cs_handler_fn cs_handle_chat_completions;
cs_handler_fn cs_handle_completions;
cs_handler_fn cs_handle_models;
cs_handler_fn cs_handle_service;

/* Handles an operator's request: fills BODY, may change *CONTENT_TYPE (JSON by
   default), and returns the HTTP status.  */
typedef int cs_operator_fn (cs_daemon_t *daemon, const char *query,
                            cs_buf_t *body, const char **content_type);

cs_operator_fn cs_operate_drain;
cs_operator_fn cs_operate_explain;
cs_operator_fn cs_operate_healthz;
cs_operator_fn cs_operate_metrics;
cs_operator_fn cs_operate_readyz;
cs_operator_fn cs_operate_status;

/* Writes ROOT as JSON to BODY and releases the reference to ROOT.  Returns the
   HTTP status.  */
int cs_operator_write_json (json_t *root, cs_buf_t *body);

/* Start the server on the address in the settings; BOUND receives the address
   with the port that was bound.  Return NULL on failure.  Stop with
   cs_web_stop.  */
cs_web_t *cs_server_start_callers (cs_daemon_t *daemon, cs_name_t *bound);
cs_web_t *cs_server_start_operators (cs_daemon_t *daemon, cs_name_t *bound);

#endif
