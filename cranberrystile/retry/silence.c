#include "cranberrystile/silence.h"

/* Events of a stream are tens of milliseconds apart, and a few hundred while
   the target also processes long prompts.  */
#define MIN_GAP_TIMEOUT_US (500 * CS_US_PER_MS)
/* A cold target takes about half a second to process the longest prompts
   before it sends the first event.  */
#define MIN_FIRST_EVENT_TIMEOUT_US (800 * CS_US_PER_MS)

/* Plain calls take at most a few hundred milliseconds on a healthy target.
   With a shorter limit, the timeout of a fast route would be taken for a
   failure of its targets.  */
#define MIN_RESPONSE_TIMEOUT_US (350 * CS_US_PER_MS)

static cs_time_us_t
max_time (cs_time_us_t a, cs_time_us_t b)
{
  return a > b ? a : b;
}

cs_time_us_t
cs_silence_deadline (const cs_route_t *route, const cs_silence_t *silence)
{
  cs_time_us_t gap = route->event_gap_objective_ms * CS_US_PER_MS * 3 / 2;
  cs_time_us_t objective = route->latency_objective_ms * CS_US_PER_MS;
  if (silence->event_at != 0)
    return silence->event_at + max_time (gap, MIN_GAP_TIMEOUT_US);
  cs_time_us_t last_activity
      = max_time (silence->sent_at, silence->last_received_at);
  if (route->kind == CS_ROUTE_STREAMING)
    return last_activity
           + max_time (objective * 4 / 3, MIN_FIRST_EVENT_TIMEOUT_US);
  /* Half of the timeout is left for an attempt at another target.  */
  return last_activity
         + max_time (route->timeout_ms * CS_US_PER_MS / 2,
                     MIN_RESPONSE_TIMEOUT_US);
}
