/* Passes an engine's answer on to the caller.

   A streamed answer is passed on in whole server-sent events, so that a cut
   connection leaves the caller at the end of an event, from where the stream
   can be resumed or continued.  */

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
  cs_buf_t body;          /* a whole answer, or the rest of a stream */
  cs_buf_t text;          /* what a stream has said so far */
  char last_event_id[64]; /* empty when the engine does not number events */
  uint32_t tokens;        /* events with text that were passed on */
  bool begun;             /* the caller has received a part */
  bool ended;             /* the proper end of the stream was passed on */
  bool pass_errors;       /* an error status of the target is an answer */
} cs_relay_t;

void cs_relay_begin (cs_relay_t *relay, cs_exchange_t *exchange);
void cs_relay_free (cs_relay_t *relay);

/* Prepares for the next try; what was passed on is kept.  */
void cs_relay_next_try (cs_relay_t *relay);

/* The sink to call a target with.  */
cs_call_sink_t cs_relay_sink (cs_relay_t *relay);

/* Judges a call that ended with RC: a stream without its end was cut.  By the
   contract with targets 429, and 503 of an engine, say that the request was
   not begun.  */
int cs_relay_result (const cs_relay_t *relay, int rc);

/* Sends a whole answer, or ends the stream.  */
void cs_relay_finish (cs_relay_t *relay);

#endif
