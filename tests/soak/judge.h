// Checks a recorded history against the guarantees of the routers.

#ifndef TESTS_SOAK_JUDGE_H
#define TESTS_SOAK_JUDGE_H

#include <tuple>

#include "book.h"

namespace soak
{

class HistoryChecker
{
public:
  HistoryChecker (const History &history, int64_t steady_from_ms,
                  int64_t steady_to_ms)
      : history_ (history), steady_from_ms_ (steady_from_ms),
        steady_to_ms_ (steady_to_ms)
  {
    for (const auto &execution : history.executions)
      executions_[execution.id].push_back (&execution);
  }

  std::vector<std::string>
  check ()
  {
    violations_ = history_.violations;
    for (const auto &request : history_.requests)
      {
        check_response (request);
        check_executions (request);
        check_cut (request);
      }
    check_leaving_headers ();
    check_configurations ();
    check_evacuations ();
    check_cold_targets ();
    check_recovery ();
    return violations_;
  }

private:
  // Allows for delays of the test's own threads.
  static constexpr int kTimingSlackMs = 250;
  // A request that is cut this close to its own limits isn't cut by a
  // shutdown.
  static constexpr int kTimeoutMs = 1500;

  const std::vector<const Execution *> &
  executions_of (const Request &request)
  {
    return executions_[request.id];
  }

  void
  add_violation (const Request &request, const std::string &description)
  {
    violations_.push_back (
        description + ": " + request.id + " " + route_path (request.kind)
        + " router r" + std::to_string (request.router) + " status "
        + std::to_string (request.status) + " executions "
        + std::to_string (executions_of (request).size ()) + " took "
        + std::to_string (request.ended_ms - request.sent_ms) + " ms");
  }

  // A successful response is that of its own request; if it is incomplete, the
  // body is a prefix of it.
  void
  check_response (const Request &request)
  {
    if (!request.response_error.empty ())
      add_violation (request, request.response_error);
  }

  // A request that isn't retryable is executed at most once, and never after
  // it was reported as not executed.  Executions are by targets of the right
  // service that haven't left.
  void
  check_executions (const Request &request)
  {
    const auto &executions = executions_of (request);
    bool reports_not_executed = request.status == 503 || request.status == 429
                                || request.status == 408
                                || request.status == 421;
    if (!is_retryable (request.kind) && executions.size () > 1)
      add_violation (request, "was executed more than once");
    if (!is_retryable (request.kind) && reports_not_executed
        && !executions.empty ())
      add_violation (request, "was executed but reported as not executed");
    for (const Execution *execution : executions)
      {
        bool is_for_desk = request.kind == RequestKind::desk;
        if (execution->service != (is_for_desk ? "desk" : "engines"))
          add_violation (request,
                         "was executed by a target of another service");
        auto left = history_.leaving_targets.find (execution->target);
        if (left != history_.leaving_targets.end ()
            && execution->started_ms > left->second + kDrainMs + kTimingSlackMs
            && !history_.is_disrupted (request.router,
                                       left->second - kContactMs,
                                       execution->started_ms, false))
          add_violation (request, "was sent to a target that had left");
      }
  }

  // Once a router has passed on a response in which a target says that it is
  // leaving, it sends no more requests to it.
  void
  check_leaving_headers ()
  {
    std::map<std::tuple<int, int, std::string>, int64_t> passed_on;
    for (const auto &request : history_.requests)
      for (const Execution *execution : executions_of (request))
        if (execution->says_leaving && request.status != 0
            && executions_of (request).size () == 1)
          {
            std::tuple<int, int, std::string> key (
                request.router, request.incarnation, execution->target);
            auto at = passed_on.emplace (key, request.ended_ms).first;
            at->second = std::min (at->second, request.ended_ms);
          }
    for (const auto &request : history_.requests)
      for (const Execution *execution : executions_of (request))
        {
          auto at = passed_on.find (
              { request.router, request.incarnation, execution->target });
          if (at != passed_on.end () && request.sent_ms > at->second + kDrainMs
              && !history_.is_disrupted (request.router, at->second,
                                         execution->started_ms, false))
            add_violation (request,
                           "was sent to a target that said it was leaving");
        }
  }

  bool
  has_injected_fault (const Request &request)
  {
    for (const Execution *execution : executions_of (request))
      if (execution->has_injected_fault)
        return true;
    return false;
  }

  // Planned disruptions don't cut requests that a router has accepted.
  void
  check_cut (const Request &request)
  {
    if (request.status != 0 || executions_of (request).empty ()
        || has_injected_fault (request))
      return;
    if (!history_.is_disrupted (request.router, request.sent_ms - kContactMs,
                                request.ended_ms, false))
      add_violation (request, "was cut without a disruption");
  }

  int
  version_of (const Request &request)
  {
    const auto &executions = executions_of (request);
    return executions.empty ()
               ? 0
               : std::atoi (executions[0]->organisation.c_str () + 1);
  }

  // A new configuration is applied in time, and one incarnation of a router
  // never returns to an older version.
  void
  check_configurations ()
  {
    std::vector<const Request *> sent;
    for (const auto &request : history_.requests)
      if (!executions_of (request).empty ())
        sent.push_back (&request);
    std::vector<const Request *> ended = sent;
    std::sort (sent.begin (), sent.end (),
               [] (auto a, auto b) { return a->sent_ms < b->sent_ms; });
    std::sort (ended.begin (), ended.end (),
               [] (auto a, auto b) { return a->ended_ms < b->ended_ms; });
    std::map<std::pair<int, int>, int> newest;
    size_t next = 0;
    for (const Request *request : sent)
      {
        for (;
             next < ended.size () && ended[next]->ended_ms < request->sent_ms;
             next++)
          {
            int &seen
                = newest[{ ended[next]->router, ended[next]->incarnation }];
            seen = std::max (seen, version_of (*ended[next]));
          }
        int version = version_of (*request);
        if (version < newest[{ request->router, request->incarnation }])
          add_violation (
              *request,
              "was routed by an older configuration than an earlier request");
        check_configuration_age (*request, version);
      }
  }

  void
  check_configuration_age (const Request &request, int version)
  {
    for (const auto &acknowledged : history_.acknowledged_versions)
      if (acknowledged.first > version
          && acknowledged.second + kApplyMs + kTimingSlackMs < request.sent_ms
          && !history_.is_disrupted (request.router,
                                     acknowledged.second - kContactMs,
                                     request.sent_ms, true))
        {
          add_violation (request, "was routed by version "
                                      + std::to_string (version)
                                      + " long after "
                                      + std::to_string (acknowledged.first));
          return;
        }
  }

  // Evacuated data centres get no requests from routers that ran and were in
  // contact with the platform since the evacuation began.
  void
  check_evacuations ()
  {
    std::map<std::string, int> routers;
    for (const auto &request : history_.requests)
      routers[request.id] = request.router;
    for (const auto &evacuation : history_.evacuations)
      for (const auto &arrival : history_.arrivals)
        {
          auto at = routers.find (arrival.id);
          int router = at == routers.end () ? kAllRouters : at->second;
          if (arrival.zone == evacuation.zone
              && arrival.sent_ms
                     > evacuation.from_ms + kEvacuationMs + kTimingSlackMs
              && arrival.sent_ms < evacuation.to_ms
              && !history_.is_cut_off (router, evacuation.from_ms,
                                       arrival.sent_ms))
            violations_.push_back (
                arrival.id + " from r" + std::to_string (router)
                + " was sent to " + arrival.target + " "
                + std::to_string (arrival.sent_ms - evacuation.from_ms)
                + " ms after the evacuation of " + evacuation.zone);
        }
  }

  // All routers together, disrupted or not, send a cold target no more than it
  // can handle, with the margin of the requirement.
  void
  check_cold_targets ()
  {
    const size_t limit = kColdPerS * 3 / 2 + 5;
    for (const auto &period : history_.cold_periods)
      {
        std::vector<int64_t> times;
        for (const auto &arrival : history_.arrivals)
          if (arrival.target == period.target
              && arrival.sent_ms >= period.from_ms
              && arrival.sent_ms < period.to_ms)
            times.push_back (arrival.sent_ms);
        std::sort (times.begin (), times.end ());
        size_t most = 0;
        for (size_t from = 0, to = 0; to < times.size (); to++)
          {
            while (times[from] <= times[to] - 1000)
              from++;
            most = std::max (most, to - from + 1);
          }
        if (most > limit)
          violations_.push_back ("cold target " + period.target + " got "
                                 + std::to_string (most)
                                 + " requests in a second");
      }
  }

  // Requests are served again after the last disruption.
  void
  check_recovery ()
  {
    size_t completed = 0;
    size_t served = 0;
    std::vector<const Request *> unserved;
    for (const auto &request : history_.requests)
      {
        if (request.sent_ms < steady_from_ms_
            || request.ended_ms > steady_to_ms_)
          continue;
        completed++;
        bool is_served = request.status == 200 && request.is_complete;
        served += is_served;
        if (!is_served)
          unserved.push_back (&request);
      }
    /* At least 97 %; requests still in flight at the end don't count.  */
    if (completed >= 20 && served * 100 >= completed * 97)
      return;
    for (const Request *request : unserved)
      add_violation (*request, "was not served after the disruptions");
    violations_.push_back ("after the disruptions " + std::to_string (served)
                           + " of " + std::to_string (completed)
                           + " requests were served");
  }

  const History &history_;
  int64_t steady_from_ms_;
  int64_t steady_to_ms_;
  std::map<std::string, std::vector<const Execution *>> executions_;
  std::vector<std::string> violations_;
};

}

#endif
