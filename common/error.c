#include "common/error.h"

static const char *const names[CS_ERROR_COUNT] = { "ok",
                                                   "no_memory",
                                                   "bad_request",
                                                   "unauthorised",
                                                   "not_found",
                                                   "too_large",
                                                   "rate_limited",
                                                   "overloaded",
                                                   "no_target",
                                                   "stopping",
                                                   "not_ready",
                                                   "connect",
                                                   "refused",
                                                   "silent",
                                                   "cut",
                                                   "wrong_answer",
                                                   "platform_down",
                                                   "conflict",
                                                   "in_progress",
                                                   "outcome_unknown",
                                                   "key_reused",
                                                   "deadline",
                                                   "caller_gone",
                                                   "bad_setting",
                                                   "bad_release",
                                                   "bad_frame",
                                                   "internal",
                                                   "head_too_large",
                                                   "slow_caller",
                                                   "target_failed",
                                                   "blocked_part",
                                                   "unknown_version" };

const char *
cs_error_name (int error)
{
  if (error > 0 || -error >= CS_ERROR_COUNT)
    return "unknown";
  return names[-error];
}
