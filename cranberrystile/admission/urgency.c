#include "cranberrystile/urgency.h"

/* Long beside the pauses between the urgent requests of a busy service, short
   beside the time for which it is worth refusing others.  */
#define PERIOD_US (5 * CS_US_PER_S)

static void
begin_period (cs_urgency_t *urgency, uint32_t priority, cs_time_us_t now)
{
  bool follows = urgency->is_known && now - urgency->began < 2 * PERIOD_US;
  urgency->before_least = follows ? urgency->now_least : priority;
  urgency->now_least = priority;
  urgency->began = now;
  urgency->is_known = true;
}

void
cs_urgency_seen (cs_urgency_t *urgency, uint32_t priority, cs_time_us_t now)
{
  if (!urgency->is_known || now - urgency->began >= PERIOD_US)
    begin_period (urgency, priority, now);
  else if (priority < urgency->now_least)
    urgency->now_least = priority;
}

bool
cs_urgency_has_room (const cs_urgency_t *urgency, uint32_t priority,
                     const cs_choice_t *choice)
{
  uint32_t least = urgency->now_least < urgency->before_least
                       ? urgency->now_least
                       : urgency->before_least;
  uint32_t slots = choice->target->slots;
  return slots == 0 || choice->mean < slots || priority <= least;
}
