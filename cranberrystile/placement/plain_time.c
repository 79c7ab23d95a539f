#include "placement/plain_time.h"

#include <math.h>

uint32_t
plain_time_slots (const cs_target_t *target)
{
  return target->slots == 0 && target->load.valid ? target->load.slots
                                                  : target->slots;
}

plain_time_t
plain_time_with (const cs_target_t *target, double calls, uint32_t slots,
                 cs_time_us_t now)
{
  double slowness = cs_slowness_now (&target->slowness, now);
  double expected = fmax (1, calls / slots) * slowness;
  return (plain_time_t){ expected, expected - slowness };
}

void
plain_time_estimate (const candidates_t *candidates,
                     const cs_choice_request_t *request, cs_time_us_t now,
                     cs_choice_t *choice)
{
  const cs_target_t *chosen = choice->target;
  uint32_t slots = plain_time_slots (chosen);
  double count = 0;
  if (slots == 0
      || (!request->estimates_time
          && !cs_slowness_is_stated (&chosen->slowness)))
    return;
  for (size_t i = 0; i < candidates->count; i++)
    {
      const cs_target_t *target = candidates->targets[i];
      uint32_t its_slots = plain_time_slots (target);
      if (its_slots == 0)
        continue;
      plain_time_t its_time = plain_time_with (
          target, cs_target_estimated_calls (target) + 1., its_slots, now);
      choice->mean_expected += its_time.expected;
      choice->mean_wait += its_time.wait;
      choice->mean_slots += its_slots;
      count++;
    }
  plain_time_t time = plain_time_with (
      chosen, cs_target_estimated_calls (chosen) + 1., slots, now);
  choice->expected = time.expected;
  choice->wait = time.wait;
  choice->mean_expected /= count;
  choice->mean_wait /= count;
  choice->mean_slots /= count;
}
