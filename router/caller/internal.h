/* State of one caller connection, private to this folder.  */

#ifndef CS_ROUTER_CALLER_INTERNAL_H
#define CS_ROUTER_CALLER_INTERNAL_H

#include "http/reader.h"
#include "net/channel.h"
#include "net/overdue.h"
#include "router/caller.h"
#include "router/forward.h"

struct cs_caller
{
  cs_router_t *router;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_caller_t *next;
  cs_caller_t *previous;
  cs_time_us_t accepted_at;
  cs_forward_t *forward; /* the request being served, or NULL */
  cs_buf_t body;         /* of the request being read */
  cs_buf_t pipelined;    /* data received while a request is being served */
  size_t output_bytes;   /* queued output that counts for the router */
  cs_overdue_t overdue;  /* of TIMER */
  cs_timer_t timer; /* idle timeout, or timeout of the request being read */
  bool too_large;   /* the body exceeds the configured limit */
  bool body_memory_full; /* the rest of the body does not fit into memory */
  bool close_after;      /* the caller wants the connection closed */
  bool reading; /* read_requests is running and frees the caller at its end */
  bool destroyed; /* disconnected, but not freed yet */
};

/* Limits on what a caller may send: from the configuration, or defaults before
   one is known.  */
const cs_caller_limits_t *cs_caller_limits (const cs_caller_t *caller);

/* Responds with ERROR to what could not be read as a request, and closes the
   connection.  */
void cs_caller_reject (cs_caller_t *caller, int error);

/* Appends PART to the body of the request being read, or sets TOO_LARGE or
   BODY_MEMORY_FULL.  CONTEXT is the caller.  */
void cs_caller_receive_body (void *context, cs_str_t part);

/* Call when all output has been written, or the connection is given up.  */
void cs_caller_output_drained (cs_caller_t *caller);

/* Rejects the request whose body does not fit into the memory for bodies.  The
   rest of it is not read, so the connection is closed.  */
void cs_caller_reject_body (cs_caller_t *caller);

#endif
