/* A blocking HTTP/1.1 client on one connection, for programs that give each
   call a thread.  */

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
  cs_str_t head; /* request line and fields, blank line included */
  cs_str_t body;
  bool is_head;    /* the answer has no body */
  bool may_repeat; /* a kept connection that breaks before the answer is
                      replaced, and the request sent again */
  uint32_t connect_ms;
} cs_http_call_t;

/* What is done with the answer.  A result other than 0 ends the call with it.
 */
typedef struct
{
  int (*on_head) (void *context, const cs_http_head_t *head);
  int (*on_body) (void *context, cs_str_t part);
  /* When the call is given up if nothing more comes.  */
  cs_time_us_t (*until) (void *context);
  /* Called about every IDLE_MS while nothing comes.  May be NULL.  */
  int (*on_idle) (void *context);
  uint32_t idle_ms;
} cs_http_sink_t;

/* Returns NULL without memory.  */
cs_http_client_t *cs_http_client_create (void);
void cs_http_client_destroy (cs_http_client_t *client);

/* Runs a call and blocks until it ends.  *WAS_SENT tells whether a byte of the
   request may have reached the server.  Returns 0 when the whole answer was
   given to SINK, a result of SINK, or:
   CS_ERR_CONNECT: no connection stood.
   CS_ERR_SILENT: nothing came until the time of SINK.
   CS_ERR_CUT: the connection ended before the answer did.
   CS_ERR_WRONG_ANSWER: what came is no answer.  */
int cs_http_client_call (cs_http_client_t *client, const cs_http_call_t *call,
                         const cs_http_sink_t *sink, void *context,
                         bool *was_sent);

/* Whether the connection can carry another call.  */
bool cs_http_client_is_kept (const cs_http_client_t *client);

#endif
