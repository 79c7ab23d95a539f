// A schedule of actions drawn from a seed, and their descriptions.

#ifndef TESTS_SOAK_SCHEDULE_H
#define TESTS_SOAK_SCHEDULE_H

#include "world.h"

namespace soak
{

class Schedule
{
public:
  Schedule (Fleet &fleet, uint64_t seed) : fleet (fleet), random_ (seed) {}

  int
  random_between (int min, int max)
  {
    return min + static_cast<int> (random_ () % (max - min + 1));
  }

  size_t
  random_slot ()
  {
    return random_ () % fleet.target_slots.size ();
  }

  // Descriptions and actions that follow are for TIME_MS from the start.
  void
  set_time (int time_ms)
  {
    time_ms_ = time_ms;
  }

  void
  add_description (const std::string &description)
  {
    descriptions_.push_back (std::to_string (time_ms_) + " ms " + description);
  }

  void
  schedule (int delay_ms, std::function<void ()> action)
  {
    actions_.push_back ({ time_ms_ + delay_ms, std::move (action) });
  }

  // Schedules the record of a disruption that lasts for DURATION_MS from the
  // set time on; the caller schedules the disruption itself.
  void
  schedule_disruption (int router, int duration_ms, bool planned,
                       const std::string &description)
  {
    add_description (description);
    schedule (0, [=] {
      int64_t now = wire::now_ms ();
      fleet.history.add (
          Disruption{ now, now + duration_ms, router, planned, description });
    });
  }

  // Schedules FLAG to have VALUE for DURATION_MS, and then NEXT_VALUE.
  template <typename Flag, typename Value>
  void
  set_temporarily (Flag *flag, Value value, Value next_value, int duration_ms)
  {
    schedule (0, [=] { *flag = value; });
    schedule (duration_ms, [=] { *flag = next_value; });
  }

  // Sorts the actions by time.  None may be added from now on.
  void
  close ()
  {
    std::stable_sort (actions_.begin (), actions_.end (),
                      [] (const Action &a, const Action &b) {
                        return a.time_ms < b.time_ms;
                      });
  }

  // Starts the actions that are due at ELAPSED_MS.  Returns whether any are
  // left.
  bool
  start_due (int64_t elapsed_ms)
  {
    for (; next_ < actions_.size () && actions_[next_].time_ms <= elapsed_ms;
         next_++)
      actions_[next_].start ();
    return next_ < actions_.size ();
  }

  const std::vector<std::string> &
  descriptions () const
  {
    return descriptions_;
  }

  Fleet &fleet;

private:
  struct Action
  {
    int time_ms; // from the start of the run
    std::function<void ()> start;
  };

  std::mt19937_64 random_;
  int time_ms_ = 0;
  std::vector<Action> actions_;
  size_t next_ = 0;
  std::vector<std::string> descriptions_;
};

}

#endif
