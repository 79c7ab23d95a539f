#include "router/list_cursor.h"

#include "common/hash.h"

/* The greatest character, U+10FFFF.  */
#define GREATEST "\xf4\x8f\xbf\xbf"

/* Of the bytes of a character in UTF-8, all but the first have these bits.  */
#define CONTINUATION_MASK 0xc0
#define CONTINUATION 0x80

void
cs_list_cursor_reset (cs_list_cursor_t *cursor)
{
  cs_buf_clear (&cursor->after);
  cursor->is_broken = false;
}

void
cs_list_cursor_free (cs_list_cursor_t *cursor)
{
  cs_buf_free (&cursor->after);
}

cs_str_t
cs_list_cursor_after (const cs_list_cursor_t *cursor)
{
  return cs_buf_str (&cursor->after);
}

bool
cs_list_cursor_is_begun (const cs_list_cursor_t *cursor)
{
  return cursor->after.len > 0;
}

static uint64_t
position (const cs_list_cursor_t *cursor)
{
  return cs_hash (cs_buf_str (&cursor->after), 0);
}

void
cs_list_cursor_begin_page (cs_list_cursor_t *cursor)
{
  cursor->begun_at = position (cursor);
  cursor->is_broken = false;
}

/* Returns the first CS_LIST_CURSOR_MAX bytes of NAME, without a character that
   this would cut.  */
static cs_str_t
cut (cs_str_t name)
{
  cs_str_t part = { name.data, CS_LIST_CURSOR_MAX };
  while (part.len > 0
         && ((unsigned char)name.data[part.len] & CONTINUATION_MASK)
                == CONTINUATION)
    part.len--;
  return part;
}

void
cs_list_cursor_pass (cs_list_cursor_t *cursor, cs_str_t name)
{
  bool is_long = name.len > CS_LIST_CURSOR_MAX;
  cs_buf_clear (&cursor->after);
  int rc = cs_buf_append (&cursor->after, is_long ? cut (name) : name);
  if (rc == 0 && is_long)
    rc = cs_buf_append (&cursor->after, cs_str (GREATEST));
  if (rc != 0)
    cursor->is_broken = true;
}

bool
cs_list_cursor_has_moved (const cs_list_cursor_t *cursor)
{
  return !cursor->is_broken && cs_list_cursor_is_begun (cursor)
         && position (cursor) != cursor->begun_at;
}
