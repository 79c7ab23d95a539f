// Draws troubles from a seed, and makes and ends them at their times.

#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "world.h"

namespace soak
{

class Faults
{
public:
  Faults (World &world, uint64_t seed) : world_ (world), random_ (seed) {}

  // Draws COUNT troubles that begin before LENGTH_MS; only planned work and
  // changes where CALM.
  void
  draw (int count, int length_ms, bool calm)
  {
    for (int i = 0; i < count; i++)
      {
        at_ = between (0, length_ms);
        if (calm || between (0, 2) == 0)
          draw_planned ();
        else
          draw_unplanned ();
      }
    std::stable_sort (
        actions_.begin (), actions_.end (),
        [] (const Action &a, const Action &b) { return a.at < b.at; });
  }

  // Makes the troubles until all are over and all routers run again; returns
  // when that was.
  int64_t
  play ()
  {
    int64_t begun = wire::now_ms ();
    size_t next = 0;
    while (next < actions_.size () || !all_run ())
      {
        int64_t elapsed = wire::now_ms () - begun;
        for (; next < actions_.size () && actions_[next].at <= elapsed; next++)
          actions_[next].act ();
        look_after_routers ();
        std::this_thread::sleep_for (std::chrono::milliseconds (10));
      }
    return wire::now_ms ();
  }

  // Restarts routers that have stopped, and notes those that ended otherwise.
  void
  look_after_routers ()
  {
    for (size_t i = 0; i < world_.hosts.size (); i++)
      look_after (static_cast<int> (i));
  }

  const std::vector<std::string> &
  names () const
  {
    return names_;
  }

private:
  struct Action
  {
    int at;
    std::function<void ()> act;
  };

  static constexpr int kNoticeMs = 2000; // the balancer's two misses
  static constexpr int kGraceMs = 8000;
  /* Callers' requests wait for 1.5 s at most, and streams take under one.  */
  static constexpr int kStopMs = 7000;

  int
  between (int least, int most)
  {
    return least + static_cast<int> (random_ () % (most - least + 1));
  }

  void
  name (const std::string &what)
  {
    names_.push_back (std::to_string (at_) + " ms " + what);
  }

  void
  act (int after, std::function<void ()> action)
  {
    actions_.push_back ({ at_ + after, std::move (action) });
  }

  // Notes trouble from its beginning to FOR_MS after it.
  void
  trouble (int router, int for_ms, bool planned, const std::string &what)
  {
    name (what);
    act (0, [=] {
      int64_t now = wire::now_ms ();
      world_.book.add (Trouble{ now, now + for_ms, router, planned, what });
    });
  }

  Host &
  host (int router)
  {
    return *world_.hosts[router];
  }

  int
  draw_router ()
  {
    return between (0, static_cast<int> (world_.hosts.size ()) - 1);
  }

  bool
  all_run ()
  {
    for (const auto &host : world_.hosts)
      if (host->stop_begun != 0)
        return false;
    return true;
  }

  void
  restart (int router)
  {
    host (router).router->restart ();
    host (router).incarnation++;
    host (router).stop_begun = 0;
    host (router).is_out = false;
  }

  void
  look_after (int router)
  {
    Host &at = host (router);
    int64_t stop_begun = at.stop_begun;
    if (at.router->has_ended ())
      {
        if (stop_begun == 0)
          world_.book.fail ("r" + std::to_string (router)
                            + " ended by itself");
        restart (router);
      }
    else if (stop_begun != 0 && wire::now_ms () > stop_begun + kNoticeMs)
      {
        at.is_out = true;
        if (wire::now_ms () > stop_begun + kGraceMs)
          {
            world_.book.fail ("r" + std::to_string (router)
                              + " did not stop in its grace");
            restart (router);
          }
      }
  }

  void
  draw_planned ()
  {
    int router = draw_router ();
    switch (between (0, 4))
      {
      case 0:
        trouble (router, kStopMs, true, "SIGTERM r" + std::to_string (router));
        act (0, [=] {
          if (host (router).stop_begun != 0)
            return;
          host (router).stop_begun = wire::now_ms ();
          host (router).router->signal (SIGTERM);
        });
        return;
      case 1:
        name ("SIGHUP r" + std::to_string (router));
        act (0, [=] { host (router).router->signal (SIGHUP); });
        return;
      case 2:
        {
          int count = between (1, 6);
          name ("configurations: " + std::to_string (count));
          for (int i = 0; i < count; i++)
            act (i * 80, [=] { world_.change_config (); });
          return;
        }
      case 3:
        name ("a target joins");
        act (0, [=] { world_.add_target ("engines"); });
        return;
      default:
        draw_leave ();
      }
  }

  // A target drains and leaves; at least two of its service stay.
  void
  draw_leave ()
  {
    size_t at = random_ () % world_.places.size ();
    name ("target " + std::to_string (at) + " drains and leaves");
    act (0, [=] {
      Place &place = world_.places[at];
      if (place.is_leaving || staying (place.target->service ()) < 3)
        return;
      place.is_leaving = true;
      world_.list (place, "draining");
      world_.book.leaves (place.target->id ());
    });
    act (3500, [=] {
      if (world_.places[at].is_leaving)
        world_.unlist (world_.places[at]);
    });
  }

  int
  staying (const std::string &service)
  {
    int count = 0;
    for (const auto &place : world_.places)
      count += !place.is_leaving && place.target->service () == service;
    return count;
  }

  void
  draw_unplanned ()
  {
    switch (between (0, 3))
      {
      case 0:
        draw_process ();
        return;
      case 1:
        draw_platform ();
        return;
      case 2:
        draw_link (random_ () % world_.places.size ());
        return;
      default:
        draw_target (random_ () % world_.places.size ());
      }
  }

  void
  draw_process ()
  {
    int router = draw_router ();
    std::string text = " r" + std::to_string (router);
    int for_ms = between (100, 2500);
    switch (between (0, 1))
      {
      case 0:
        trouble (router, for_ms, false, "SIGSTOP" + text);
        act (0, [=] { host (router).router->signal (SIGSTOP); });
        act (for_ms, [=] { host (router).router->signal (SIGCONT); });
        return;
      default:
        trouble (router, 300, false, "SIGKILL" + text);
        act (0, [=] { restart (router); });
      }
  }

  // Sets FLAG for FOR_MS.
  template <typename Flag, typename Value>
  void
  hold (Flag *flag, Value value, Value after, int for_ms)
  {
    act (0, [=] { *flag = value; });
    act (for_ms, [=] { *flag = after; });
  }

  void
  harm (Proxy *proxy, int for_ms, std::string *what)
  {
    switch (between (0, 4))
      {
      case 0:
        *what += " delayed";
        hold (&proxy->delay_ms, between (20, 400), 0, for_ms);
        return;
      case 1:
        *what += " silent";
        hold (&proxy->silent, true, false, for_ms);
        return;
      case 2:
        *what += " one way only";
        hold (between (0, 1) == 0 ? &proxy->silent_forward
                                  : &proxy->silent_back,
              true, false, for_ms);
        return;
      case 3:
        *what += " reset";
        hold (&proxy->reset_all, true, false, 100);
        return;
      default:
        *what += " silent for open connections";
        act (0, [=] { proxy->dead_before = wire::now_ms (); });
      }
  }

  void
  draw_platform ()
  {
    int for_ms = between (200, 3000);
    Store *store = &world_.store ();
    switch (between (0, 4))
      {
      case 0:
        trouble (kAll, for_ms, false, "the platform is silent");
        hold (&store->silent, true, false, for_ms);
        return;
      case 1:
        trouble (kAll, for_ms, false, "the platform refuses");
        hold (&store->refuse_with, between (0, 1) == 0 ? 503 : 429, 0, for_ms);
        return;
      case 2:
        trouble (kAll, 500, false, "the platform forgets");
        act (0, [=] { store->forgotten = store->revision (); });
        return;
      case 3:
        trouble (kAll, 1000, false, "the platform loses answers");
        act (0, [=] { store->lose = 6; });
        return;
      default:
        {
          int router = draw_router ();
          std::string what = "link of r" + std::to_string (router);
          harm (host (router).platform.get (), for_ms, &what);
          trouble (router, for_ms, false, what);
        }
      }
  }

  void
  draw_link (size_t at)
  {
    int for_ms = between (200, 3000);
    std::string what = "link of target " + std::to_string (at);
    harm (world_.places[at].proxy.get (), for_ms, &what);
    trouble (kAll, for_ms + 500, false, what);
  }

  void
  draw_target (size_t at)
  {
    int for_ms = between (500, 3000);
    int odds = between (5, 60);
    std::string text = " target " + std::to_string (at) + " "
                       + std::to_string (odds) + " in 100";
    static const struct
    {
      const char *name;
      std::atomic<int> Target::*odds;
    } ways[] = { { "refuses", &Target::refuse }, { "errors", &Target::error },
                 { "cuts", &Target::cut },       { "swaps", &Target::swap },
                 { "adds", &Target::extra },     { "loses", &Target::lost },
                 { "mutes", &Target::mute } };
    size_t way = random_ () % 9;
    if (way >= sizeof ways / sizeof ways[0])
      {
        draw_reuse (at);
        return;
      }
    trouble (kAll, for_ms, false, ways[way].name + text);
    /* The target at this place may be another one by the end.  */
    act (0, [=] { *world_.places[at].target.*ways[way].odds = odds; });
    act (for_ms, [=] { *world_.places[at].target.*ways[way].odds = 0; });
  }

  // A target crashes, and another takes its address: of its own service, or of
  // the other one.
  void
  draw_reuse (size_t at)
  {
    bool other = between (0, 1) == 1;
    trouble (kAll, 1000, false,
             "target " + std::to_string (at) + " crashes; its address goes to "
                 + (other ? "another" : "the same") + " service");
    act (0, [=] {
      std::string service = world_.places[at].target->service ();
      if (other && staying (service) > 2)
        service = service == "desk" ? "engines" : "desk";
      world_.places[at].proxy->reset_all = true;
      world_.reuse (at, service);
      world_.places[at].proxy->reset_all = false;
    });
  }

  World &world_;
  std::mt19937_64 random_;
  int at_ = 0;
  std::vector<Action> actions_;
  std::vector<std::string> names_;
};

}

#endif
