// The history of a run: requests as callers and targets saw them, and injected
// disruptions.

#ifndef TESTS_SOAK_BOOK_H
#define TESTS_SOAK_BOOK_H

#include <set>

#include "../router/wire.h"

namespace soak
{

// The settings contact_ms, apply_ms and drain_ms of the simulated platform.
const int kContactMs = 3000;
const int kApplyMs = 2000;
const int kDrainMs = 2000;
// Its setting evacuation_ms, and cold_start_s and cold_per_s of the engines.
const int kEvacuationMs = 2500;
const int kColdStartMs = 2000;
const int kColdPerS = 6;
// In place of a router: every router, and every router where it depends on
// targets or on the links to them.
const int kAllRouters = -1;
const int kTargets = -2;

// The route of a request, under its name in the configuration.
enum class RequestKind
{
  safe,
  once,
  desk,
  chat, // a stream that may be resumed
  talk, // a stream that must not be resumed
};

inline const char *
route_path (RequestKind kind)
{
  static const char *const names[]
      = { "safe", "once", "desk", "chat", "talk" };
  return names[static_cast<int> (kind)];
}

inline bool
is_retryable (RequestKind kind)
{
  return kind == RequestKind::safe || kind == RequestKind::chat;
}

// A request as its caller saw it.  Times are those of wire::now_ms.
struct Request
{
  std::string id;
  RequestKind kind;
  int router;
  int incarnation;
  int64_t sent_ms;
  int64_t ended_ms = 0;
  int status = 0; // 0: the connection ended without a response
  bool is_complete = false;
  bool is_signed = false;
  bool closed_without_response = false; // no byte of a response arrived
  std::string response_error;           // empty if the response was correct
};

// An execution of a request as its target saw it.
struct Execution
{
  std::string id;
  std::string path;
  std::string service; // service of the target
  std::string target;
  std::string organisation;
  int64_t started_ms;
  bool has_injected_fault;
  bool says_leaving; // the response has Server-Leaving
};

// A request as it arrived at a target, whether it was executed or refused,
// except with 421.
struct Arrival
{
  std::string id;
  std::string target;
  std::string zone;
  int64_t sent_ms; // by the router
};

struct ColdPeriod
{
  std::string target;
  int64_t from_ms;
  int64_t to_ms;
};

struct Evacuation
{
  std::string zone;
  int64_t from_ms; // response of the store
  int64_t to_ms;
};

// A period in which faults or planned work affect a router, which relaxes some
// of the checks.
struct Disruption
{
  int64_t from_ms;
  int64_t to_ms;
  int router; // or kAllRouters or kTargets
  bool is_planned;
  std::string description;
};

// Recording is thread-safe.  The public members are read only after the
// callers have stopped and close () was called.
class History
{
public:
  void
  add (const Request &request)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    requests.push_back (request);
  }

  void
  add (const Execution &execution)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (!closed_)
      executions.push_back (execution);
  }

  void
  add (const Arrival &arrival)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (!closed_)
      arrivals.push_back (arrival);
  }

  void
  add (const ColdPeriod &period)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    cold_periods.push_back (period);
  }

  void
  add (const Evacuation &evacuation)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    evacuations.push_back (evacuation);
  }

  void
  add (const Disruption &disruption)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    disruptions.push_back (disruption);
  }

  void
  record_version (int version)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    acknowledged_versions[version] = wire::now_ms ();
  }

  void
  record_leaving (const std::string &target)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    leaving_targets[target] = wire::now_ms ();
  }

  void
  add_violation (const std::string &what)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    violations.push_back (what);
  }

  // Ignores executions from now on, so that the history can be read.
  void
  close ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    closed_ = true;
  }

  // Returns whether ROUTER was disrupted at any time from FROM_MS to TO_MS;
  // planned disruptions count only if INCLUDE_PLANNED.
  bool
  is_disrupted (int router, int64_t from_ms, int64_t to_ms,
                bool include_planned) const
  {
    for (const auto &disruption : disruptions)
      if ((disruption.router < 0 || disruption.router == router)
          && (include_planned || !disruption.is_planned)
          && disruption.from_ms <= to_ms && disruption.to_ms >= from_ms)
        return true;
    return false;
  }

  // Returns whether ROUTER, or any router if it is kAllRouters, did not run or
  // was cut off from the platform at any time from FROM_MS to TO_MS.
  bool
  is_cut_off (int router, int64_t from_ms, int64_t to_ms) const
  {
    for (const auto &disruption : disruptions)
      if (disruption.router != kTargets
          && (disruption.router == kAllRouters || router == kAllRouters
              || disruption.router == router)
          && disruption.from_ms <= to_ms && disruption.to_ms >= from_ms)
        return true;
    return false;
  }

  std::vector<Request> requests;
  std::vector<Execution> executions;
  std::vector<Arrival> arrivals;
  std::vector<ColdPeriod> cold_periods;
  std::vector<Evacuation> evacuations;
  std::vector<Disruption> disruptions;
  // Times at which the store acknowledged a version of the configuration, and
  // that a target is leaving.
  std::map<int, int64_t> acknowledged_versions;
  std::map<std::string, int64_t> leaving_targets;
  std::vector<std::string> violations; // not related to a request

private:
  std::mutex mutex_;
  bool closed_ = false;
};

}

#endif
