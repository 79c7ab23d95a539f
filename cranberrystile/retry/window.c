#include "cranberrystile/retry_window.h"

#include <string.h>

void
cs_retry_window_init (cs_retry_window_t *window, double ratio,
                      cs_time_us_t length_us)
{
  memset (window, 0, sizeof *window);
  window->ratio = ratio;
  window->bucket_us = length_us / CS_RETRY_WINDOW_BUCKETS;
}

/* Slides the window to NOW and clears the buckets that it has passed.  */
static void
advance (cs_retry_window_t *window, cs_time_us_t now)
{
  uint64_t bucket = now / window->bucket_us;
  uint64_t steps = bucket - window->bucket;
  if (steps > CS_RETRY_WINDOW_BUCKETS)
    steps = CS_RETRY_WINDOW_BUCKETS;
  for (uint64_t i = 0; i < steps; i++)
    {
      uint64_t at = (bucket - i) % CS_RETRY_WINDOW_BUCKETS;
      window->first_attempts[at] = 0;
      window->retries[at] = 0;
    }
  window->bucket = bucket;
}

void
cs_retry_window_first_attempt (cs_retry_window_t *window, cs_time_us_t now)
{
  advance (window, now);
  window->first_attempts[window->bucket % CS_RETRY_WINDOW_BUCKETS]++;
}

cs_retry_share_t
cs_retry_window_restart_share (const cs_retry_window_t *window,
                               double allowance, cs_time_us_t age_us)
{
  cs_time_us_t length_us = window->bucket_us * CS_RETRY_WINDOW_BUCKETS;
  if (age_us >= length_us)
    return (cs_retry_share_t){ 1, allowance };
  return (cs_retry_share_t){ (double)age_us / (double)length_us, 0 };
}

bool
cs_retry_window_take (cs_retry_window_t *window, cs_retry_share_t share,
                      cs_time_us_t now)
{
  uint32_t first_attempts = 0;
  uint32_t retries = 0;
  advance (window, now);
  for (int i = 0; i < CS_RETRY_WINDOW_BUCKETS; i++)
    {
      first_attempts += window->first_attempts[i];
      retries += window->retries[i];
    }
  double ratio = window->ratio * share.ratio_share;
  if (retries + 1 > ratio * first_attempts + share.allowance)
    return false;
  window->retries[window->bucket % CS_RETRY_WINDOW_BUCKETS]++;
  return true;
}
