// Draws disruptions from a seed, and starts and ends them at their times.

#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "capacity.h"

namespace soak
{

class FaultInjector : private Schedule
{
public:
  FaultInjector (Fleet &fleet, uint64_t seed)
      : Schedule (fleet, seed), fleet_ (fleet)
  {
  }

  // Schedules COUNT random disruptions that start before RUN_MS; if
  // PLANNED_ONLY, just planned stops and changes of configuration and targets.
  void
  schedule_random (int count, int run_ms, bool planned_only)
  {
    for (int i = 0; i < count; i++)
      {
        set_time (random_between (0, run_ms));
        if (planned_only || random_between (0, 2) == 0)
          schedule_planned ();
        else
          schedule_unplanned ();
      }
    schedule_capacity (*this, run_ms);
    close ();
  }

  // Injects the scheduled disruptions.  Returns the time at which all of them
  // have ended and all routers run again.
  int64_t
  run ()
  {
    int64_t start_ms = wire::now_ms ();
    while (start_due (wire::now_ms () - start_ms) || !all_running ())
      {
        supervise_routers ();
        std::this_thread::sleep_for (std::chrono::milliseconds (10));
      }
    return wire::now_ms ();
  }

  // Restarts routers that have exited.  An exit without SIGTERM, or one that
  // takes longer than the grace period, is a violation.
  void
  supervise_routers ()
  {
    for (size_t i = 0; i < fleet_.hosts.size (); i++)
      supervise (static_cast<int> (i));
  }

  using Schedule::descriptions;

private:
  // The load balancer takes a router out of rotation after two failed probes.
  static constexpr int kBalancerDetectionMs = 2000;
  static constexpr int kGraceMs = 8000; // from SIGTERM to SIGKILL
  /* Duration of a planned stop: requests take 1.5 s at most and streams less
     than 1 s.  */
  static constexpr int kStopMs = 7000;

  Host &
  host (int router)
  {
    return *fleet_.hosts[router];
  }

  int
  random_router ()
  {
    return random_between (0, static_cast<int> (fleet_.hosts.size ()) - 1);
  }

  bool
  all_running ()
  {
    for (const auto &host : fleet_.hosts)
      if (host->stop_started_ms != 0)
        return false;
    return true;
  }

  void
  restart (int router)
  {
    host (router).router->restart ();
    host (router).incarnation++;
    host (router).stop_started_ms = 0;
    host (router).is_out_of_rotation = false;
  }

  void
  supervise (int router)
  {
    Host &state = host (router);
    int64_t stop_started_ms = state.stop_started_ms;
    if (state.router->has_ended ())
      {
        if (stop_started_ms == 0)
          fleet_.history.add_violation ("r" + std::to_string (router)
                                        + " exited without SIGTERM");
        restart (router);
      }
    else if (stop_started_ms != 0
             && wire::now_ms () > stop_started_ms + kBalancerDetectionMs)
      {
        state.is_out_of_rotation = true;
        if (wire::now_ms () > stop_started_ms + kGraceMs)
          {
            fleet_.history.add_violation (
                "r" + std::to_string (router)
                + " did not exit within the grace period");
            restart (router);
          }
      }
  }

  void
  schedule_planned ()
  {
    int router = random_router ();
    switch (random_between (0, 4))
      {
      case 0:
        schedule_disruption (router, kStopMs, true,
                             "SIGTERM r" + std::to_string (router));
        schedule (0, [=] {
          if (host (router).stop_started_ms != 0)
            return;
          host (router).stop_started_ms = wire::now_ms ();
          host (router).router->signal (SIGTERM);
        });
        return;
      case 1:
        add_description ("SIGHUP r" + std::to_string (router));
        schedule (0, [=] {
          Router &process = *host (router).router;
          Router::eventually ([&] { return process.handles (SIGHUP); }, 1000);
          process.signal (SIGHUP);
        });
        return;
      case 2:
        {
          int count = random_between (1, 6);
          add_description ("new configurations: " + std::to_string (count));
          for (int i = 0; i < count; i++)
            schedule (i * 80, [=] { fleet_.change_config (); });
          return;
        }
      case 3:
        add_description ("a target is added and is cold at first");
        schedule (0, [=] { fleet_.add_target ("engines", kColdStartMs); });
        return;
      default:
        schedule_removal ();
      }
  }

  // A target drains and is removed, unless fewer than two others of its
  // service would remain.
  void
  schedule_removal ()
  {
    size_t index = random_slot ();
    add_description ("target " + std::to_string (index)
                     + " drains and is removed");
    schedule (0, [=] {
      TargetSlot &slot = fleet_.target_slots[index];
      if (slot.is_leaving || remaining_targets (slot.target->service ()) < 3)
        return;
      slot.is_leaving = true;
      fleet_.publish (slot, "draining");
      fleet_.history.record_leaving (slot.target->id ());
    });
    schedule (3500, [=] {
      if (fleet_.target_slots[index].is_leaving)
        fleet_.unpublish (fleet_.target_slots[index]);
    });
  }

  // Returns the number of targets of SERVICE that are not leaving.
  int
  remaining_targets (const std::string &service)
  {
    int count = 0;
    for (const auto &slot : fleet_.target_slots)
      count += !slot.is_leaving && slot.target->service () == service;
    return count;
  }

  void
  schedule_unplanned ()
  {
    switch (random_between (0, 3))
      {
      case 0:
        schedule_process_fault ();
        return;
      case 1:
        schedule_platform_fault ();
        return;
      case 2:
        schedule_link_fault (random_slot ());
        return;
      default:
        schedule_target_fault (random_slot ());
      }
  }

  void
  schedule_process_fault ()
  {
    int router = random_router ();
    std::string text = " r" + std::to_string (router);
    int duration_ms = random_between (100, 2500);
    switch (random_between (0, 1))
      {
      case 0:
        schedule_disruption (router, duration_ms, false, "SIGSTOP" + text);
        schedule (0, [=] { host (router).router->signal (SIGSTOP); });
        schedule (duration_ms,
                  [=] { host (router).router->signal (SIGCONT); });
        return;
      default:
        schedule_disruption (router, 300, false, "SIGKILL" + text);
        schedule (0, [=] { restart (router); });
      }
  }

  void
  schedule_proxy_fault (Proxy *proxy, int duration_ms,
                        std::string *description)
  {
    switch (random_between (0, 4))
      {
      case 0:
        *description += " delayed";
        set_temporarily (&proxy->delay_ms, random_between (20, 400), 0,
                         duration_ms);
        return;
      case 1:
        *description += " silent";
        set_temporarily (&proxy->silent, true, false, duration_ms);
        return;
      case 2:
        *description += " silent in one direction";
        set_temporarily (random_between (0, 1) == 0 ? &proxy->silent_forward
                                                    : &proxy->silent_backward,
                         true, false, duration_ms);
        return;
      case 3:
        *description += " reset";
        set_temporarily (&proxy->reset_all, true, false, 100);
        return;
      default:
        *description += " silent on open connections";
        schedule (0, [=] { proxy->dropped_before_ms = wire::now_ms (); });
      }
  }

  void
  schedule_platform_fault ()
  {
    int duration_ms = random_between (200, 3000);
    Store *store = &fleet_.store ();
    switch (random_between (0, 5))
      {
      case 0:
        schedule_disruption (kAllRouters, duration_ms, false,
                             "the platform is silent");
        set_temporarily (&store->silent, true, false, duration_ms);
        return;
      case 1:
        schedule_disruption (kAllRouters, duration_ms, false,
                             "the platform responds with errors");
        set_temporarily (&store->error_status,
                         random_between (0, 1) == 0 ? 503 : 429, 0,
                         duration_ms);
        return;
      case 2:
        schedule_disruption (kAllRouters, 500, false,
                             "the platform discards its watch history");
        schedule (0,
                  [=] { store->oldest_watch_revision = store->revision (); });
        return;
      case 3:
        schedule_disruption (kAllRouters, 1000, false,
                             "the platform drops responses");
        schedule (0, [=] { store->responses_to_drop = 6; });
        return;
      case 4:
        {
          auto copy = std::make_shared<Store::Copy> ();
          schedule_disruption (kAllRouters, duration_ms + 500, false,
                               "the platform is restored from a copy");
          schedule (0, [=] { *copy = store->copy (); });
          schedule (duration_ms, [=] { fleet_.restore_store (*copy); });
          return;
        }
      default:
        {
          int router = random_router ();
          std::string description = "link of r" + std::to_string (router);
          schedule_proxy_fault (host (router).platform_link.get (),
                                duration_ms, &description);
          schedule_disruption (router, duration_ms, false, description);
        }
      }
  }

  void
  schedule_link_fault (size_t index)
  {
    int duration_ms = random_between (200, 3000);
    std::string description = "link of target " + std::to_string (index);
    schedule_proxy_fault (fleet_.target_slots[index].proxy.get (), duration_ms,
                          &description);
    schedule_disruption (kTargets, duration_ms + 500, false, description);
  }

  void
  schedule_target_fault (size_t index)
  {
    int duration_ms = random_between (500, 3000);
    int percent = random_between (5, 60);
    std::string text = " at target " + std::to_string (index) + ", "
                       + std::to_string (percent) + " %";
    static const struct
    {
      const char *name;
      std::atomic<int> Target::*percent;
    } modes[] = { { "refused requests", &Target::refuse_percent },
                  { "error responses", &Target::error_percent },
                  { "cut responses", &Target::cut_percent },
                  { "wrong request ids", &Target::wrong_id_percent },
                  { "extra bytes", &Target::extra_bytes_percent },
                  { "resets", &Target::reset_percent },
                  { "no responses", &Target::silent_percent },
                  { "refusals with Retry-After", &Target::pause_percent },
                  { "invalid responses", &Target::invalid_percent },
                  { "endless heads", &Target::endless_percent },
                  { "streams without events", &Target::drip_percent } };
    const size_t mode_count = sizeof modes / sizeof modes[0];
    size_t mode = static_cast<size_t> (random_between (0, mode_count + 3));
    if (mode >= mode_count + 2)
      {
        schedule_leaving_header (index);
        return;
      }
    if (mode >= mode_count)
      {
        schedule_address_reuse (index);
        return;
      }
    schedule_disruption (kTargets, duration_ms, false,
                         modes[mode].name + text);
    /* Looks the target up again: another one may be in its slot by the end. */
    schedule (0, [=] {
      *fleet_.target_slots[index].target.*modes[mode].percent = percent;
    });
    schedule (duration_ms, [=] {
      *fleet_.target_slots[index].target.*modes[mode].percent = 0;
    });
  }

  // A target says in its responses that it is leaving, but not to the
  // platform, which removes its entry later.
  void
  schedule_leaving_header (size_t index)
  {
    add_description ("target " + std::to_string (index)
                     + " says that it is leaving in its responses");
    schedule (0, [=] {
      TargetSlot &slot = fleet_.target_slots[index];
      if (slot.is_leaving || remaining_targets (slot.target->service ()) < 3)
        return;
      slot.is_leaving = true;
      slot.target->says_leaving = true;
    });
    schedule (3500, [=] {
      if (fleet_.target_slots[index].is_leaving)
        fleet_.unpublish (fleet_.target_slots[index]);
    });
  }

  // A target crashes, and a new target of the same or the other service takes
  // its address.
  void
  schedule_address_reuse (size_t index)
  {
    bool other_service = random_between (0, 1) == 1;
    schedule_disruption (kTargets, 1000, false,
                         "target " + std::to_string (index)
                             + " crashes and its address is reused by "
                             + (other_service ? "another" : "the same")
                             + " service, cold at first");
    schedule (0, [=] {
      std::string service = fleet_.target_slots[index].target->service ();
      if (other_service && remaining_targets (service) > 2)
        service = service == "desk" ? "engines" : "desk";
      fleet_.target_slots[index].proxy->reset_all = true;
      fleet_.replace_target (index, service);
      fleet_.target_slots[index].proxy->reset_all = false;
    });
  }

  Fleet &fleet_;
};

}

#endif
