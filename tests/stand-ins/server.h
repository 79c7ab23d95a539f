/* HTTP server shared by the stand-ins, which take the place of targets and the
   platform in scenarios.  */

#ifndef CS_STAND_IN_SERVER_H
#define CS_STAND_IN_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>

/* Prints "listening IP:PORT", serves all paths with HANDLER and exits on
   SIGTERM or SIGINT.  LISTEN is an IP address and port; with port 0 the kernel
   chooses one.  Returns an exit status if it cannot listen.  */
int stand_in_serve (const char *listen, mg_request_handler handler,
                    void *context);

/* Returns the number NAME of the query string, or FALLBACK without one.  */
long stand_in_query (const struct mg_request_info *info, const char *name,
                     long fallback);

/* Reads the whole request body and appends a zero byte, which *LEN does not
   count.  The caller frees the result.  Returns NULL when out of memory.  */
char *stand_in_body (struct mg_connection *connection, size_t *len);

/* Sends a JSON response.  Takes ownership of BODY.  EXTRA_HEADERS is empty or
   header lines that each end in CRLF.  */
void stand_in_respond (struct mg_connection *connection, int status,
                       json_t *body, const char *extra_headers);

/* Sleeps for MS milliseconds; returns at once if MS is not positive.  */
void stand_in_sleep_ms (long ms);

#endif
