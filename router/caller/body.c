/* Bodies of requests, and the memory that they may fill.  */

#include "router/caller/internal.h"

/* Before a configuration is known.  */
#define HEAD_BYTES_FIRST (16U * 1024)
#define BODY_BYTES_FIRST (4U * 1024 * 1024)
#define HEAD_TIMEOUT_MS_FIRST 3000
#define IDLE_TIMEOUT_MS_FIRST 15000
/* Part of the process's memory that bodies of requests may fill. Each is held
   once for another try and may wait once more for its target to read.  */
#define BODIES_SHARE 0.2
/* A body up to this size is always taken.  */
#define SMALL_BODY_BYTES (64U * 1024)

const cs_caller_limits_t *
cs_caller_limits (const cs_caller_t *caller)
{
  static const cs_caller_limits_t first
      = { .head_bytes = HEAD_BYTES_FIRST,
          .body_bytes = BODY_BYTES_FIRST,
          .head_timeout_ms = HEAD_TIMEOUT_MS_FIRST,
          .idle_timeout_ms = IDLE_TIMEOUT_MS_FIRST };
  const cs_routing_t *routing = caller->router->routing;
  return routing == NULL ? &first : &routing->limits;
}

/* Whether so many more bytes of a body may be held.  */
static bool
has_room (const cs_caller_t *caller, size_t more)
{
  const cs_router_t *router = caller->router;
  double most = router->settings.memory_mb * (1U << 20) * BODIES_SHARE;
  return caller->body.len + more <= SMALL_BODY_BYTES
         || (double)(router->body_bytes + more) <= most;
}

void
cs_caller_take_body (void *context, cs_str_t part)
{
  cs_caller_t *caller = context;
  if (caller->no_room || caller->too_large)
    return;
  if (caller->body.len + part.len > cs_caller_limits (caller)->body_bytes)
    caller->too_large = true;
  else if (!has_room (caller, part.len)
           || cs_buf_append (&caller->body, part) != 0)
    caller->no_room = true;
  else
    caller->router->body_bytes += part.len;
}

void
cs_caller_refuse_body (cs_caller_t *caller)
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
    cs_forward_refuse (caller->forward, CS_ERR_OVERLOADED, now);
}
