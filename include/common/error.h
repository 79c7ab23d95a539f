/* The complete list of error codes.  Functions return 0 or one of these
   negative numbers.  cranberrystile/error_response.h maps each code to the
   response that a caller receives.  */

#ifndef CS_COMMON_ERROR_H
#define CS_COMMON_ERROR_H

typedef enum
{
  CS_OK = 0,
  CS_ERR_NO_MEMORY = -1,
  CS_ERR_BAD_REQUEST = -2,    /* malformed input from a caller */
  CS_ERR_UNAUTHORISED = -3,   /* key missing or unknown */
  CS_ERR_NOT_FOUND = -4,      /* no such model, service or object */
  CS_ERR_TOO_LARGE = -5,      /* body over the configured limit */
  CS_ERR_RATE_LIMITED = -6,   /* organisation over its rate limit */
  CS_ERR_OVERLOADED = -7,     /* no target can serve within the deadline */
  CS_ERR_NO_TARGET = -8,      /* no live target for the offering */
  CS_ERR_STOPPING = -9,       /* this router is shutting down */
  CS_ERR_NOT_READY = -10,     /* no release has been received yet */
  CS_ERR_CONNECT = -11,       /* connection refused or timed out */
  CS_ERR_REFUSED = -12,       /* the target rejected the request unprocessed */
  CS_ERR_SILENT = -13,        /* sent, then no response within the timeout */
  CS_ERR_CUT = -14,           /* sent, then the connection was lost */
  CS_ERR_WRONG_ANSWER = -15,  /* response to another request, or malformed */
  CS_ERR_PLATFORM_DOWN = -16, /* the platform did not respond */
  CS_ERR_CONFLICT = -17,      /* conditional write failed */
  CS_ERR_IN_PROGRESS = -18,   /* the same idempotency key is in use */
  CS_ERR_OUTCOME_UNKNOWN = -19, /* an earlier attempt may have been executed */
  CS_ERR_KEY_REUSED = -20,      /* idempotency key reused with another body */
  CS_ERR_DEADLINE = -21,        /* deadline passed while waiting */
  CS_ERR_CALLER_GONE = -22,     /* the caller closed its connection */
  CS_ERR_BAD_SETTING = -23,     /* settings file is not valid */
  CS_ERR_BAD_RELEASE = -24,     /* release note is not valid */
  CS_ERR_BAD_FRAME = -25,       /* peer frame malformed or not allowed */
  CS_ERR_INTERNAL = -26,
  CS_ERR_HEAD_TOO_LARGE = -27, /* header fields over the configured limit */
  CS_ERR_SLOW_CALLER = -28,    /* the caller took too long to send a request */
  CS_ERR_TARGET_FAILED = -29,  /* the target responded with a failure */
  CS_ERR_BLOCKED_PART = -30,   /* targets crashed under the request or a part
                                  of its prompt */
  CS_ERR_UNKNOWN_VERSION = -31 /* it is not known which software version began
                                  the stream */
} cs_error_t;

#define CS_ERROR_COUNT 32

/* Returns the short name of ERROR, such as "overloaded", or "unknown".  */
const char *cs_error_name (int error);

#endif
