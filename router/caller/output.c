/* Output that callers have not read yet, and the limits on the memory that it
   uses.  */

#include "router/caller/internal.h"

/* Output that may be queued for one caller: a buffered response, and time for
   the target to go on sending when it has been read.  */
#define MAX_QUEUED_BYTES (64U * 1024)
/* Likewise while the callers together use their share of the memory.  */
#define MIN_QUEUED_BYTES (4U * 1024)
/* Fraction of the process's memory that queued output may use.  Bodies have as
   much, and the rest is for the connections and what the router knows.  */
#define OUTPUT_MEMORY_SHARE 0.2

static void
record_queued (cs_caller_t *caller)
{
  size_t queued = cs_channel_queued (caller->channel);
  caller->router->output_bytes += queued - caller->output_bytes;
  caller->output_bytes = queued;
}

void
cs_caller_send (cs_caller_t *caller, cs_str_t data)
{
  cs_channel_send (caller->channel, data);
  record_queued (caller);
}

void
cs_caller_output_drained (cs_caller_t *caller)
{
  caller->router->output_bytes -= caller->output_bytes;
  caller->output_bytes = 0;
}

bool
cs_caller_is_behind (const cs_caller_t *caller)
{
  const cs_router_t *router = caller->router;
  double max_bytes
      = router->settings.memory_mb * (1U << 20) * OUTPUT_MEMORY_SHARE;
  size_t queued = cs_channel_queued (caller->channel);
  return queued > MAX_QUEUED_BYTES
         || (queued > MIN_QUEUED_BYTES
             && (double)router->output_bytes > max_bytes);
}
