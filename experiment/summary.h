/* What the requests of a run add up to.  */

#ifndef CS_EXPERIMENT_SUMMARY_H
#define CS_EXPERIMENT_SUMMARY_H

#include "request.h"
#include "trial.h"

/* Returns the share P of COUNT values, which are sorted by that; 0 of none. */
double summary_percentile (double *values, size_t count, double p);

/* Fills the parts of OUT that follow from the requests.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int summary_of_requests (const installation_t *installation,
                         const request_t *requests, size_t count,
                         trial_result_t *out);

/* Tokens of all shared parts that were asked for, each once: no placement
   reads less, as the engines begin empty.  */
uint64_t summary_least_read (const request_t *requests, size_t request_count);

#endif
