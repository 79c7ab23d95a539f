#include "request.h"

void
request_take_token (request_t *request, const kind_t *kind, cs_time_us_t now)
{
  request->made++;
  if (request->made % kind->event != 1 && request->made != request->ask.output
      && kind->event > 1)
    return;
  if (request->first_at == 0)
    request->first_at = now;
  else if (now - request->event_at > request->pause)
    request->pause = now - request->event_at;
  request->event_at = now;
}

bool
request_is_on_time (const request_t *request, const kind_t *kind)
{
  return request->state == REQUEST_DONE
         && request->first_at - request->arrived <= kind->aim_ms * CS_US_PER_MS
         && request->pause <= kind->pause_ms * CS_US_PER_MS;
}
