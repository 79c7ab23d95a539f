/* Calls to the platform's store, one at a time on a kept connection.  */

#ifndef CS_ROUTER_STORE_CLIENT_H
#define CS_ROUTER_STORE_CLIENT_H

#include <jansson.h>

#include "router/router.h"

typedef struct cs_store_client cs_store_client_t;

/* STATUS is the HTTP status, or 0 when there was no answer; BODY is borrowed
   and NULL unless the answer was 2xx with JSON.  */
typedef void cs_store_answer_fn (void *context, int status,
                                 const json_t *body);

cs_store_client_t *cs_store_client_create (cs_router_t *router,
                                           cs_store_answer_fn *answer,
                                           void *context);
void cs_store_client_destroy (cs_store_client_t *client);

/* Starts a call; one at a time.  METHOD is a name such as "GET"; BODY is JSON,
   or empty.  ANSWER is called later, at the latest after TIMEOUT_US.  */
void cs_store_client_call (cs_store_client_t *client, const char *method,
                           cs_str_t path, cs_str_t body,
                           cs_time_us_t timeout_us);

#endif
