// Draws evacuations of data centres and periods in which targets are cold.

#ifndef TESTS_SOAK_CAPACITY_H
#define TESTS_SOAK_CAPACITY_H

#include "schedule.h"

namespace soak
{

// The entry of a target is rewritten after this time, as it is by renewals.
const int kRenewalMs = 1200;

// The target in slot INDEX turns cold DELAY_MS after the schedule's time.  Its
// responses say so at once, its entry with the next renewal.
inline void
schedule_cold (Schedule &schedule, size_t index, int delay_ms)
{
  Fleet &fleet = schedule.fleet;
  int duration_ms = schedule.random_between (1000, kColdStartMs);
  int renewal_ms = schedule.random_between (0, kRenewalMs);
  schedule.schedule (delay_ms,
                     [=, &fleet] { fleet.turn_cold (index, duration_ms); });
  for (int at = renewal_ms; at < duration_ms + kRenewalMs; at += kRenewalMs)
    schedule.schedule (delay_ms + at, [=, &fleet] { fleet.renew (index); });
}

// A data centre is evacuated and taken back.  Its targets may be cold then.
// Returns the duration.
inline int
schedule_evacuation (Schedule &schedule)
{
  Fleet &fleet = schedule.fleet;
  std::string zone = schedule.random_between (0, 1) == 0 ? "a" : "b";
  int duration_ms = kEvacuationMs + schedule.random_between (1000, 3000);
  bool is_cold = schedule.random_between (0, 1) == 0;
  schedule.add_description ("data centre " + zone + " is evacuated for "
                            + std::to_string (duration_ms) + " ms"
                            + (is_cold ? ", its targets are cold then" : ""));
  schedule.schedule (0, [=, &fleet] { fleet.evacuate (zone); });
  for (size_t i = 0; is_cold && i < fleet.target_slots.size (); i++)
    if (fleet.target_slots[i].target->zone () == zone)
      schedule_cold (schedule, i, duration_ms);
  schedule.schedule (duration_ms, [=, &fleet] { fleet.take_back (zone); });
  return duration_ms;
}

// Schedules an evacuation and two cold targets beside the disruptions, which
// begin before RUN_MS, and an evacuation after them: the first is mostly
// beside one of the platform, which excuses the routers.
inline void
schedule_capacity (Schedule &schedule, int run_ms)
{
  const int longest_disruption_ms = 3500;
  int time_ms = schedule.random_between (0, run_ms / 2);
  schedule.set_time (time_ms);
  time_ms += schedule_evacuation (schedule);
  schedule.set_time (std::max (time_ms, run_ms + longest_disruption_ms));
  schedule_evacuation (schedule);
  for (int i = 0; i < 2; i++)
    {
      size_t index = schedule.random_slot ();
      schedule.set_time (schedule.random_between (0, run_ms));
      schedule.add_description ("target " + std::to_string (index)
                                + " turns cold");
      schedule_cold (schedule, index, 0);
    }
}

}

#endif
