/* A request in a run, and what became of it.  */

#ifndef CS_EXPERIMENT_REQUEST_H
#define CS_EXPERIMENT_REQUEST_H

#include "load.h"

typedef enum
{
  REQUEST_OPEN,
  REQUEST_DONE,
  REQUEST_REFUSED,
  REQUEST_FAILED,
  REQUEST_LEFT
} request_state_t;

#define TRIES_MOST 3

typedef struct
{
  engine_request_t ask;
  uint32_t kind;
  uint32_t router;
  request_state_t state;
  cs_time_us_t arrived;
  cs_time_us_t first_at; /* first event; 0: none yet */
  cs_time_us_t event_at; /* last event */
  cs_time_us_t pause;    /* longest between two events */
  uint32_t made;         /* tokens */
  uint32_t tried[TRIES_MOST];
  uint32_t tries;
  uint32_t returns; /* after a refusal */
  uint32_t engine;  /* UINT32_MAX: none */
} request_t;

/* Takes in a token made at NOW; events hold some tokens each.  */
void request_take_token (request_t *request, const kind_t *kind,
                         cs_time_us_t now);

bool request_is_on_time (const request_t *request, const kind_t *kind);

#endif
