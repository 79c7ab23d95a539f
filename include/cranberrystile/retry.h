/* The retry budget, and the decision what to do after a failed attempt.  */

#ifndef CS_RETRY_H
#define CS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Retry budget: each first attempt adds RATIO, each retry costs 1.  The
   balance is capped, so that retries saved up in quiet hours can't cause a
   retry storm.  Not thread-safe.  */
typedef struct
{
  double ratio;
  double balance;
  double max_balance;
} cs_retry_budget_t;

void cs_retry_budget_init (cs_retry_budget_t *budget, double ratio,
                           double initial_balance, double max_balance);
void cs_retry_budget_first_attempt (cs_retry_budget_t *budget);

/* Pays for one retry; returns false if the budget does not allow it.  */
bool cs_retry_budget_take (cs_retry_budget_t *budget);

/* The state of a request after a failed attempt.  */
typedef struct
{
  int error;       /* cs_error_t of the failure */
  bool idempotent; /* the request may be repeated */
  bool streaming;
  bool response_started; /* the caller received part of the response */
  bool resumable;        /* the target assigns event ids */
  uint32_t tries;        /* attempts so far, including this one */
  uint32_t max_attempts;
} cs_retry_state_t;

typedef enum
{
  CS_RETRY_GIVE_UP,
  CS_RETRY_OTHER_TARGET, /* resend the request to another target */
  CS_RETRY_RESUME,       /* resume the stream at the same target */
  CS_RETRY_CONTINUE      /* continue the response at another target */
} cs_retry_action_t;

/* Whether ERROR implies that the target has not started the request.  */
bool cs_retry_was_not_run (int error);

/* Returns the next action.  Unless it is to give up, the caller takes a retry
   from the budget first.  */
cs_retry_action_t cs_retry_decide (const cs_retry_state_t *state);

#endif
