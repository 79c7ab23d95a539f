/* The position in a list of the store that comes in pages: the name after
   which the next page begins.  Names come from any writer and have no bound.
 */

#ifndef CS_ROUTER_LIST_CURSOR_H
#define CS_ROUTER_LIST_CURSOR_H

#include <stdbool.h>

#include "common/str.h"

/* Longest name that a page begins after.  Where one is longer, the next page
   begins after all names that share this many of its bytes.  */
#define CS_LIST_CURSOR_MAX 4096

/* Initialise with zeros; release with cs_list_cursor_free.  */
typedef struct
{
  cs_buf_t after; /* empty: the next page is the first one */
  uint64_t begun_at;
  bool is_broken; /* memory was exhausted */
} cs_list_cursor_t;

/* Goes back to the first page.  */
void cs_list_cursor_reset (cs_list_cursor_t *cursor);
void cs_list_cursor_free (cs_list_cursor_t *cursor);

cs_str_t cs_list_cursor_after (const cs_list_cursor_t *cursor);
bool cs_list_cursor_is_begun (const cs_list_cursor_t *cursor);

/* A page is read that begins at CURSOR.  */
void cs_list_cursor_begin_page (cs_list_cursor_t *cursor);

/* The page has an object NAME.  */
void cs_list_cursor_pass (cs_list_cursor_t *cursor, cs_str_t name);

/* Whether the page that was read has brought the list forward.  */
bool cs_list_cursor_has_moved (const cs_list_cursor_t *cursor);

#endif
