/* One request of a caller and the response to it.  Not thread-safe: used by
   one worker only.  */

#ifndef CS_DAEMON_EXCHANGE_H
#define CS_DAEMON_EXCHANGE_H

#include "daemon/daemon.h"
#include "daemon/web.h"

typedef struct
{
  cs_daemon_t *daemon;
  cs_web_request_t *request;
  cs_name_t request_id;
  cs_time_us_t arrived;
  cs_time_us_t deadline; /* of the whole request */
  bool forwarded;        /* a router of another region has forwarded it */
  bool head_sent;
  bool chunked; /* chunked transfer encoding of the response */
  bool first_byte_seen;
  cs_organisation_t organisation;
  cs_offering_t offering;
  cs_buf_t body;
  char served_by[CS_NAME_MAX + 1]; /* name of the last target called */
  int error;                       /* reported to the caller, or 0 */
} cs_exchange_t;

/* Initialises EXCHANGE: reads or generates the request id, and checks whether
   the request was forwarded by a router of the fleet.  NOW is the time of
   arrival.  End with cs_exchange_end, which records the metrics and frees the
   body.  */
void cs_exchange_begin (cs_exchange_t *exchange, cs_daemon_t *daemon,
                        cs_web_request_t *request, cs_time_us_t now);
void cs_exchange_end (cs_exchange_t *exchange);

/* Checks the caller's API key and rate limit.  Returns 0, or an error that has
   been reported to the caller.  */
int cs_exchange_authorise (cs_exchange_t *exchange);

/* Reads the body into exchange->body.  Returns 0, or an error that has been
   reported to the caller.  */
int cs_exchange_read_body (cs_exchange_t *exchange);

/* Reports ERROR to the caller, with the status and advice that
   cs_error_response_for returns for it, and logs it.  DETAIL is an additional
   text, or NULL. RETRY_AFTER_S gets random jitter; 0 counts as 1.  If the head
   of a stream has been sent, the error is sent as an event and ends the
   stream.  */
void cs_exchange_fail (cs_exchange_t *exchange, int error, const char *detail,
                       uint32_t retry_after_s);

/* Sends a complete response.  Does nothing if a head has been sent.  */
void cs_exchange_respond (cs_exchange_t *exchange, int status,
                          const char *content_type, cs_str_t body);

/* Begin a streamed response, send a part of it, end it.  Beginning twice has
   no effect.  cs_exchange_stream_begin always returns 0;
   cs_exchange_stream_part returns 0, or CS_ERR_CALLER_GONE if the caller has
   closed its connection or memory is exhausted.  */
int cs_exchange_stream_begin (cs_exchange_t *exchange);
int cs_exchange_stream_part (cs_exchange_t *exchange, cs_str_t part);
void cs_exchange_stream_end (cs_exchange_t *exchange);

/* Returns the value of a header field of the request, or NULL; valid
   until the handler returns.  */
const char *cs_exchange_header (const cs_exchange_t *exchange,
                                const char *name);

#endif
