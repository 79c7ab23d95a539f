/* How long a target may be silent before a request on it is taken for lost. */

#ifndef CS_SILENCE_H
#define CS_SILENCE_H

#include <stdbool.h>

#include "common/clock.h"
#include "cranberrystile/routing.h"

typedef struct
{
  cs_time_us_t sent_at;  /* the request went to the target */
  cs_time_us_t event_at; /* last event of its stream; 0: none yet */
  cs_time_us_t heard_at; /* anything from the target, on any connection */
} cs_silence_t;

/* When the request is to be taken for lost unless something is heard before.
   A stream that has begun is judged by itself; a request without an answer yet
   only when the whole target is silent, since it may wait for a slot.  */
cs_time_us_t cs_silence_limit (const cs_route_t *route,
                               const cs_silence_t *silence);

#endif
