#include "summary.h"

#include <stdlib.h>

#include "common/error.h"

#define SECONDS ((TRIAL_END_US - TRIAL_WARMUP_US) / CS_US_PER_S)

/* Sums of the reward offered by requests and of that earned.  */
typedef struct
{
  double offered;
  double on_time;
  double served;
  uint32_t requests;
  uint32_t done;
} reward_sums_t;

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

double
summary_percentile (double *values, size_t count, double p)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare);
  return values[(size_t)(p * (double)(count - 1))];
}

static void
add (reward_sums_t *sums, const request_t *request, const request_kind_t *kind)
{
  sums->offered += kind->reward;
  sums->requests++;
  sums->done += request->state == REQUEST_DONE;
  if (request_is_on_time (request, kind))
    {
      sums->on_time += kind->reward;
      sums->served += kind->reward;
    }
  else if (request->state == REQUEST_DONE)
    sums->served += kind->late_reward;
}

static double
share (double part, double whole)
{
  return whole == 0 ? 1 : part / whole;
}

static double
min_on_time (const reward_sums_t *list, size_t count)
{
  double lowest = 1;
  for (size_t i = 0; i < count; i++)
    {
      double value = share (list[i].on_time, list[i].offered);
      lowest = value < lowest ? value : lowest;
    }
  return lowest;
}

/* Returns the lowest share of completed requests in LIST, relative to that of
   ALL.  */
static double
min_served (const reward_sums_t *list, size_t count, const reward_sums_t *all)
{
  double lowest = 1;
  for (size_t i = 0; i < count; i++)
    {
      double value = share (list[i].done, list[i].requests);
      lowest = value < lowest ? value : lowest;
    }
  return share (lowest, share (all->done, all->requests));
}

static void
count_state (trial_result_t *out, const request_t *request)
{
  out->requests++;
  out->refused += request->state == REQUEST_REFUSED;
  out->failed += request->state == REQUEST_FAILED;
  out->abandoned += request->state == REQUEST_ABANDONED;
  out->retries += request->attempts > 1 ? request->attempts - 1 : 0;
}

int
summary_of_requests (const installation_t *installation,
                     const request_t *requests, size_t count,
                     trial_result_t *out)
{
  reward_sums_t all = { 0 };
  reward_sums_t kinds[MAX_KINDS] = { 0 };
  reward_sums_t seconds[SECONDS] = { 0 };
  size_t first_event_count = 0;
  double *first_event_ms = calloc (count + 1, sizeof *first_event_ms);
  if (first_event_ms == NULL)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    {
      const request_t *request = &requests[i];
      const request_kind_t *kind = &installation->kinds[request->kind];
      if (request->arrived_at < TRIAL_WARMUP_US)
        continue;
      size_t second = (request->arrived_at - TRIAL_WARMUP_US) / CS_US_PER_S;
      add (&all, request, kind);
      add (&kinds[request->kind], request, kind);
      add (&seconds[second], request, kind);
      count_state (out, request);
      if (request->first_event_at != 0)
        first_event_ms[first_event_count++]
            = (double)(request->first_event_at - request->arrived_at)
              / CS_US_PER_MS;
    }
  out->on_time = share (all.on_time, all.offered);
  out->served = share (all.served, all.offered);
  out->min_kind_on_time = min_on_time (kinds, installation->kind_count);
  out->min_kind_served = min_served (kinds, installation->kind_count, &all);
  out->min_second_on_time = min_on_time (seconds, SECONDS);
  out->first_event_p50_ms
      = summary_percentile (first_event_ms, first_event_count, 0.5);
  out->first_event_p95_ms
      = summary_percentile (first_event_ms, first_event_count, 0.95);
  free (first_event_ms);
  return CS_OK;
}

static int
compare_segments (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

uint64_t
summary_min_prefill (const request_t *requests, size_t request_count)
{
  uint64_t tokens = 0;
  size_t count = 0;
  /* Pairs of a segment's hash and its number of tokens.  */
  uint64_t (*segments)[2] = calloc (request_count * 2 + 1, sizeof *segments);
  if (segments == NULL)
    return 0;
  for (size_t i = 0; i < request_count; i++)
    {
      const cs_prompt_context_t *context = &requests[i].engine_request.context;
      for (uint32_t j = 0; j < context->count; j++, count++)
        {
          segments[count][0] = context->chain[j];
          segments[count][1] = context->tokens[j];
        }
    }
  qsort (segments, count, sizeof *segments, compare_segments);
  for (size_t i = 0; i < count; i++)
    if (i == 0 || segments[i][0] != segments[i - 1][0])
      tokens += segments[i][1];
  free (segments);
  return tokens;
}
