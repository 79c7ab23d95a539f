#include "cranberrystile/surge.h"

#include <math.h>

#define RECENT_HALF_LIFE_US (250 * CS_US_PER_MS)
#define EARLIER_HALF_LIFE_US (4 * CS_US_PER_S)
/* A group surges if its recent rate is this many times its earlier one.  */
#define MIN_GROWTH 3
/* A smaller share of all recent requests overloads no target.  */
#define MIN_SHARE 0.3

static double
decayed (double count, cs_time_us_t elapsed, cs_time_us_t half_life)
{
  return count * exp2 (-(double)elapsed / (double)half_life);
}

/* Returns the earlier count before this request.  */
static double
count_request (cs_surge_count_t *group, cs_time_us_t now)
{
  cs_time_us_t elapsed = now > group->at ? now - group->at : 0;
  double earlier = decayed (group->earlier, elapsed, EARLIER_HALF_LIFE_US);
  group->recent = decayed (group->recent, elapsed, RECENT_HALF_LIFE_US) + 1;
  group->earlier = earlier + 1;
  group->at = now;
  return earlier;
}

void
cs_surge_record_request (cs_surge_t *surge, cs_time_us_t now)
{
  count_request (&surge->all, now);
}

bool
cs_surge_record (cs_surge_t *surge, uint64_t key, double min_recent,
                 cs_time_us_t now)
{
  cs_surge_count_t *group = &surge->groups[key % CS_SURGE_GROUPS];
  if (key == 0)
    return false;
  if (group->key != key)
    *group = (cs_surge_count_t){ .key = key };
  double earlier = count_request (group, now);
  double usual
      = earlier * (double)RECENT_HALF_LIFE_US / (double)EARLIER_HALF_LIFE_US;
  return group->recent >= min_recent && group->recent >= MIN_GROWTH * usual
         && group->recent >= MIN_SHARE * surge->all.recent;
}
