#include "cranberrystile/stale_load.h"

/* Adds up the loads below LEVEL; returns their number.  */
static size_t
sum_below (const double *loads, size_t count, double level, double *sum)
{
  size_t below = 0;
  *sum = 0;
  for (size_t i = 0; i < count; i++)
    if (loads[i] < level)
      {
        *sum += loads[i];
        below++;
      }
  return below;
}

double
cs_stale_load_level (const double *loads, size_t count, double arrivals)
{
  double sum = 0;
  for (size_t i = 0; i < count; i++)
    sum += loads[i];
  size_t filled = count;
  double level = (sum + arrivals) / (double)count;
  /* Targets above the level aren't filled, so it is lower without them.  That
     ends, since each round leaves some out.  */
  for (;;)
    {
      size_t below = sum_below (loads, count, level, &sum);
      if (below == filled || below == 0)
        return level;
      filled = below;
      level = (sum + arrivals) / (double)below;
    }
}

size_t
cs_stale_load_select (const double *loads, size_t count, double arrivals,
                      double unit)
{
  double level = cs_stale_load_level (loads, count, arrivals);
  double rest = unit * arrivals;
  size_t last = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (loads[i] >= level)
        continue;
      rest -= level - loads[i];
      last = i;
      if (rest < 0)
        break;
    }
  return last;
}
