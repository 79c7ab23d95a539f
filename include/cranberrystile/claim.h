/* Claims: how a request that may not be repeated is run at most once.

   Before the first byte leaves, the router creates a claim in the platform,
   named after the organisation and the idempotency key.  Only the router whose
   create succeeds runs the request.  */

#ifndef CS_CLAIM_H
#define CS_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

typedef enum
{
  CS_CLAIM_RUNNING,
  CS_CLAIM_DONE,    /* the answer is stored */
  CS_CLAIM_NOT_RUN, /* given up before a byte left; may be claimed again */
  CS_CLAIM_UNKNOWN  /* sent, and no whole answer was received */
} cs_claim_state_t;

typedef struct
{
  cs_claim_state_t state;
  char request_sha256[65];
  cs_name_t attempt; /* unique id of the attempt that holds the claim */
  uint64_t deadline_wall_ms; /* the attempt has ended by then */
  uint64_t expires_wall_ms;  /* the claim may be swept after this */
  int status;                /* stored answer, when done */
  cs_buf_t content_type;
  cs_buf_t body;
} cs_claim_t;

void cs_claim_free (cs_claim_t *claim);

/* Name of the claim's object: hex SHA-256 of organisation, zero byte, key.  */
void cs_claim_name (cs_str_t organisation, cs_str_t key, char out[65]);

/* The claim as the object's "spec", a new reference; NULL without memory.  */
json_t *cs_claim_to_json (const cs_claim_t *claim);

/* Returns 0 or CS_ERR_WRONG_ANSWER.  Free OUT in both cases.  */
int cs_claim_from_json (const json_t *spec, cs_claim_t *out);

/* What an attempt that found or made a claim has to do.  */
typedef enum
{
  CS_CLAIM_RUN,           /* the claim is ours */
  CS_CLAIM_ANSWER_STORED, /* give the stored answer */
  CS_CLAIM_TAKE_OVER,     /* replace the claim by conditional update */
  CS_CLAIM_FAIL           /* answer with *ERROR */
} cs_claim_step_t;

/* Decides from the claim in the platform.  ATTEMPT is our own attempt id: a
   claim that carries it is ours although the answer to its creation was lost.
 */
cs_claim_step_t cs_claim_decide (const cs_claim_t *found, cs_str_t attempt,
                                 const char *request_sha256,
                                 uint64_t now_wall_ms, int *error);

#endif
