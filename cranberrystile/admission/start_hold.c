#include "cranberrystile/start_hold.h"

#include <utlist.h>

#include "common/error.h"

/* A request is held for at most this part of the time that its caller gave:
   the rest has to be enough to be served, or to try again elsewhere.  */
#define CALLER_DIVISOR 8
/* Part of the process's memory that the held bodies may use.  */
#define MEMORY_DIVISOR 16

void
cs_start_hold_init (cs_start_hold_t *hold, cs_time_us_t started_at,
                    cs_time_us_t limit_us, double memory_bytes,
                    cs_start_hold_rank_fn *rank_of)
{
  *hold = (cs_start_hold_t){
    .ends_at = limit_us == 0 ? 0 : started_at + limit_us,
    .max_bytes = (size_t)(memory_bytes / MEMORY_DIVISOR),
    .rank_of = rank_of,
  };
}

static cs_time_us_t
held_until (const cs_start_hold_t *hold, const cs_held_request_t *request)
{
  cs_time_us_t until
      = request->arrived_at + request->caller_us / CALLER_DIVISOR;
  return request->caller_us == 0 || until > hold->ends_at ? hold->ends_at
                                                          : until;
}

int
cs_start_hold_add (cs_start_hold_t *hold, cs_held_request_t *request,
                   cs_time_us_t now)
{
  request->until = held_until (hold, request);
  if (now >= request->until)
    return CS_ERR_NOT_READY;
  if (hold->count >= CS_START_HOLD_MAX
      || request->body_bytes > hold->max_bytes - hold->bytes)
    return CS_ERR_OVERLOADED;
  DL_APPEND (hold->requests, request);
  hold->count++;
  hold->bytes += request->body_bytes;
  request->is_held = true;
  return CS_OK;
}

bool
cs_start_hold_remove (cs_start_hold_t *hold, cs_held_request_t *request)
{
  if (!request->is_held)
    return false;
  DL_DELETE (hold->requests, request);
  hold->count--;
  hold->bytes -= request->body_bytes;
  request->is_held = false;
  return true;
}

static cs_held_request_t *
find_expired (const cs_start_hold_t *hold, cs_time_us_t now)
{
  cs_held_request_t *request;
  DL_FOREACH (hold->requests, request)
  {
    if (now >= request->until)
      break;
  }
  return request;
}

static int
compare_ranks (const cs_held_request_t *a, const cs_held_request_t *b)
{
  return (a->rank > b->rank) - (a->rank < b->rank);
}

/* Sorts the requests by rank.  The sort is stable, so those of the same rank
   stay in order of arrival.  */
static void
rank_requests (cs_start_hold_t *hold)
{
  cs_held_request_t *request;
  hold->is_ranked = true;
  DL_FOREACH (hold->requests, request)
  {
    request->rank = hold->rank_of (request);
  }
  DL_SORT (hold->requests, compare_ranks);
}

cs_held_request_t *
cs_start_hold_next (cs_start_hold_t *hold, cs_start_phase_t phase,
                    cs_time_us_t now, cs_start_hold_verdict_t *verdict)
{
  if (phase == CS_START_READY && !hold->is_ranked)
    rank_requests (hold);
  cs_held_request_t *request = find_expired (hold, now);
  *verdict = CS_START_HOLD_REFUSE;
  if (request == NULL && phase != CS_START_LEARNING)
    {
      request = hold->requests;
      if (phase == CS_START_READY)
        *verdict = CS_START_HOLD_RUN;
    }
  if (request != NULL)
    cs_start_hold_remove (hold, request);
  return request;
}

bool
cs_start_hold_is_over (const cs_start_hold_t *hold, cs_start_phase_t phase,
                       cs_time_us_t now)
{
  return hold->count == 0
         && (phase != CS_START_LEARNING || now >= hold->ends_at);
}
