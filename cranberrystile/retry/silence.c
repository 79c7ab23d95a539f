#include "cranberrystile/silence.h"

/* A stream's events are tens of milliseconds apart; long prompts beside it
   make that a few hundred.  */
#define GAP_LEAST_US (500 * CS_US_PER_MS)
/* A cold target reads the longest prompts in about half a second before its
   first event.  */
#define FIRST_EVENT_LEAST_US (800 * CS_US_PER_MS)

/* Plain calls take a few hundred milliseconds at most on a healthy target; a
   route with a short timeout says nothing about its targets.  */
#define ANSWER_LEAST_US (350 * CS_US_PER_MS)

static cs_time_us_t
larger (cs_time_us_t a, cs_time_us_t b)
{
  return a > b ? a : b;
}

cs_time_us_t
cs_silence_limit (const cs_route_t *route, const cs_silence_t *silence)
{
  cs_time_us_t gap = route->gap_ms * CS_US_PER_MS * 3 / 2;
  cs_time_us_t objective = route->objective_ms * CS_US_PER_MS;
  if (silence->event_at != 0)
    return silence->event_at + larger (gap, GAP_LEAST_US);
  cs_time_us_t heard = larger (silence->sent_at, silence->heard_at);
  if (route->kind == CS_ROUTE_STREAMING)
    return heard + larger (objective * 4 / 3, FIRST_EVENT_LEAST_US);
  /* The other half of the time is for another target.  */
  return heard
         + larger (route->timeout_ms * CS_US_PER_MS / 2, ANSWER_LEAST_US);
}
