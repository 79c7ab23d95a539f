/* Aggregates the requests of a trial.  */

#ifndef CS_EXPERIMENT_SUMMARY_H
#define CS_EXPERIMENT_SUMMARY_H

#include "request.h"
#include "trial.h"

/* Sorts COUNT values and returns their quantile P, from 0 to 1; 0 if there are
   none.  */
double summary_percentile (double *values, size_t count, double p);

/* Sets those members of OUT that are computed from requests.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int summary_of_requests (const installation_t *installation,
                         const request_t *requests, size_t count,
                         trial_result_t *out);

/* Returns the number of tokens in all distinct shared segments.  No placement
   can prefill fewer, as engines start with empty caches.  */
uint64_t summary_min_prefill (const request_t *requests, size_t request_count);

#endif
