#include "cranberrystile/delayed_count.h"

uint32_t
cs_delayed_count_record (cs_delayed_count_t *count, uint32_t value,
                         cs_time_us_t now)
{
  uint64_t step = now / CS_DELAYED_COUNT_STEP_US;
  /* After a longer pause all steps have the latest value.  */
  if (step > count->step + CS_DELAYED_COUNT_STEPS)
    count->step = step - CS_DELAYED_COUNT_STEPS;
  for (; count->step < step; count->step++)
    count->steps[count->step % CS_DELAYED_COUNT_STEPS] = count->latest;
  count->latest = value;
  return count->steps[step % CS_DELAYED_COUNT_STEPS];
}
