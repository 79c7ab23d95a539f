/* What the stand-ins share: start a server on a port that the kernel chooses,
   print "listening IP:PORT", and serve until SIGTERM.  */

#ifndef CS_STAND_IN_SERVER_H
#define CS_STAND_IN_SERVER_H

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>

/* Serves HANDLER for all paths; returns the exit status.  LISTEN is an IP
   number and port.  */
int stand_in_serve (const char *listen, mg_request_handler handler,
                    void *context);

/* Reads a number from the query string; FALLBACK when it is not there.  */
long stand_in_query (const struct mg_request_info *info, const char *name,
                     long fallback);

/* Reads the body, zero-terminated; the caller frees it.  */
char *stand_in_body (struct mg_connection *connection, size_t *len);

/* Sends a JSON answer, and drops the reference to BODY.  */
void stand_in_answer (struct mg_connection *connection, int status,
                      json_t *body, const char *more_headers);

/* Sleeps in small steps.  */
void stand_in_sleep_ms (long ms);

#endif
