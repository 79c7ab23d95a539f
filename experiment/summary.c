#include "summary.h"

#include <stdlib.h>

#include "common/error.h"

#define SECONDS ((TRIAL_END_US - TRIAL_WARM_US) / CS_US_PER_S)

/* Worth that was asked for and that was earned.  */
typedef struct
{
  double asked;
  double on_time;
  double served;
  uint32_t requests;
  uint32_t done;
} worth_t;

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
add (worth_t *worth, const request_t *request, const kind_t *kind)
{
  worth->asked += kind->worth;
  worth->requests++;
  worth->done += request->state == REQUEST_DONE;
  if (request_is_on_time (request, kind))
    {
      worth->on_time += kind->worth;
      worth->served += kind->worth;
    }
  else if (request->state == REQUEST_DONE)
    worth->served += kind->worth_late;
}

static double
share (double part, double whole)
{
  return whole == 0 ? 1 : part / whole;
}

static double
worst (const worth_t *list, size_t count)
{
  double least = 1;
  for (size_t i = 0; i < count; i++)
    {
      double value = share (list[i].on_time, list[i].asked);
      least = value < least ? value : least;
    }
  return least;
}

/* The least share of requests served of LIST, over that of ALL.  */
static double
least_served (const worth_t *list, size_t count, const worth_t *all)
{
  double least = 1;
  for (size_t i = 0; i < count; i++)
    {
      double value = share (list[i].done, list[i].requests);
      least = value < least ? value : least;
    }
  return share (least, share (all->done, all->requests));
}

static void
count_state (trial_result_t *out, const request_t *request)
{
  out->requests++;
  out->refused += request->state == REQUEST_REFUSED;
  out->failed += request->state == REQUEST_FAILED;
  out->left += request->state == REQUEST_LEFT;
  out->repeats += request->tries > 1 ? request->tries - 1 : 0;
}

int
summary_of_requests (const installation_t *installation,
                     const request_t *requests, size_t count,
                     trial_result_t *out)
{
  worth_t all = { 0 };
  worth_t kinds[KINDS_MOST] = { 0 };
  worth_t seconds[SECONDS] = { 0 };
  size_t first_count = 0;
  double *firsts = calloc (count + 1, sizeof *firsts);
  if (firsts == NULL)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    {
      const request_t *request = &requests[i];
      const kind_t *kind = &installation->kinds[request->kind];
      if (request->arrived < TRIAL_WARM_US)
        continue;
      size_t second = (request->arrived - TRIAL_WARM_US) / CS_US_PER_S;
      add (&all, request, kind);
      add (&kinds[request->kind], request, kind);
      add (&seconds[second], request, kind);
      count_state (out, request);
      if (request->first_at != 0)
        firsts[first_count++]
            = (double)(request->first_at - request->arrived) / CS_US_PER_MS;
    }
  out->on_time = share (all.on_time, all.asked);
  out->served = share (all.served, all.asked);
  out->worst_kind = worst (kinds, installation->kind_count);
  out->least_kind = least_served (kinds, installation->kind_count, &all);
  out->worst_second = worst (seconds, SECONDS);
  out->first_p50_ms = summary_percentile (firsts, first_count, 0.5);
  out->first_p95_ms = summary_percentile (firsts, first_count, 0.95);
  free (firsts);
  return CS_OK;
}

static int
compare_parts (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

uint64_t
summary_least_read (const request_t *requests, size_t request_count)
{
  uint64_t tokens = 0;
  size_t count = 0;
  /* Pairs of a part and its tokens.  */
  uint64_t (*parts)[2] = calloc (request_count * 2 + 1, sizeof *parts);
  if (parts == NULL)
    return 0;
  for (size_t i = 0; i < request_count; i++)
    {
      const cs_prompt_context_t *context = &requests[i].ask.context;
      for (uint32_t j = 0; j < context->count; j++, count++)
        {
          parts[count][0] = context->chain[j];
          parts[count][1] = context->tokens[j];
        }
    }
  qsort (parts, count, sizeof *parts, compare_parts);
  for (size_t i = 0; i < count; i++)
    if (i == 0 || parts[i][0] != parts[i - 1][0])
      tokens += parts[i][1];
  free (parts);
  return tokens;
}
