/* Places a request, sends it to its target, and retries as the library
   decides.  */

#ifndef CS_DAEMON_RUN_H
#define CS_DAEMON_RUN_H

#include "daemon/exchange.h"
#include "daemon/prompt.h"
#include "daemon/relay.h"

typedef struct
{
  const char *path;
  const char *method;
  const char *content_type;
  uint64_t key;
  uint32_t context_tokens;
  bool batch;
  bool streaming;
  bool idempotent;
  const cs_prompt_t *prompt; /* NULL for plain services */
} cs_run_t;

/* Runs until there is an answer in RELAY, not yet sent unless it is streamed.
   Returns 0 or the error to answer with; *RETRY_AFTER_S goes with it.  */
int cs_run (cs_exchange_t *exchange, const cs_run_t *run, cs_relay_t *relay,
            uint32_t *retry_after_s);

/* Gives the caller what cs_run has ended with.  */
void cs_run_answer (cs_exchange_t *exchange, cs_relay_t *relay, int rc,
                    uint32_t retry_after_s);

#endif
