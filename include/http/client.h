/* A blocking HTTP/1.1 client with one persistent connection, for programs that
   run each call on a thread of its own.  */

#ifndef CS_HTTP_CLIENT_H
#define CS_HTTP_CLIENT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "http/head.h"

typedef struct cs_http_client cs_http_client_t;

typedef struct
{
  struct sockaddr_in address;
  cs_str_t head; /* request line, header fields and blank line */
  cs_str_t body;
  bool is_head_request; /* the response has no body */
  bool can_retry;       /* when a reused connection breaks before the
                           response, reconnect and send again */
  uint32_t connect_ms;
} cs_http_call_t;

/* Callbacks that consume the response.  The int callbacks return 0 to go on;
   any other value ends the call and becomes its result.  */
typedef struct
{
  int (*on_head) (void *context, const cs_http_head_t *head);
  int (*on_body) (void *context, cs_str_t part);
  /* Returns the time at which the call times out.  Called before each wait, so
     that arriving data can extend the time.  */
  cs_time_us_t (*timeout_at) (void *context);
  /* Called about every IDLE_MS while the call waits for the socket.  May be
     NULL.  */
  int (*on_idle) (void *context);
  uint32_t idle_ms;
} cs_http_sink_t;

/* Returns NULL when out of memory.  */
cs_http_client_t *cs_http_client_create (void);
void cs_http_client_destroy (cs_http_client_t *client);

/* Sends a request and blocks until its response is complete.  Sets *WAS_SENT
   when a byte of the request may have reached the server.  Returns 0 when the
   whole response was passed to SINK, the non-zero result of a callback of
   SINK, or:
   CS_ERR_CONNECT: the connection could not be established.
   CS_ERR_SILENT: timed out; SINK's timeout_at passed while waiting.
   CS_ERR_CUT: the connection was lost before the response was complete, or the
   response was malformed after its head was parsed.
   CS_ERR_WRONG_ANSWER: the server sent data that cannot be parsed as an HTTP
   response head, or a head over 64 KiB.  */
int cs_http_client_call (cs_http_client_t *client, const cs_http_call_t *call,
                         const cs_http_sink_t *sink, void *context,
                         bool *was_sent);

/* Whether a connection is open that the next call can reuse.  */
bool cs_http_client_is_connected (const cs_http_client_t *client);

#endif
