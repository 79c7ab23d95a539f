/* Claims ensure that a request that must not be repeated runs at most once.

   Before it sends the first byte to a target, a router creates a claim in the
   platform, named after the organisation and the idempotency key.  Only the
   router whose create succeeds runs the request.  */

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
  CS_CLAIM_DONE,    /* the response is stored */
  CS_CLAIM_NOT_RUN, /* abandoned before sending; may be claimed again */
  CS_CLAIM_UNKNOWN  /* sent, but no complete response was received */
} cs_claim_state_t;

typedef struct
{
  cs_claim_state_t state;
  char request_sha256[65];
  cs_name_t attempt;         /* id of the attempt that holds the claim */
  uint64_t deadline_wall_ms; /* the attempt has ended by then */
  uint64_t expires_wall_ms;  /* the claim may be deleted after this */
  int status;                /* of the stored response, if done */
  cs_buf_t content_type;
  cs_buf_t body;
} cs_claim_t;

void cs_claim_free (cs_claim_t *claim);

/* Name of the claim's object: the SHA-256 of organisation, NUL and key, as
   64 hex digits and a terminating NUL.  */
void cs_claim_name (cs_str_t organisation, cs_str_t key, char out[65]);

/* Returns the claim as the object's "spec", a new reference, or NULL if
   memory is exhausted.  */
json_t *cs_claim_to_json (const cs_claim_t *claim);

/* Returns 0, CS_ERR_WRONG_ANSWER or CS_ERR_NO_MEMORY.  Free OUT in all cases.
 */
int cs_claim_from_json (const json_t *spec, cs_claim_t *out);

/* What an attempt does after it created or found a claim.  */
typedef enum
{
  CS_CLAIM_RUN,       /* this attempt holds the claim */
  CS_CLAIM_REPLAY,    /* send the stored response */
  CS_CLAIM_TAKE_OVER, /* replace the claim by a conditional update */
  CS_CLAIM_FAIL       /* respond with *ERROR */
} cs_claim_step_t;

/* Decides on the claim FOUND in the platform.  ATTEMPT is the id of this
   attempt: a claim that carries it was created by it, even if the response to
   the create was lost.  */
cs_claim_step_t cs_claim_decide (const cs_claim_t *found, cs_str_t attempt,
                                 const char *request_sha256,
                                 uint64_t now_wall_ms, int *error);

#endif
