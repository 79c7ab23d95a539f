#include "http/head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "common/error.h"

#define INITIAL_FIELD_CAPACITY 16 /* most heads have fewer fields */

bool
cs_http_name_is (cs_str_t name, const char *expected)
{
  return strlen (expected) == name.len
         && strncasecmp (name.data, expected, name.len) == 0;
}

const cs_str_t *
cs_http_head_find (const cs_http_head_t *head, const char *name)
{
  for (size_t i = 0; i < head->count; i++)
    if (cs_http_name_is (head->fields[i].name, name))
      return &head->fields[i].value;
  return NULL;
}

size_t
cs_http_head_count (const cs_http_head_t *head, const char *name)
{
  size_t found = 0;
  for (size_t i = 0; i < head->count; i++)
    if (cs_http_name_is (head->fields[i].name, name))
      found++;
  return found;
}

int
cs_http_head_add (cs_http_head_t *head, cs_str_t name, cs_str_t value)
{
  if (head->count == head->capacity)
    {
      size_t capacity
          = head->capacity == 0 ? INITIAL_FIELD_CAPACITY : head->capacity * 2;
      cs_http_field_t *fields
          = realloc (head->fields, capacity * sizeof *fields);
      if (fields == NULL)
        return CS_ERR_NO_MEMORY;
      head->fields = fields;
      head->capacity = capacity;
    }
  head->fields[head->count].name = name;
  head->fields[head->count].value = value;
  head->count++;
  return CS_OK;
}

void
cs_http_head_clear (cs_http_head_t *head)
{
  cs_buf_t bytes = head->bytes;
  cs_http_field_t *fields = head->fields;
  size_t capacity = head->capacity;
  cs_buf_clear (&bytes);
  memset (head, 0, sizeof *head);
  head->bytes = bytes;
  head->fields = fields;
  head->capacity = capacity;
}

void
cs_http_head_free (cs_http_head_t *head)
{
  cs_buf_free (&head->bytes);
  free (head->fields);
  memset (head, 0, sizeof *head);
}

/* Whether the comma-separated LIST contains NAME.  */
static bool
is_in_list (cs_str_t list, cs_str_t name)
{
  size_t at = 0;
  while (at < list.len)
    {
      while (at < list.len
             && (list.data[at] == ' ' || list.data[at] == ','
                 || list.data[at] == '\t'))
        at++;
      size_t begin = at;
      while (at < list.len && list.data[at] != ',' && list.data[at] != ' '
             && list.data[at] != '\t')
        at++;
      if (at - begin == name.len
          && strncasecmp (list.data + begin, name.data, name.len) == 0)
        return true;
    }
  return false;
}

bool
cs_http_is_hop_by_hop (const cs_http_head_t *head,
                       const cs_http_field_t *field)
{
  static const char *const names[]
      = { "connection",        "content-length",    "expect",
          "keep-alive",        "proxy-connection",  "te",
          "trailer",           "transfer-encoding", "upgrade",
          "proxy-authenticate" };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (cs_http_name_is (field->name, names[i]))
      return true;
  for (size_t i = 0; i < head->count; i++)
    if (cs_http_name_is (head->fields[i].name, "connection")
        && is_in_list (head->fields[i].value, field->name))
      return true;
  return false;
}

bool
cs_http_has_invalid_length (const cs_http_head_t *head)
{
  size_t lengths = cs_http_head_count (head, "content-length");
  return (lengths > 0 && !head->has_length)
         || (head->status < 200
             && (head->chunked || (head->has_length && head->length > 0)));
}

bool
cs_http_has_unambiguous_framing (const cs_http_head_t *head)
{
  const cs_str_t *coding = cs_http_head_find (head, "transfer-encoding");
  if (cs_http_head_count (head, "content-length") > 1)
    return false;
  if (coding == NULL)
    return true;
  return cs_http_head_count (head, "transfer-encoding") == 1
         && cs_http_name_is (*coding, "chunked") && head->minor == 1
         && !head->has_length;
}
