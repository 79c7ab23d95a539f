/* Timeouts for targets that stop sending.  */

#ifndef CS_SILENCE_H
#define CS_SILENCE_H

#include <stdbool.h>

#include "common/clock.h"
#include "cranberrystile/routing.h"

typedef struct
{
  cs_time_us_t sent_at;          /* when the request was sent */
  cs_time_us_t event_at;         /* last event of its stream; 0: none yet */
  cs_time_us_t last_received_at; /* from the target, on any connection */
} cs_silence_t;

/* Time at which the request counts as lost unless something is received
   before.  For a stream that has started, only its own events count.  A
   request without a response may be waiting for a slot, so it times out only
   when nothing is received from the target on any connection.  */
cs_time_us_t cs_silence_deadline (const cs_route_t *route,
                                  const cs_silence_t *silence);

#endif
