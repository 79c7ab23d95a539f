/* A small HTTP server: one thread holds all connections that wait for a
   request, and each request gets a worker of a pool for as long as it runs. */

#ifndef CS_DAEMON_WEB_H
#define CS_DAEMON_WEB_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

typedef struct cs_web cs_web_t;
typedef struct cs_web_request cs_web_request_t;

/* Answers REQUEST in every case, by cs_web_write.  */
typedef void cs_web_handler_fn (cs_web_request_t *request, void *context);

typedef struct
{
  const char *listen; /* IP number and port; port 0 lets the kernel choose */
  uint32_t workers;
  uint32_t request_timeout_ms; /* longest pause within a request */
  uint32_t idle_timeout_ms;    /* between two requests */
  cs_web_handler_fn *handle;
  void *context;
} cs_web_options_t;

/* BOUND receives the address with its port.  Returns NULL when the address is
   taken or without memory.  */
cs_web_t *cs_web_start (const cs_web_options_t *options, cs_name_t *bound);

/* Takes no more requests, waits for those under way, and frees.  */
void cs_web_stop (cs_web_t *web);

/* Of the request; zero-terminated, valid until its handler returns.  The query
   is empty when there is none.  */
const char *cs_web_method (const cs_web_request_t *request);
const char *cs_web_path (const cs_web_request_t *request);
const char *cs_web_query (const cs_web_request_t *request);
bool cs_web_is_http_1_1 (const cs_web_request_t *request);

/* Value of a header field, or NULL.  */
const char *cs_web_header (const cs_web_request_t *request, const char *name);

/* Whether the length of the body was announced, and is over MOST.  */
bool cs_web_is_too_large (const cs_web_request_t *request, size_t most);

/* Appends the whole body.  Returns 0, CS_ERR_TOO_LARGE beyond MOST bytes,
   CS_ERR_BAD_REQUEST when it does not arrive as announced, or
   CS_ERR_NO_MEMORY.  */
int cs_web_read_body (cs_web_request_t *request, size_t most, cs_buf_t *out);

/* Sends DATA.  Returns 0, or CS_ERR_CALLER_GONE.  */
int cs_web_write (cs_web_request_t *request, cs_str_t data);
int cs_web_printf (cs_web_request_t *request, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Ends the connection after this answer.  */
void cs_web_close_after (cs_web_request_t *request);

#endif
