/* The head of an HTTP/1.1 message: its start line and header section.  */

#ifndef CS_HTTP_HEAD_H
#define CS_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

typedef struct
{
  cs_str_t name;
  cs_str_t value;
} cs_http_field_t;

/* Zero-initialise; release with cs_http_head_free.  All strings are views into
   BYTES.  */
typedef struct
{
  cs_buf_t bytes; /* the head as received, including the blank line */
  cs_http_field_t *fields;
  size_t count;
  size_t capacity;
  cs_str_t method;    /* of a request */
  cs_str_t target;    /* of a request: path and query */
  uint16_t status;    /* of a response */
  uint8_t minor;      /* HTTP/1.MINOR */
  bool keep_alive;    /* the connection may carry another message */
  bool chunked;       /* the body has chunked transfer coding */
  bool has_length;    /* a Content-Length was given */
  uint64_t length;    /* of the body, in bytes */
  bool ends_at_close; /* of a response: the body ends with the connection */
} cs_http_head_t;

/* Returns the value of the first field NAME, or NULL.  Names are compared
   ignoring case, here and below.  */
const cs_str_t *cs_http_head_find (const cs_http_head_t *head,
                                   const char *name);

/* Returns the number of fields called NAME.  */
size_t cs_http_head_count (const cs_http_head_t *head, const char *name);

/* Appends a field.  NAME and VALUE are not copied and must stay valid as long
   as HEAD is used.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_head_add (cs_http_head_t *head, cs_str_t name, cs_str_t value);

/* Empties HEAD but keeps its allocated memory for the next message.  */
void cs_http_head_clear (cs_http_head_t *head);
void cs_http_head_free (cs_http_head_t *head);

bool cs_http_name_is (cs_str_t name, const char *expected);

/* Whether FIELD must not be forwarded: a hop-by-hop field (RFC 9110, section
   7.6.1), either a standard one or one listed in the Connection field of HEAD,
   or a field that frames the body.  */
bool cs_http_is_hop_by_hop (const cs_http_head_t *head,
                            const cs_http_field_t *field);

/* Whether the head of a response has a Content-Length that the parser has not
   taken, such as an empty one, or is of an interim response with a body.  */
bool cs_http_has_invalid_length (const cs_http_head_t *head);

/* Whether the length of the body is unambiguous: no repeated framing fields,
   and not both Content-Length and Transfer-Encoding.  */
bool cs_http_has_unambiguous_framing (const cs_http_head_t *head);

static inline bool
cs_http_is_success (int status)
{
  return status >= 200 && status < 300;
}

#endif
