#include "http/reader.h"

#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "common/error.h"
#include "http/response_head.h"

/* A message with more header fields is an attack, or was caught in a
   forwarding loop.  */
#define MAX_FIELDS 128

struct cs_http_reader
{
  http_parser parser;
  cs_http_message_kind_t kind;
  cs_http_state_t state;
  size_t max_head;
  cs_http_handlers_t handlers;
  void *context;
  cs_http_head_t head;
  cs_str_t field_name;
  bool head_parsed;
  size_t trailer_count; /* fields after a chunked body, which are ignored */
  bool no_body;
  bool stop; /* on_head returned false */
  int error;
  const char *fault;   /* of a broken message; "" if there is none */
  size_t head_checked; /* bytes of a response's head, see response_head.h */
};

static int
on_url (http_parser *parser, const char *data, size_t len)
{
  cs_http_reader_t *reader = parser->data;
  reader->head.target = (cs_str_t){ data, len };
  return 0;
}

static int
on_field (http_parser *parser, const char *data, size_t len)
{
  cs_http_reader_t *reader = parser->data;
  reader->field_name = (cs_str_t){ data, len };
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t len)
{
  cs_http_reader_t *reader = parser->data;
  cs_str_t value = { data, len };
  if (reader->head_parsed)
    return ++reader->trailer_count > MAX_FIELDS;
  while (value.len > 0
         && (value.data[value.len - 1] == ' '
             || value.data[value.len - 1] == '\t'))
    value.len--;
  if (reader->head.count >= MAX_FIELDS)
    return 1;
  return cs_http_head_add (&reader->head, reader->field_name, value) != 0;
}

/* Whether a response of STATUS has no body, whatever its fields say (RFC 9112,
   section 6.3).  The parser would wait for the body that they announce.  */
static bool
is_bodiless (unsigned status)
{
  return status < 200 || status == 204 || status == 304;
}

static int
on_headers_complete (http_parser *parser)
{
  cs_http_reader_t *reader = parser->data;
  cs_http_head_t *head = &reader->head;
  reader->head_parsed = true;
  head->minor = (uint8_t)parser->http_minor;
  head->status = (uint16_t)parser->status_code;
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? parser->content_length : 0;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->ends_at_close = reader->kind == CS_HTTP_RESPONSES && !reader->no_body
                        && !head->chunked && !head->has_length
                        && !is_bodiless (head->status);
  return reader->no_body
                 || (reader->kind == CS_HTTP_RESPONSES
                     && is_bodiless (head->status))
             ? 1
             : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t len)
{
  cs_http_reader_t *reader = parser->data;
  reader->handlers.on_body (reader->context, (cs_str_t){ data, len });
  return 0;
}

/* Pauses the parser so that it does not consume bytes after the message.  */
static int
on_complete (http_parser *parser)
{
  cs_http_reader_t *reader = parser->data;
  reader->state = CS_HTTP_COMPLETE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static void
init_parser (cs_http_reader_t *reader)
{
  http_parser_init (&reader->parser, reader->kind == CS_HTTP_REQUESTS
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  reader->parser.data = reader;
}

cs_http_reader_t *
cs_http_reader_create (cs_http_message_kind_t kind, size_t max_head,
                       const cs_http_handlers_t *handlers, void *context)
{
  cs_http_reader_t *reader = calloc (1, sizeof *reader);
  if (reader == NULL)
    return NULL;
  reader->kind = kind;
  reader->max_head = max_head;
  reader->handlers = *handlers;
  reader->context = context;
  reader->fault = "";
  init_parser (reader);
  return reader;
}

void
cs_http_reader_destroy (cs_http_reader_t *reader)
{
  if (reader == NULL)
    return;
  cs_http_head_free (&reader->head);
  free (reader);
}

static void
set_broken (cs_http_reader_t *reader, int error, const char *fault)
{
  reader->state = CS_HTTP_BROKEN;
  reader->error = error;
  reader->fault = fault;
}

/* Requires each line to end in CR LF, and rejects folded lines and any other
   CR or NUL.  HTTP implementations disagree on how to parse such heads, which
   allows request smuggling.  */
static bool
has_valid_lines (cs_str_t head)
{
  for (size_t i = 0; i < head.len; i++)
    {
      char c = head.data[i];
      if (c == '\0')
        return false;
      if (c == '\r' && (i + 1 == head.len || head.data[i + 1] != '\n'))
        return false;
      if (c != '\n')
        continue;
      if (i == 0 || head.data[i - 1] != '\r')
        return false;
      if (i + 1 < head.len
          && (head.data[i + 1] == ' ' || head.data[i + 1] == '\t'))
        return false;
    }
  return true;
}

/* Debian's build of http-parser accepts spaces in field names, so that
   "Transfer-Encoding : chunked" would not frame the body here but might do so
   at the next server.  */
static bool
has_valid_names (const cs_http_head_t *head)
{
  for (size_t i = 0; i < head->count; i++)
    if (!cs_http_is_token (head->fields[i].name))
      return false;
  return true;
}

/* Accepts only a path as the request target, and sets the method of HEAD.  */
static bool
read_request_line (cs_http_head_t *head)
{
  const char *space = memchr (head->bytes.data, ' ', head->bytes.len);
  if (space == NULL || head->target.len == 0 || head->target.data[0] != '/')
    return false;
  head->method
      = (cs_str_t){ head->bytes.data, (size_t)(space - head->bytes.data) };
  return true;
}

/* Runs the parser on the complete head, so that the views that it stores all
   point into one buffer.  */
static void
parse_head (cs_http_reader_t *reader)
{
  cs_http_head_t *head = &reader->head;
  if (!has_valid_lines (cs_buf_str (&head->bytes)))
    {
      set_broken (reader, CS_ERR_BAD_REQUEST, "line");
      return;
    }
  reader->state = CS_HTTP_IN_BODY;
  size_t parsed = http_parser_execute (&reader->parser, &callbacks,
                                       head->bytes.data, head->bytes.len);
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);
  bool is_parsed = error == HPE_OK || error == HPE_PAUSED;
  if (!is_parsed || parsed < head->bytes.len || reader->parser.upgrade != 0
      || head->minor > 1 || reader->parser.http_major != 1
      || !has_valid_names (head)
      || (reader->kind == CS_HTTP_REQUESTS && !read_request_line (head)))
    {
      set_broken (reader, CS_ERR_BAD_REQUEST, "head");
      return;
    }
  if (!cs_http_has_unambiguous_framing (head)
      || (reader->kind == CS_HTTP_RESPONSES
          && cs_http_has_invalid_length (head)))
    {
      set_broken (reader, CS_ERR_BAD_REQUEST, "framing");
      return;
    }
  if (!reader->handlers.on_head (reader->context, head))
    reader->stop = true;
}

static const char head_end[] = "\r\n\r\n";
#define HEAD_END_LEN (sizeof head_end - 1)

/* Marks a response as broken if its head, as far as it is there, can't become
   valid.  */
static void
check_response_head (cs_http_reader_t *reader)
{
  const char *fault = cs_http_response_head_fault (
      cs_buf_str (&reader->head.bytes), &reader->head_checked);
  if (fault != NULL)
    set_broken (reader, CS_ERR_BAD_REQUEST, fault);
}

/* Appends DATA to the buffered head, and parses it once it is complete.  Skips
   empty lines before a request.  Returns the number of bytes consumed.  */
static size_t
buffer_head (cs_http_reader_t *reader, cs_str_t data)
{
  cs_buf_t *bytes = &reader->head.bytes;
  size_t skipped = 0;
  if (bytes->len == 0 && reader->kind == CS_HTTP_REQUESTS)
    while (skipped + 1 < data.len && data.data[skipped] == '\r'
           && data.data[skipped + 1] == '\n')
      skipped += 2;
  size_t before = bytes->len;
  size_t available = reader->max_head + HEAD_END_LEN - before;
  cs_str_t part = { data.data + skipped, data.len - skipped };
  if (part.len > available)
    part.len = available;
  /* A head that came with its body must not take memory for the body.  */
  const char *part_end
      = part.len == 0 ? NULL
                      : memmem (part.data, part.len, head_end, HEAD_END_LEN);
  if (part_end != NULL)
    part.len = (size_t)(part_end - part.data) + HEAD_END_LEN;
  if (cs_buf_append (bytes, part) != 0)
    {
      set_broken (reader, CS_ERR_NO_MEMORY, "memory");
      return data.len;
    }
  size_t search_from = before < HEAD_END_LEN ? 0 : before - HEAD_END_LEN + 1;
  char *end = bytes->len == 0
                  ? NULL
                  : memmem (bytes->data + search_from,
                            bytes->len - search_from, head_end, HEAD_END_LEN);
  size_t consumed = skipped + part.len;
  if (end != NULL)
    {
      bytes->len = (size_t)(end - bytes->data) + HEAD_END_LEN;
      consumed = skipped + bytes->len - before;
    }
  if (bytes->len > reader->max_head)
    set_broken (reader, CS_ERR_TOO_LARGE, "size");
  else if (reader->kind == CS_HTTP_RESPONSES)
    check_response_head (reader);
  if (end != NULL && reader->state == CS_HTTP_IN_HEAD)
    parse_head (reader);
  return consumed;
}

size_t
cs_http_reader_feed (cs_http_reader_t *reader, cs_str_t data)
{
  size_t consumed = 0;
  reader->stop = false;
  if (reader->state == CS_HTTP_IN_HEAD && data.len > 0)
    consumed = buffer_head (reader, data);
  if (reader->state != CS_HTTP_IN_BODY || reader->stop || consumed >= data.len)
    return consumed;
  size_t parsed = http_parser_execute (
      &reader->parser, &callbacks, data.data + consumed, data.len - consumed);
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    set_broken (reader, CS_ERR_BAD_REQUEST, "body");
  return consumed + parsed;
}

void
cs_http_reader_end (cs_http_reader_t *reader)
{
  if (reader->state == CS_HTTP_IN_BODY && reader->head.ends_at_close)
    reader->state = CS_HTTP_COMPLETE;
  else if (reader->state != CS_HTTP_COMPLETE
           && cs_http_reader_has_begun (reader))
    set_broken (reader, CS_ERR_BAD_REQUEST,
                reader->state == CS_HTTP_IN_HEAD ? "head-cut" : "body-cut");
}

void
cs_http_reader_next (cs_http_reader_t *reader)
{
  int status = reader->head.status;
  /* What follows an interim response answers the same request.  */
  bool is_interim = status >= 100 && status < 200;
  cs_http_head_clear (&reader->head);
  init_parser (reader);
  reader->state = CS_HTTP_IN_HEAD;
  reader->head_parsed = false;
  reader->trailer_count = 0;
  reader->head_checked = 0;
  reader->no_body = reader->no_body && is_interim;
}

void
cs_http_reader_expect_no_body (cs_http_reader_t *reader, bool no_body)
{
  reader->no_body = no_body;
}

cs_http_state_t
cs_http_reader_state (const cs_http_reader_t *reader)
{
  return reader->state;
}

bool
cs_http_reader_has_begun (const cs_http_reader_t *reader)
{
  return reader->state != CS_HTTP_IN_HEAD || reader->head.bytes.len > 0;
}

int
cs_http_reader_error (const cs_http_reader_t *reader)
{
  return reader->error;
}

const char *
cs_http_reader_fault (const cs_http_reader_t *reader)
{
  return reader->fault;
}

cs_http_head_t *
cs_http_reader_head (cs_http_reader_t *reader)
{
  return &reader->head;
}
