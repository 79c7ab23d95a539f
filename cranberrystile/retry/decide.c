#include "common/error.h"
#include "cranberrystile/error_response.h"
#include "cranberrystile/retry.h"

bool
cs_retry_was_not_run (int error)
{
  return cs_error_response_for (error)->ran == CS_RAN_NO;
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
  if (!is_target_failure (state->error) || state->tries >= state->max_attempts)
    return CS_RETRY_GIVE_UP;
  /* Requests that are not idempotent are never retried, not even after a
     refused connection: the caller alone decides on a second attempt.  */
  if (!state->idempotent)
    return CS_RETRY_GIVE_UP;
  if (!state->response_started)
    return CS_RETRY_OTHER_TARGET;
  if (!state->streaming || state->error == CS_ERR_WRONG_ANSWER)
    return CS_RETRY_GIVE_UP;
  if (state->resumable && state->tries == 1)
    return CS_RETRY_RESUME;
  return CS_RETRY_CONTINUE;
}
