/* A simulated request and its outcome.  */

#ifndef CS_EXPERIMENT_REQUEST_H
#define CS_EXPERIMENT_REQUEST_H

#include "load.h"

typedef enum
{
  REQUEST_OPEN,
  REQUEST_DONE,
  REQUEST_REFUSED,
  REQUEST_FAILED,
  REQUEST_ABANDONED
} request_state_t;

#define MAX_ATTEMPTS 3

typedef struct
{
  engine_request_t engine_request;
  uint32_t kind;
  uint32_t router;
  request_state_t state;
  cs_time_us_t arrived_at;
  cs_time_us_t sent_at;        /* to the latest engine */
  cs_time_us_t first_event_at; /* when the first event arrived; 0: none yet */
  cs_time_us_t last_event_at;  /* when the last event arrived */
  cs_time_us_t max_gap;        /* longest gap between events */
  uint32_t generated;          /* output tokens */
  uint32_t tried_engines[MAX_ATTEMPTS];
  uint32_t attempts;
  uint32_t client_retries; /* client retries after a refusal */
  uint32_t engine;         /* UINT32_MAX: none */
} request_t;

/* Records a token generated at NOW.  The client receives tokens in events of
   several tokens each.  */
void request_record_token (request_t *request, const request_kind_t *kind,
                           cs_time_us_t now);

bool request_is_on_time (const request_t *request, const request_kind_t *kind);

#endif
