/* Functions of a request that are called by its worker.  */

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "daemon/web/internal.h"

#define READ_BYTES 16384

const char *
cs_web_method (const cs_web_request_t *request)
{
  return cs_http_reader_head (request->reader)->method.data;
}

const char *
cs_web_path (const cs_web_request_t *request)
{
  return request->path;
}

const char *
cs_web_query (const cs_web_request_t *request)
{
  return request->query;
}

bool
cs_web_is_http_1_1 (const cs_web_request_t *request)
{
  return cs_http_reader_head (request->reader)->minor == 1;
}

const char *
cs_web_header (const cs_web_request_t *request, const char *name)
{
  const cs_str_t *value
      = cs_http_head_find (cs_http_reader_head (request->reader), name);
  return value == NULL ? NULL : value->data;
}

bool
cs_web_is_too_large (const cs_web_request_t *request, size_t max_bytes)
{
  const cs_http_head_t *head = cs_http_reader_head (request->reader);
  return head->has_length && head->length > max_bytes;
}

static void
feed_body (cs_web_request_t *request, cs_str_t data)
{
  size_t consumed = cs_http_reader_feed (request->reader, data);
  cs_buf_clear (&request->read_ahead);
  if (consumed < data.len)
    cs_buf_append (&request->read_ahead,
                   (cs_str_t){ data.data + consumed, data.len - consumed });
}

int
cs_web_read_body (cs_web_request_t *request, size_t max_bytes, cs_buf_t *out)
{
  char buffer[READ_BYTES];
  cs_buf_t read_ahead = request->read_ahead;
  request->read_ahead = (cs_buf_t){ 0 };
  request->body = out;
  request->max_body_bytes = max_bytes;
  request->body_rc = CS_OK;
  feed_body (request, cs_buf_str (&read_ahead));
  cs_buf_free (&read_ahead);
  while (cs_http_reader_state (request->reader) == CS_HTTP_IN_BODY
         && request->body_rc == 0)
    {
      ssize_t received = recv (request->fd, buffer, sizeof buffer, 0);
      if (received < 0 && errno == EINTR)
        continue;
      if (received <= 0)
        return CS_ERR_BAD_REQUEST;
      feed_body (request, (cs_str_t){ buffer, (size_t)received });
    }
  if (request->body_rc == 0
      && cs_http_reader_state (request->reader) == CS_HTTP_BROKEN)
    return CS_ERR_BAD_REQUEST;
  return request->body_rc;
}

int
cs_web_write (cs_web_request_t *request, cs_str_t data)
{
  while (data.len > 0)
    {
      ssize_t sent = send (request->fd, data.data, data.len, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        {
          request->close_after = true;
          return CS_ERR_CALLER_GONE;
        }
      data.data += sent;
      data.len -= (size_t)sent;
    }
  return CS_OK;
}

int
cs_web_printf (cs_web_request_t *request, const char *format, ...)
{
  char *text = NULL;
  va_list args;
  va_start (args, format);
  int len = vasprintf (&text, format, args);
  va_end (args);
  if (len < 0)
    return CS_ERR_NO_MEMORY;
  int rc = cs_web_write (request, (cs_str_t){ text, (size_t)len });
  free (text);
  return rc;
}

void
cs_web_close_after (cs_web_request_t *request)
{
  request->close_after = true;
}

/* Copies the request target, and zero-terminates the method and the values of
   the header fields in place: each is followed by a byte of the head that has
   been parsed already.  */
static int
prepare_request (cs_web_request_t *request)
{
  cs_http_head_t *head = cs_http_reader_head (request->reader);
  char *query_start;
  request->path = strndup (head->target.data, head->target.len);
  if (request->path == NULL)
    return CS_ERR_NO_MEMORY;
  query_start = strchr (request->path, '?');
  request->query = query_start == NULL ? "" : query_start + 1;
  if (query_start != NULL)
    *query_start = '\0';
  ((char *)head->method.data)[head->method.len] = '\0';
  for (size_t i = 0; i < head->count; i++)
    ((char *)head->fields[i].value.data)[head->fields[i].value.len] = '\0';
  return CS_OK;
}

bool
cs_web_serve (cs_web_request_t *request)
{
  cs_web_t *web = request->web;
  request->close_after = !cs_http_reader_head (request->reader)->keep_alive;
  if (prepare_request (request) != 0)
    return false;
  web->options.handle (request, web->options.context);
  free (request->path);
  request->path = NULL;
  /* The rest of a body would be parsed as the next request.  */
  if (cs_http_reader_state (request->reader) != CS_HTTP_COMPLETE)
    request->close_after = true;
  if (request->close_after)
    {
      cs_web_begin_linger (request);
      return true;
    }
  cs_http_reader_next (request->reader);
  request->head_done = false;
  return true;
}
