/* The closed table from error kind to the answer that a caller receives.  */

#ifndef CS_ANSWER_H
#define CS_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/hash.h"
#include "common/str.h"

/* Whether the request was run by a target.  */
typedef enum
{
  CS_RAN_NO,     /* no byte of it left, or the target refused to start it */
  CS_RAN_UNKNOWN /* it may have been run, in part or in whole */
} cs_ran_t;

/* What the caller is told about trying again.  */
typedef enum
{
  CS_ADVICE_NEVER,    /* the same request fails again */
  CS_ADVICE_LATER,    /* after the time in Retry-After */
  CS_ADVICE_SAME_KEY, /* after Retry-After, with the same idempotency key */
  CS_ADVICE_CHECK     /* find out what happened before sending it again */
} cs_advice_t;

typedef struct
{
  int status; /* HTTP status */
  const char *type;
  const char *code;
  cs_ran_t ran;
  cs_advice_t advice;
  const char *message;
} cs_answer_t;

/* Returns the row of ERROR; the row of CS_ERR_INTERNAL for unknown values.  */
const cs_answer_t *cs_answer_for (int error);

const char *cs_ran_name (cs_ran_t ran);
const char *cs_advice_name (cs_advice_t advice);

/* Seconds for Retry-After: BASE_S spread uniformly over [BASE_S, 2 BASE_S],
   at least 1, so that refused callers do not come back together.  */
uint32_t cs_answer_retry_after_s (uint32_t base_s, cs_random_t *random);

/* Appends the OpenAI error object for ERROR to OUT.  RETRY_AFTER_S is 0 when
   no time is known.  DETAIL may be empty.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_answer_body (int error, cs_str_t detail, cs_str_t request_id,
                    uint32_t retry_after_s, cs_buf_t *out);

#endif
