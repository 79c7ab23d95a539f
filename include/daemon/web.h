/* A small HTTP server: one event loop thread waits for requests on all
   connections, and each request occupies a worker thread of a pool until it is
   finished.  */

#ifndef CS_DAEMON_WEB_H
#define CS_DAEMON_WEB_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

typedef struct cs_web cs_web_t;
typedef struct cs_web_request cs_web_request_t;

/* Handles a request; called on a worker thread.  Must send a response by
   cs_web_write in every case.  */
typedef void cs_web_handler_fn (cs_web_request_t *request, void *context);

typedef struct
{
  const char *listen; /* IP address and port; port 0 is chosen by the kernel */
  uint32_t workers;
  uint32_t request_timeout_ms; /* longest pause within a request or response */
  uint32_t idle_timeout_ms;    /* longest pause between two requests */
  cs_web_handler_fn *handle;
  void *context;
} cs_web_options_t;

/* Starts a server.  BOUND receives the address with the port that was bound.
   Returns NULL if the address cannot be bound, memory is exhausted or no
   thread can be created.
   Stop with cs_web_stop.  */
cs_web_t *cs_web_start (const cs_web_options_t *options, cs_name_t *bound);

/* Stops accepting requests, waits for those being served, and frees WEB.  */
void cs_web_stop (cs_web_t *web);

/* Parts of the request line: zero-terminated, valid until the handler returns.
   The query is empty if there is none.  */
const char *cs_web_method (const cs_web_request_t *request);
const char *cs_web_path (const cs_web_request_t *request);
const char *cs_web_query (const cs_web_request_t *request);
bool cs_web_is_http_1_1 (const cs_web_request_t *request);

/* Returns the value of a header field, or NULL; valid until the handler
   returns.  */
const char *cs_web_header (const cs_web_request_t *request, const char *name);

/* Whether Content-Length is present and over MAX_BYTES.  */
bool cs_web_is_too_large (const cs_web_request_t *request, size_t max_bytes);

/* Appends the complete body to OUT.  Returns 0, CS_ERR_TOO_LARGE if it is over
   MAX_BYTES, CS_ERR_BAD_REQUEST if it is malformed or incomplete, or
   CS_ERR_NO_MEMORY.  */
int cs_web_read_body (cs_web_request_t *request, size_t max_bytes,
                      cs_buf_t *out);

/* Sends DATA; blocks until it is sent.  Returns 0, or CS_ERR_CALLER_GONE.  */
int cs_web_write (cs_web_request_t *request, cs_str_t data);
int cs_web_printf (cs_web_request_t *request, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Closes the connection after this response.  */
void cs_web_close_after (cs_web_request_t *request);

#endif
