#include "cranberrystile/popularity.h"

#include <math.h>

/* A burst of callers for one context shows within seconds.  */
#define HALF_LIFE_US (500 * CS_US_PER_MS)

/* Returns the decayed count before this request.  */
static double
count_request (cs_popularity_count_t *entry, cs_time_us_t now)
{
  double before = 0;
  if (now >= entry->at)
    before = entry->count * exp2 (-(double)(now - entry->at) / HALF_LIFE_US);
  entry->count = before + 1;
  entry->at = now;
  return before;
}

cs_popularity_estimate_t
cs_popularity_record (cs_popularity_t *popularity, uint64_t key,
                      cs_time_us_t now)
{
  cs_popularity_estimate_t estimate = { 0 };
  cs_popularity_count_t *entry
      = &popularity->contexts[key % CS_POPULARITY_CONTEXTS];
  if (entry->key != key)
    *entry = (cs_popularity_count_t){ .key = key };
  double of_context = count_request (entry, now);
  double of_all = count_request (&popularity->all, now);
  if (of_all > 0)
    estimate.share = of_context / of_all;
  estimate.rate_per_s = entry->count * M_LN2 * CS_US_PER_S / HALF_LIFE_US;
  return estimate;
}
