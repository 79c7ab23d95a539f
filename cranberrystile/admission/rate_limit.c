#include "cranberrystile/rate_limit.h"

#include <math.h>

bool
cs_rate_limit_take (cs_rate_limit_t *limit, uint32_t rate, uint32_t burst,
                    cs_time_us_t now)
{
  double capacity = burst == 0 ? 1 : burst;
  if (rate == 0)
    return true;
  if (!limit->initialised)
    {
      limit->initialised = true;
      limit->tokens = capacity;
      limit->updated = now;
    }
  if (now > limit->updated)
    {
      double elapsed_s = (double)(now - limit->updated) / (double)CS_US_PER_S;
      limit->tokens += elapsed_s * rate;
      limit->updated = now;
    }
  if (limit->tokens > capacity)
    limit->tokens = capacity;
  if (limit->tokens < 1.0)
    return false;
  limit->tokens -= 1.0;
  return true;
}

uint32_t
cs_rate_limit_retry_after_s (const cs_rate_limit_t *limit, uint32_t rate)
{
  if (rate == 0 || limit->tokens >= 1.0)
    return 1;
  double wait = ceil ((1.0 - limit->tokens) / rate);
  return wait < 1 ? 1 : (uint32_t)wait;
}
