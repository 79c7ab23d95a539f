#include "request.h"

void
request_record_token (request_t *request, const request_kind_t *kind,
                      cs_time_us_t now)
{
  request->generated++;
  if (request->generated % kind->tokens_per_event != 1
      && request->generated != request->engine_request.output
      && kind->tokens_per_event > 1)
    return;
  if (request->first_event_at == 0)
    request->first_event_at = now;
  else if (now - request->last_event_at > request->max_gap)
    request->max_gap = now - request->last_event_at;
  request->last_event_at = now;
}

bool
request_is_on_time (const request_t *request, const request_kind_t *kind)
{
  return request->state == REQUEST_DONE
         && request->first_event_at - request->arrived_at
                <= kind->first_event_slo_ms * CS_US_PER_MS
         && request->max_gap <= kind->gap_slo_ms * CS_US_PER_MS;
}
