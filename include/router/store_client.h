/* HTTP client for the platform's store.  Sends one request at a time on a
   persistent connection.  */

#ifndef CS_ROUTER_STORE_CLIENT_H
#define CS_ROUTER_STORE_CLIENT_H

#include "router/router.h"

typedef struct cs_store_client cs_store_client_t;

typedef struct
{
  int status;    /* HTTP status, or 0 if there was no valid response */
  uint64_t era;  /* of the store; 0 if there was no valid response */
  cs_str_t body; /* borrowed; empty unless the response was 2xx or 409 */
} cs_store_response_t;

/* Called with the result of a call.  A response of an earlier era than the
   router knows is reported as none.  */
typedef void cs_store_response_fn (void *context,
                                   const cs_store_response_t *response);

/* Returns NULL when memory runs out or the platform's address is invalid.  */
cs_store_client_t *cs_store_client_create (cs_router_t *router,
                                           cs_store_response_fn *on_response,
                                           void *context);
void cs_store_client_destroy (cs_store_client_t *client);

/* Starts a call; none may be in flight.  METHOD is the name of an HTTP method,
   such as "GET"; BODY is JSON or empty.  ON_RESPONSE is called within
   TIMEOUT_US, after this function has returned.  */
void cs_store_client_call (cs_store_client_t *client, const char *method,
                           cs_str_t path, cs_str_t body,
                           cs_time_us_t timeout_us);

#endif
