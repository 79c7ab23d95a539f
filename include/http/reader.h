/* An incremental reader of the HTTP/1.1 messages of one connection.  It uses
   libhttp-parser and adds checks that the parser's strict mode lacks: line
   endings, folded fields, repeated Content-Length.  A response is broken as
   soon as its head can't become that of one with a status of 100 to 599 except
   101.

   The head is buffered until it is complete and then parsed as a whole; the
   body is passed on as it arrives.  Not thread-safe.  */

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
} cs_http_message_kind_t;

typedef enum
{
  CS_HTTP_IN_HEAD, /* also between messages */
  CS_HTTP_IN_BODY,
  CS_HTTP_COMPLETE, /* until cs_http_reader_next */
  CS_HTTP_BROKEN    /* malformed or truncated; cannot be read further */
} cs_http_state_t;

/* Callbacks of cs_http_reader_feed.  */
typedef struct
{
  /* Called when the head is complete.  Returns false to leave the data after
     the head unread.  */
  bool (*on_head) (void *context, const cs_http_head_t *head);
  void (*on_body) (void *context, cs_str_t part);
} cs_http_handlers_t;

typedef struct cs_http_reader cs_http_reader_t;

/* MAX_HEAD bounds the size of a head in bytes.  Returns NULL when out of
   memory.  */
cs_http_reader_t *cs_http_reader_create (cs_http_message_kind_t kind,
                                         size_t max_head,
                                         const cs_http_handlers_t *handlers,
                                         void *context);
void cs_http_reader_destroy (cs_http_reader_t *reader);

/* Parses DATA and returns the number of bytes consumed, which is less than all
   when the message is complete or broken, or when on_head returned false.  */
size_t cs_http_reader_feed (cs_http_reader_t *reader, cs_str_t data);

/* Reports that the peer closed the connection.  Completes a response whose
   body ends with the connection; any other unfinished message becomes broken.
 */
void cs_http_reader_end (cs_http_reader_t *reader);

/* Resets the reader for the next message of the connection.  */
void cs_http_reader_next (cs_http_reader_t *reader);

/* Tells the reader whether the next response has no body, because it is to a
   HEAD request.  Reset by cs_http_reader_next.  */
void cs_http_reader_expect_no_body (cs_http_reader_t *reader, bool no_body);

cs_http_state_t cs_http_reader_state (const cs_http_reader_t *reader);

/* Whether any byte of the current message has been read.  */
bool cs_http_reader_has_begun (const cs_http_reader_t *reader);

/* Returns CS_OK, or why the message is broken: CS_ERR_BAD_REQUEST,
   CS_ERR_TOO_LARGE when its head exceeds the bound, or CS_ERR_NO_MEMORY.  */
int cs_http_reader_error (const cs_http_reader_t *reader);

/* Returns what is wrong with a broken message, in one word for a log line, or
   "".  */
const char *cs_http_reader_fault (const cs_http_reader_t *reader);

/* Returns the last head read; valid until cs_http_reader_next.  */
cs_http_head_t *cs_http_reader_head (cs_http_reader_t *reader);

#endif
