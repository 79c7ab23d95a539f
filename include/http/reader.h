/* An incremental reader of HTTP/1.1 messages on one connection, on
   libhttp-parser, with what its strict mode leaves open checked here: line
   ends, folded fields, doubled lengths.

   The head is collected whole before anything of it is acted on; the body is
   handed on as it comes.  Not thread-safe.  */

#ifndef CS_HTTP_READER_H
#define CS_HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"
#include "http/head.h"

typedef enum
{
  CS_HTTP_REQUESTS,
  CS_HTTP_RESPONSES
} cs_http_side_t;

typedef enum
{
  CS_HTTP_IN_HEAD, /* also between messages */
  CS_HTTP_IN_BODY,
  CS_HTTP_COMPLETE, /* until cs_http_reader_next */
  CS_HTTP_BROKEN    /* for good */
} cs_http_state_t;

/* What feeding does while it reads.  */
typedef struct
{
  /* The head is complete.  Returns false to stop feeding after it.  */
  bool (*on_head) (void *context, const cs_http_head_t *head);
  void (*on_body) (void *context, cs_str_t part);
} cs_http_handlers_t;

typedef struct cs_http_reader cs_http_reader_t;

/* HEAD_MOST: longest head in bytes.  Returns NULL without memory.  */
cs_http_reader_t *cs_http_reader_create (cs_http_side_t side, size_t head_most,
                                         const cs_http_handlers_t *handlers,
                                         void *context);
void cs_http_reader_destroy (cs_http_reader_t *reader);

/* Reads from DATA and returns how many bytes were taken: fewer than all when
   the message is complete or broken, or when on_head returned false.  */
size_t cs_http_reader_feed (cs_http_reader_t *reader, cs_str_t data);

/* The connection has ended cleanly.  Completes a message whose body ends with
   the connection; any other one that has begun is broken.  */
void cs_http_reader_end (cs_http_reader_t *reader);

/* Makes ready for the next message.  */
void cs_http_reader_next (cs_http_reader_t *reader);

/* The response under way answers a HEAD request, so it has no body.  */
void cs_http_reader_expect_no_body (cs_http_reader_t *reader, bool no_body);

cs_http_state_t cs_http_reader_state (const cs_http_reader_t *reader);

/* Whether any byte of the message under way has been read.  */
bool cs_http_reader_has_begun (const cs_http_reader_t *reader);

/* CS_OK, or why the message is broken: CS_ERR_BAD_REQUEST, or
   CS_ERR_TOO_LARGE for its head.  */
int cs_http_reader_error (const cs_http_reader_t *reader);

/* The head last read; valid until cs_http_reader_next.  */
cs_http_head_t *cs_http_reader_head (cs_http_reader_t *reader);

#endif
