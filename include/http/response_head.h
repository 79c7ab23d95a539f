/* Checks the head of a response while it arrives, so that one that can't
   become valid ends at once instead of being waited for.  */

#ifndef CS_HTTP_RESPONSE_HEAD_H
#define CS_HTTP_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stddef.h>

#include "common/str.h"

/* Whether TEXT is a token of HTTP, such as the name of a field.  */
bool cs_http_is_token (cs_str_t text);

/* Checks HEAD, the first bytes of a response up to the end of its head at
   most. The status line must name HTTP/1.0 or 1.1 and a status of 100 to 599
   except 101, all lines must end in CR LF, and each further line must be a
   field. Returns NULL if HEAD is the beginning of a valid head, or else what
   is wrong: "status-line", "version", "status", "line" or "field".

   *CHECKED is the number of bytes of whole lines that were found to be valid;
   it starts at 0 and is kept between calls for the same head.  */
const char *cs_http_response_head_fault (cs_str_t head, size_t *checked);

#endif
