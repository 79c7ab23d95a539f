#include "cranberrystile/rank.h"

#include <math.h>

#include "common/hash.h"

static double
score (uint64_t key, const cs_rank_member_t *member)
{
  uint64_t hash = cs_hash_pair (key, member->id);
  double unit = ((double)(hash >> 11) + 0.5) * 0x1p-53;
  if (member->weight == 1.0)
    return unit;
  return pow (unit, 1.0 / member->weight);
}

size_t
cs_rank (uint64_t key, const cs_rank_member_t *members, size_t count,
         uint32_t *out, size_t count_out)
{
  double best[CS_MAX_RANKED];
  size_t found = 0;
  if (count_out > CS_MAX_RANKED)
    count_out = CS_MAX_RANKED;
  for (size_t i = 0; i < count; i++)
    {
      if (members[i].weight <= 0)
        continue;
      double value = score (key, &members[i]);
      if (found == count_out && value <= best[found - 1])
        continue;
      size_t at = found < count_out ? found++ : found - 1;
      while (at > 0 && best[at - 1] < value)
        {
          best[at] = best[at - 1];
          out[at] = out[at - 1];
          at--;
        }
      best[at] = value;
      out[at] = (uint32_t)i;
    }
  return found;
}

size_t
cs_rank_first (uint64_t key, const cs_rank_member_t *members, size_t count)
{
  uint32_t first = 0;
  if (cs_rank (key, members, count, &first, 1) == 0)
    return count;
  return first;
}
