/* Writes the heads of HTTP/1.1 answers.  */

#ifndef CS_HTTP_ANSWER_H
#define CS_HTTP_ANSWER_H

#include <stdint.h>

#include "common/str.h"

/* Standard reason phrase of STATUS; "Unknown" without one.  */
const char *cs_http_reason (int status);

/* Appends a status line.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_write_status (int status, cs_buf_t *out);

/* Appends a whole answer: status line, FIELDS (each with its line end, may be
   empty), Content-Length and BODY, which is named only when NO_BODY.  Closes
   the connection after it when CLOSE.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_http_write_answer (int status, cs_str_t fields, cs_str_t body,
                          bool no_body, bool close, cs_buf_t *out);

/* Appends one chunk of a chunked body; an empty DATA ends the body.  */
int cs_http_write_chunk (cs_str_t data, cs_buf_t *out);

#endif
