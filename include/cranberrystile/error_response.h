/* Maps each error kind to the HTTP error response that a caller receives.  */

#ifndef CS_ERROR_RESPONSE_H
#define CS_ERROR_RESPONSE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/hash.h"
#include "common/str.h"

/* Whether a target executed the request; the field "ran" of the response.  */
typedef enum
{
  CS_RAN_NO,     /* nothing was sent, or the target refused to start */
  CS_RAN_UNKNOWN /* it may have run, in part or in whole */
} cs_ran_t;

/* Advice to the caller on retrying; the field "retry" of the response.  */
typedef enum
{
  CS_RETRY_ADVICE_NEVER,    /* the same request would fail again */
  CS_RETRY_ADVICE_LATER,    /* after the time in Retry-After */
  CS_RETRY_ADVICE_SAME_KEY, /* after Retry-After, with the same idempotency key
                             */
  CS_RETRY_ADVICE_CHECK     /* check the outcome before sending it again */
} cs_retry_advice_t;

typedef struct
{
  int status; /* HTTP status */
  const char *type;
  const char *code;
  cs_ran_t ran;
  cs_retry_advice_t advice;
  const char *message;
} cs_error_response_t;

/* Returns the response for ERROR, or that of CS_ERR_INTERNAL for unknown
   values.  Static storage.  */
const cs_error_response_t *cs_error_response_for (int error);

const char *cs_ran_name (cs_ran_t ran);
const char *cs_retry_advice_name (cs_retry_advice_t advice);

/* Seconds for Retry-After, with jitter: uniform over [BASE_S, 2 BASE_S], at
   least 1, so that refused callers don't retry at the same time.  */
uint32_t cs_error_response_retry_after_s (uint32_t base_s,
                                          cs_random_t *random);

/* Appends the response body for ERROR, an OpenAI error object, to OUT.
   RETRY_AFTER_S is 0 when unknown.  DETAIL, unless empty, replaces the default
   message.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_error_response_body (int error, cs_str_t detail, cs_str_t request_id,
                            uint32_t retry_after_s, cs_buf_t *out);

#endif
