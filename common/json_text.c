#include "common/json_text.h"

static void
skip (cs_str_t *text, size_t len)
{
  text->data += len;
  text->len -= len;
}

static void
skip_space (cs_str_t *text)
{
  while (text->len > 0
         && (text->data[0] == ' ' || text->data[0] == '\t'
             || text->data[0] == '\n' || text->data[0] == '\r'))
    skip (text, 1);
}

/* Returns the length of the string with which TEXT begins, with its quotes; 0
   if it has no end.  */
static size_t
string_len (cs_str_t text)
{
  for (size_t i = 1; i < text.len; i++)
    {
      if (text.data[i] == '\\')
        i++;
      else if (text.data[i] == '"')
        return i + 1;
    }
  return 0;
}

/* Returns the length of the value with which TEXT begins; 0 if it has none, or
   one without an end.  */
static size_t
value_len (cs_str_t text)
{
  size_t depth = 0;
  size_t at = 0;
  while (at < text.len)
    {
      size_t len = 1;
      switch (text.data[at])
        {
        case '"':
          len = string_len ((cs_str_t){ text.data + at, text.len - at });
          if (len == 0)
            return 0;
          break;
        case '[':
        case '{':
          depth++;
          break;
        case ']':
        case '}':
          if (depth == 0)
            return at;
          depth--;
          break;
        case ',':
          if (depth == 0)
            return at;
          break;
        default:
          break;
        }
      at += len;
    }
  return 0;
}

cs_json_text_t
cs_json_text_open (cs_str_t text, char open)
{
  cs_json_text_t out = { .rest = text, .is_first = true };
  out.close = open == '[' ? ']' : '}';
  skip_space (&out.rest);
  out.is_broken = out.rest.len == 0 || out.rest.data[0] != open;
  if (!out.is_broken)
    skip (&out.rest, 1);
  return out;
}

/* Reads the name of a member and the colon after it.  */
static bool
read_name (cs_str_t *rest, cs_str_t *name)
{
  if (rest->len == 0 || rest->data[0] != '"')
    return false;
  size_t len = string_len (*rest);
  if (len == 0)
    return false;
  *name = (cs_str_t){ rest->data + 1, len - 2 };
  skip (rest, len);
  skip_space (rest);
  if (rest->len == 0 || rest->data[0] != ':')
    return false;
  skip (rest, 1);
  skip_space (rest);
  return true;
}

/* Reads what is before a value: nothing before the first, or else a comma.
   Returns false at the end.  */
static bool
read_separator (cs_json_text_t *text)
{
  skip_space (&text->rest);
  if (text->rest.len == 0)
    {
      text->is_broken = true;
      return false;
    }
  if (text->rest.data[0] == text->close)
    return false;
  if (text->is_first)
    {
      text->is_first = false;
      return true;
    }
  text->is_broken = text->rest.data[0] != ',';
  if (text->is_broken)
    return false;
  skip (&text->rest, 1);
  skip_space (&text->rest);
  return true;
}

bool
cs_json_text_next (cs_json_text_t *text, cs_str_t *name, cs_str_t *value)
{
  if (text->is_broken || !read_separator (text))
    return false;
  if (text->close == '}' && !read_name (&text->rest, name))
    {
      text->is_broken = true;
      return false;
    }
  *value = (cs_str_t){ text->rest.data, value_len (text->rest) };
  text->is_broken = value->len == 0;
  skip (&text->rest, value->len);
  return !text->is_broken;
}

cs_str_t
cs_json_text_member (cs_str_t object, const char *name)
{
  cs_json_text_t members = cs_json_text_open (object, '{');
  cs_str_t member;
  cs_str_t value;
  while (cs_json_text_next (&members, &member, &value))
    if (cs_str_equal (member, cs_str (name)))
      return value;
  return (cs_str_t){ "", 0 };
}
