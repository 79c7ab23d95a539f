#include "cranberrystile/event_stream.h"

#include <string.h>

#include "common/error.h"

/* Larger than any event in the stream of a model.  */
#define MAX_EVENT_BYTES (256U * 1024)

/* Returns the length of the first event of TEXT including the blank line that
   ends it, or 0 if TEXT holds no complete event.  The first FROM bytes are
   known not to hold the end.  */
static size_t
first_event_len (cs_str_t text, size_t from)
{
  for (size_t i = from; i < text.len; i++)
    {
      if (text.data[i] != '\n')
        continue;
      size_t line_end = i > 0 && text.data[i - 1] == '\r' ? i - 1 : i;
      if (line_end == 0 || text.data[line_end - 1] == '\n')
        return i + 1;
    }
  return 0;
}

/* Whether EVENT has a line that is neither empty nor a comment.  */
static bool
has_field (cs_str_t event)
{
  bool at_line_start = true;
  for (size_t i = 0; i < event.len; i++)
    {
      char c = event.data[i];
      if (at_line_start && c != ':' && c != '\r' && c != '\n')
        return true;
      at_line_start = c == '\n';
    }
  return false;
}

/* Whether a line of TEXT is the status line of an HTTP response, which a
   target or something before it wrote into a stream that has no framing of its
   own.  */
static bool
has_status_line (cs_str_t text)
{
  while (text.len > 0)
    {
      if (cs_str_starts_with (text, cs_str ("HTTP/1.")))
        return true;
      const char *end = memchr (text.data, '\n', text.len);
      if (end == NULL)
        return false;
      text.len -= (size_t)(end - text.data) + 1;
      text.data = end + 1;
    }
  return false;
}

/* Returns the value of the field "id" of EVENT, empty if there is none.  */
static cs_str_t
event_id (cs_str_t event)
{
  cs_str_t id = { NULL, 0 };
  size_t at = 0;
  while (at < event.len)
    {
      const char *end = memchr (event.data + at, '\n', event.len - at);
      size_t len
          = end == NULL ? event.len - at : (size_t)(end - event.data) - at;
      cs_str_t line = { event.data + at, len };
      at += len + 1;
      if (line.len > 0 && line.data[line.len - 1] == '\r')
        line.len--;
      if (!cs_str_starts_with (line, cs_str ("id:")))
        continue;
      size_t skip = line.len > 3 && line.data[3] == ' ' ? 4 : 3;
      id = (cs_str_t){ line.data + skip, line.len - skip };
    }
  return id;
}

/* Records the id of EVENT.  Returns false if it was forwarded before.  */
static bool
is_new (cs_event_stream_t *stream, cs_str_t event)
{
  cs_str_t id = event_id (event);
  uint64_t number;
  if (id.len == 0)
    return true;
  if (cs_str_to_u64 (id, &number) == 0)
    {
      if (stream->last_id.len > 0 && number <= stream->last_number)
        return false;
      stream->last_number = number;
    }
  /* A stream does not go on after a part of an id.  */
  if (!cs_name_set (&stream->last_id, id))
    stream->last_id.len = 0;
  return true;
}

int
cs_event_stream_add (cs_event_stream_t *stream, cs_str_t part,
                     cs_buf_t *complete)
{
  cs_str_t rest = part;
  size_t from = stream->scanned;
  size_t len;
  if (stream->partial.len > 0)
    {
      if (cs_buf_append (&stream->partial, part) != 0)
        return CS_ERR_NO_MEMORY;
      rest = cs_buf_str (&stream->partial);
    }
  while ((len = first_event_len (rest, from)) > 0)
    {
      cs_str_t event = { rest.data, len };
      if (has_status_line (event))
        return CS_ERR_WRONG_ANSWER;
      if (is_new (stream, event))
        {
          if (cs_buf_append (complete, event) != 0)
            return CS_ERR_NO_MEMORY;
          if (has_field (event))
            stream->count++;
        }
      rest.data += len;
      rest.len -= len;
      from = 0;
    }
  stream->scanned = rest.len;
  if (rest.len > MAX_EVENT_BYTES)
    return CS_ERR_TOO_LARGE;
  if (stream->partial.len == 0)
    return rest.len == 0 ? CS_OK : cs_buf_append (&stream->partial, rest);
  if (rest.data != stream->partial.data)
    memmove (stream->partial.data, rest.data, rest.len);
  stream->partial.len = rest.len;
  return CS_OK;
}

void
cs_event_stream_discard_partial (cs_event_stream_t *stream)
{
  cs_buf_clear (&stream->partial);
  stream->scanned = 0;
}

bool
cs_event_stream_is_at_boundary (const cs_event_stream_t *stream)
{
  return stream->partial.len == 0;
}

void
cs_event_stream_free (cs_event_stream_t *stream)
{
  cs_buf_free (&stream->partial);
}
