/* One request of a caller and the answer to it.  Used by one worker.  */

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
  cs_time_us_t deadline;
  bool handed_over; /* by a router of another region */
  bool head_sent;
  bool chunked;
  bool first_byte_seen;
  cs_organisation_t organisation;
  cs_offering_t offering;
  cs_buf_t body;
  char served_by[CS_NAME_MAX + 1]; /* name of the last target */
  int error;                       /* kind that was answered */
} cs_exchange_t;

/* Reads ids and marks from the request's headers.  */
void cs_exchange_begin (cs_exchange_t *exchange, cs_daemon_t *daemon,
                        cs_web_request_t *request, cs_time_us_t now);
void cs_exchange_end (cs_exchange_t *exchange);

/* Checks the caller's key and rate.  Returns 0, or an error that was already
   answered.  */
int cs_exchange_authorise (cs_exchange_t *exchange);

/* Reads the body into exchange->body.  Returns 0, or an error that was already
   answered.  */
int cs_exchange_read_body (cs_exchange_t *exchange);

/* Answers with the row of ERROR.  RETRY_AFTER_S is spread at random; 0 is as
   1.  Does nothing to the status once the head was sent.  */
void cs_exchange_fail (cs_exchange_t *exchange, int error, const char *detail,
                       uint32_t retry_after_s);

/* Sends a whole answer.  */
void cs_exchange_answer (cs_exchange_t *exchange, int status,
                         const char *content_type, cs_str_t body);

/* Begins a streamed answer, sends a part of it, ends it.  CS_ERR_CALLER_GONE
   when the caller has closed its connection.  */
int cs_exchange_stream_begin (cs_exchange_t *exchange);
int cs_exchange_stream_part (cs_exchange_t *exchange, cs_str_t part);
void cs_exchange_stream_end (cs_exchange_t *exchange);

const char *cs_exchange_header (const cs_exchange_t *exchange,
                                const char *name);

#endif
