/* Checks the head of a response while it arrives.  */

#include "http/response_head.h"

#include <ctype.h>
#include <string.h>

#define VERSION_PREFIX "HTTP/1."
#define VERSION_PREFIX_LEN (sizeof VERSION_PREFIX - 1)
/* Places in a status line.  */
#define MINOR_AT VERSION_PREFIX_LEN
#define STATUS_AT (MINOR_AT + 2)
#define STATUS_DIGITS 3
#define STATUS_SWITCHING_PROTOCOLS "101"

bool
cs_http_is_token (cs_str_t text)
{
  static const char others[] = "!#$%&'*+-.^_`|~";
  for (size_t i = 0; i < text.len; i++)
    if (!isalnum ((unsigned char)text.data[i])
        && (text.data[i] == '\0' || strchr (others, text.data[i]) == NULL))
      return false;
  return text.len > 0;
}

/* Checks as much of the three digits as TEXT has.  */
static const char *
status_fault (cs_str_t text)
{
  for (size_t i = 0; i < text.len && i < STATUS_DIGITS; i++)
    if (text.data[i] < '0' || text.data[i] > '9')
      return "status-line";
  if (text.len > 0 && (text.data[0] < '1' || text.data[0] > '5'))
    return "status";
  if (text.len >= STATUS_DIGITS
      && memcmp (text.data, STATUS_SWITCHING_PROTOCOLS, STATUS_DIGITS) == 0)
    return "status";
  if (text.len > STATUS_DIGITS && text.data[STATUS_DIGITS] != ' '
      && text.data[STATUS_DIGITS] != '\r')
    return "status-line";
  return NULL;
}

/* Checks the start of the status line, as much of it as HEAD has.  */
static const char *
status_line_fault (cs_str_t head)
{
  size_t len = head.len < MINOR_AT ? head.len : MINOR_AT;
  if (memcmp (head.data, VERSION_PREFIX, len) != 0)
    return "status-line";
  if (head.len > MINOR_AT && head.data[MINOR_AT] != '0'
      && head.data[MINOR_AT] != '1')
    return "version";
  if (head.len > MINOR_AT + 1 && head.data[MINOR_AT + 1] != ' ')
    return "status-line";
  if (head.len <= STATUS_AT)
    return NULL;
  return status_fault (
      (cs_str_t){ head.data + STATUS_AT, head.len - STATUS_AT });
}

/* Checks LINE, which may lack its end.  Its LF, if any, is its last byte.  */
static const char *
line_fault (cs_str_t line)
{
  const char *cr = memchr (line.data, '\r', line.len);
  bool has_end = line.data[line.len - 1] == '\n';
  if (memchr (line.data, '\0', line.len) != NULL)
    return "line";
  if (cr == NULL)
    return has_end ? "line" : NULL;
  size_t after_cr = line.len - (size_t)(cr - line.data) - 1;
  return after_cr == (has_end ? 1 : 0) ? NULL : "line";
}

static const char *
field_fault (cs_str_t line)
{
  const char *colon = memchr (line.data, ':', line.len);
  if (colon == NULL)
    return "field";
  cs_str_t name = { line.data, (size_t)(colon - line.data) };
  return cs_http_is_token (name) ? NULL : "field";
}

const char *
cs_http_response_head_fault (cs_str_t head, size_t *checked)
{
  const char *fault = *checked == 0 ? status_line_fault (head) : NULL;
  while (fault == NULL && *checked < head.len)
    {
      const char *start = head.data + *checked;
      const char *end = memchr (start, '\n', head.len - *checked);
      size_t len
          = end == NULL ? head.len - *checked : (size_t)(end - start) + 1;
      cs_str_t line = { start, len };
      fault = line_fault (line);
      if (end == NULL)
        break;
      bool is_field = *checked > 0 && len > 2; /* more than CR LF */
      if (fault == NULL && is_field)
        fault = field_fault (line);
      *checked += len;
    }
  return fault;
}
