#include "common/error.h"
#include "cranberrystile/answer.h"
#include "cranberrystile/retry.h"

bool
cs_retry_was_not_run (int error)
{
  return cs_answer_for (error)->ran == CS_RAN_NO;
}

static bool
is_target_failure (int error)
{
  switch (error)
    {
    case CS_ERR_CONNECT:
    case CS_ERR_REFUSED:
    case CS_ERR_SILENT:
    case CS_ERR_CUT:
    case CS_ERR_WRONG_ANSWER:
      return true;
    default:
      return false;
    }
}

cs_retry_action_t
cs_retry_decide (const cs_retry_state_t *state)
{
  if (!is_target_failure (state->error) || state->tries >= state->tries_most)
    return CS_RETRY_GIVE_UP;
  /* One attempt only, of any kind: even a refused connection is reported, so
     that the caller alone decides about a second one.  */
  if (!state->idempotent)
    return CS_RETRY_GIVE_UP;
  if (!state->answer_begun)
    return CS_RETRY_ELSEWHERE;
  if (!state->streaming || state->error == CS_ERR_WRONG_ANSWER)
    return CS_RETRY_GIVE_UP;
  if (state->resumable && state->tries == 1)
    return CS_RETRY_RESUME;
  return CS_RETRY_CONTINUE;
}
