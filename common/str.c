#include "common/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"

cs_str_t
cs_str (const char *zero_terminated)
{
  cs_str_t s = { zero_terminated, 0 };
  if (zero_terminated != NULL)
    s.len = strlen (zero_terminated);
  return s;
}

bool
cs_str_equal (cs_str_t a, cs_str_t b)
{
  if (a.len != b.len)
    return false;
  return a.len == 0 || memcmp (a.data, b.data, a.len) == 0;
}

bool
cs_str_starts_with (cs_str_t s, cs_str_t prefix)
{
  if (s.len < prefix.len)
    return false;
  return prefix.len == 0 || memcmp (s.data, prefix.data, prefix.len) == 0;
}

int
cs_str_to_u64 (cs_str_t s, uint64_t *value)
{
  uint64_t sum = 0;
  if (s.len == 0 || s.len > 18)
    return CS_ERR_BAD_REQUEST;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.data[i] < '0' || s.data[i] > '9')
        return CS_ERR_BAD_REQUEST;
      sum = sum * 10 + (uint64_t)(s.data[i] - '0');
    }
  *value = sum;
  return 0;
}

bool
cs_name_is_valid (const char *text)
{
  size_t len = strlen (text);
  return len > 0 && len <= CS_NAME_MAX;
}

bool
cs_name_set (cs_name_t *name, cs_str_t s)
{
  size_t len = s.len > CS_NAME_MAX ? CS_NAME_MAX : s.len;
  memset (name, 0, sizeof *name);
  if (len > 0)
    memcpy (name->text, s.data, len);
  name->len = (uint8_t)len;
  return len == s.len;
}

cs_str_t
cs_name_str (const cs_name_t *name)
{
  cs_str_t s = { name->text, name->len };
  return s;
}

bool
cs_name_equal (const cs_name_t *a, const cs_name_t *b)
{
  return a->len == b->len && memcmp (a->text, b->text, a->len) == 0;
}

static int
buf_reserve (cs_buf_t *buf, size_t extra)
{
  size_t need = buf->len + extra + 1;
  if (need <= buf->capacity)
    return 0;
  size_t capacity = buf->capacity == 0 ? 64 : buf->capacity;
  while (capacity < need)
    capacity *= 2;
  char *data = realloc (buf->data, capacity);
  if (data == NULL)
    return CS_ERR_NO_MEMORY;
  buf->data = data;
  buf->capacity = capacity;
  return 0;
}

int
cs_buf_append (cs_buf_t *buf, cs_str_t s)
{
  if (buf_reserve (buf, s.len) != 0)
    return CS_ERR_NO_MEMORY;
  if (s.len > 0)
    memcpy (buf->data + buf->len, s.data, s.len);
  buf->len += s.len;
  buf->data[buf->len] = '\0';
  return 0;
}

int
cs_buf_printf (cs_buf_t *buf, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  int len = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (len < 0 || buf_reserve (buf, (size_t)len) != 0)
    return CS_ERR_NO_MEMORY;
  va_start (args, format);
  vsnprintf (buf->data + buf->len, (size_t)len + 1, format, args);
  va_end (args);
  buf->len += (size_t)len;
  return 0;
}

cs_str_t
cs_buf_str (const cs_buf_t *buf)
{
  cs_str_t s = { buf->data, buf->len };
  return s;
}

void
cs_buf_clear (cs_buf_t *buf)
{
  buf->len = 0;
  if (buf->data != NULL)
    buf->data[0] = '\0';
}

void
cs_buf_free (cs_buf_t *buf)
{
  free (buf->data);
  memset (buf, 0, sizeof *buf);
}
