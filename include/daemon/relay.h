/* Relays a target's response to the caller.

   A stream is relayed in complete server-sent events.  If the connection to
   the target breaks, the caller's stream therefore ends between two events,
   where it can be resumed or continued.  */

#ifndef CS_DAEMON_RELAY_H
#define CS_DAEMON_RELAY_H

#include "daemon/exchange.h"
#include "daemon/target_call.h"

typedef struct
{
  cs_exchange_t *exchange;
  int status;
  bool is_stream;
  bool has_load;
  cs_target_load_t load;
  uint32_t retry_after_s;
  char content_type[128];
  cs_buf_t body;          /* complete body, or an incomplete event */
  cs_buf_t text;          /* generated text of the stream so far */
  char last_event_id[64]; /* empty if the engine does not number events */
  uint32_t tokens;        /* estimate: events with text that were relayed */
  bool begun;             /* part of the response was sent to the caller */
  bool ended;             /* the final event of the stream was relayed */
  bool pass_errors;       /* relay error statuses of the target, except 429 */
} cs_relay_t;

void cs_relay_begin (cs_relay_t *relay, cs_exchange_t *exchange);
void cs_relay_free (cs_relay_t *relay);

/* Prepares for another attempt: discards the last response, keeps the record
   of what the caller has received.  */
void cs_relay_begin_attempt (cs_relay_t *relay);

/* Returns the sink to pass to cs_target_call.  */
cs_call_sink_t cs_relay_sink (cs_relay_t *relay);

/* Maps the result RC of cs_target_call and the status of the response to an
   error kind, or 0.  A stream without its final event counts as cut.  By the
   contract with targets, 429, and 503 of an engine, mean that the request was
   not started.  */
int cs_relay_result (const cs_relay_t *relay, int rc);

/* Sends the response to the caller, or ends the stream.  */
void cs_relay_finish (cs_relay_t *relay);

#endif
