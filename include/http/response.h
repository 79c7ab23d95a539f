/* Serialises HTTP/1.1 responses.  */

#ifndef CS_HTTP_RESPONSE_H
#define CS_HTTP_RESPONSE_H

#include <stdint.h>

#include "common/str.h"

/* Returns the standard reason phrase of STATUS, or "<unknown>" when there is
   none.  */
const char *cs_http_reason (int status);

/* Appends a status line.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_write_status (int status, cs_buf_t *out);

/* Appends a complete response: status line, FIELDS (header lines, each ending
   in CR LF; may be empty), Content-Length and BODY.  With NO_BODY, BODY is
   counted in Content-Length but not appended, as for a HEAD request.  With
   CLOSE, adds "Connection: close".  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_write_response (int status, cs_str_t fields, cs_str_t body,
                            bool no_body, bool close, cs_buf_t *out);

/* Appends one chunk of a chunked body; an empty DATA appends the last chunk.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_write_chunk (cs_str_t data, cs_buf_t *out);

#endif
