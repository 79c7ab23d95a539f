/* Cuts a JSON text into the values of its outermost array or object without
   parsing them, so that a value that can't be parsed leaves the others
   readable.  Uses neither memory nor the stack for nested values.  */

#ifndef CS_COMMON_JSON_TEXT_H
#define CS_COMMON_JSON_TEXT_H

#include <stdbool.h>

#include "common/str.h"

typedef struct
{
  cs_str_t rest;  /* what has not been read yet */
  char close;     /* the bracket that ends the array or object */
  bool is_first;  /* nothing has been read yet */
  bool is_broken; /* the text is not that of an array or object */
} cs_json_text_t;

/* Starts reading TEXT, which has to begin with the bracket OPEN, '[' or '{'.
   It is broken otherwise.  */
cs_json_text_t cs_json_text_open (cs_str_t text, char open);

/* Stores the text of the next value in *VALUE, and, of an object, the text of
   its name, without quotes and with its escapes, in *NAME.  Returns false at
   the end, or if the text is broken.  */
bool cs_json_text_next (cs_json_text_t *text, cs_str_t *name, cs_str_t *value);

/* Returns the text of the first member NAME of the object OBJECT; empty if
   there is none.  */
cs_str_t cs_json_text_member (cs_str_t object, const char *name);

#endif
