/* Retries: the budget they draw on, and what to do after a failed try.  */

#ifndef CS_RETRY_H
#define CS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* A budget of tries beyond the first: each first try earns RATIO, each extra
   try costs 1.  Bounded above, so that quiet hours do not save up a storm.
   Not thread-safe.  */
typedef struct
{
  double ratio;
  double balance;
  double most;
} cs_retry_budget_t;

void cs_retry_budget_init (cs_retry_budget_t *budget, double ratio,
                           double start, double most);
void cs_retry_budget_first_try (cs_retry_budget_t *budget);

/* Takes one extra try; returns false when the budget does not allow it.  */
bool cs_retry_budget_take (cs_retry_budget_t *budget);

/* How far a try got before it failed.  */
typedef struct
{
  int error;       /* kind of the failure */
  bool idempotent; /* the request may be repeated */
  bool streaming;
  bool answer_begun; /* the caller has received a part of the answer */
  bool resumable;    /* the target numbers its events */
  uint32_t tries;    /* tries made so far, this one included */
  uint32_t tries_most;
} cs_retry_state_t;

typedef enum
{
  CS_RETRY_GIVE_UP,
  CS_RETRY_ELSEWHERE, /* send the whole request to another target */
  CS_RETRY_RESUME,    /* ask the same target for the rest */
  CS_RETRY_CONTINUE   /* continue the answer on another target */
} cs_retry_action_t;

/* Whether ERROR says that the target has not begun to run the request.  */
bool cs_retry_was_not_run (int error);

/* The next step; the caller draws on the budget before it takes it.  */
cs_retry_action_t cs_retry_decide (const cs_retry_state_t *state);

#endif
