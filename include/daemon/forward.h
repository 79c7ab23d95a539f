/* Forwards a caller's request: asks for a target, sends the request to it, and
   retries as cranberrystile/retry.h decides.  */

#ifndef CS_DAEMON_FORWARD_H
#define CS_DAEMON_FORWARD_H

#include "daemon/exchange.h"
#include "daemon/prompt.h"
#include "daemon/relay.h"

typedef struct
{
  const char *path; /* at the target, with query */
  const char *method;
  const char *content_type;
  uint64_t key; /* requests with equal keys prefer the same target */
  uint32_t context_tokens; /* estimate of what the target may have cached */
  bool batch;              /* low priority */
  bool streaming;
  bool idempotent;
  const cs_prompt_t *prompt; /* NULL for plain services */
} cs_forward_options_t;

/* Forwards the request and blocks until the response is in RELAY.  Events of a
   stream are sent to the caller as they arrive; any other response is not sent
   yet.  Returns 0, or the error to report to the caller, for which
   *RETRY_AFTER_S is set.  */
int cs_forward_request (cs_exchange_t *exchange,
                        const cs_forward_options_t *options, cs_relay_t *relay,
                        uint32_t *retry_after_s);

/* Sends the caller the result RC of cs_forward_request: the response in RELAY,
   or an error.  */
void cs_forward_finish (cs_exchange_t *exchange, cs_relay_t *relay, int rc,
                        uint32_t retry_after_s);

#endif
