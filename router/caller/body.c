/* Request bodies and the limit on the memory that they use.  */

#include "router/caller/internal.h"

/* Limits until a configuration is known.  */
#define DEFAULT_HEAD_BYTES (16U * 1024)
#define DEFAULT_BODY_BYTES (4U * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000
/* Fraction of the process's memory that request bodies may use.  A body may be
   in memory twice: kept for a retry, and queued for its target to read.  */
#define BODY_MEMORY_SHARE 0.2
/* A body up to this size is always accepted.  */
#define SMALL_BODY_BYTES (64U * 1024)

const cs_caller_limits_t *
cs_caller_limits (const cs_caller_t *caller)
{
  static const cs_caller_limits_t defaults
      = { .head_bytes = DEFAULT_HEAD_BYTES,
          .body_bytes = DEFAULT_BODY_BYTES,
          .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
          .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS };
  const cs_routing_t *routing = caller->router->routing;
  return routing == NULL ? &defaults : &routing->limits;
}

/* Whether the body being read may grow by ADDITIONAL bytes.  */
static bool
has_body_memory (const cs_caller_t *caller, size_t additional)
{
  const cs_router_t *router = caller->router;
  double max_bytes
      = router->settings.memory_mb * (1U << 20) * BODY_MEMORY_SHARE;
  return caller->body.len + additional <= SMALL_BODY_BYTES
         || (double)(router->body_bytes + additional) <= max_bytes;
}

void
cs_caller_receive_body (void *context, cs_str_t part)
{
  cs_caller_t *caller = context;
  if (caller->body_memory_full || caller->too_large)
    return;
  if (caller->body.len + part.len > cs_caller_limits (caller)->body_bytes)
    caller->too_large = true;
  else if (!has_body_memory (caller, part.len)
           || cs_buf_append (&caller->body, part) != 0)
    caller->body_memory_full = true;
  else
    caller->router->body_bytes += part.len;
}

void
cs_caller_reject_body (cs_caller_t *caller)
{
  cs_router_t *router = caller->router;
  cs_time_us_t now = cs_loop_now (router->loop);
  cs_timer_clear (&caller->timer);
  caller->close_after = true;
  caller->forward = cs_forward_create (router, caller,
                                       cs_http_reader_head (caller->reader),
                                       &caller->body, now);
  if (caller->forward == NULL)
    cs_caller_reject (caller, CS_ERR_NO_MEMORY);
  else
    cs_forward_reject (caller->forward, CS_ERR_OVERLOADED, now);
}
