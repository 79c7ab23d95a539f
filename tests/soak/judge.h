// Holds what callers and targets saw against the promises.

#ifndef TESTS_SOAK_JUDGE_H
#define TESTS_SOAK_JUDGE_H

#include "book.h"

namespace soak
{

class Judge
{
public:
  Judge (const Book &book, int64_t calm_from, int64_t calm_to)
      : book_ (book), calm_from_ (calm_from), calm_to_ (calm_to)
  {
    for (const auto &run : book.runs)
      runs_[run.id].push_back (&run);
  }

  std::vector<std::string>
  verdict ()
  {
    faults_ = book_.faults;
    for (const auto &request : book_.requests)
      {
        judge_answer (request);
        judge_runs (request);
        judge_stop (request);
      }
    judge_configurations ();
    judge_service ();
    return faults_;
  }

private:
  static constexpr int kTimingSlackMs = 250; // threads of the soak itself
  // A request cut within this of its own limits is not the stop's fault.
  static constexpr int kTimeoutMs = 1500;

  const std::vector<const Run *> &
  runs_of (const Request &request)
  {
    return runs_[request.id];
  }

  void
  fail (const Request &request, const std::string &what)
  {
    faults_.push_back (
        what + ": " + request.id + " " + path_of (request.kind) + " router r"
        + std::to_string (request.router) + " status "
        + std::to_string (request.status) + " runs "
        + std::to_string (runs_of (request).size ()) + " took "
        + std::to_string (request.ended - request.sent) + " ms");
  }

  // Whole answers of one's own; a failure is never a target's in part.
  void
  judge_answer (const Request &request)
  {
    if (!request.fault.empty ())
      fail (request, request.fault);
  }

  // At most once, "not run" only when true, by the right service, and not on a
  // target that has left.
  void
  judge_runs (const Request &request)
  {
    const auto &runs = runs_of (request);
    bool is_promise = request.status == 503 || request.status == 429
                      || request.status == 408 || request.status == 421;
    if (!is_repeatable (request.kind) && runs.size () > 1)
      fail (request, "ran more than once");
    if (!is_repeatable (request.kind) && is_promise && !runs.empty ())
      fail (request, "was said not to have run");
    for (const Run *run : runs)
      {
        bool for_desk = request.kind == Kind::desk;
        if (run->service != (for_desk ? "desk" : "engines"))
          fail (request, "ran on a target of another service");
        auto left = book_.leaving.find (run->target);
        if (left != book_.leaving.end ()
            && run->at > left->second + kDrainMs + kTimingSlackMs
            && !book_.in_trouble (request.router, left->second - kContactMs,
                                  run->at, false))
          fail (request, "reached a target that had left");
      }
  }

  bool
  was_spoiled (const Request &request)
  {
    for (const Run *run : runs_of (request))
      if (run->spoiled)
        return true;
    return false;
  }

  // Planned work cuts nothing that was taken.
  void
  judge_stop (const Request &request)
  {
    if (request.status != 0 || runs_of (request).empty ()
        || was_spoiled (request))
      return;
    if (!book_.in_trouble (request.router, request.sent - kContactMs,
                           request.ended, false))
      fail (request, "was cut without trouble");
  }

  int
  version_of (const Request &request)
  {
    const auto &runs = runs_of (request);
    return runs.empty () ? 0 : std::atoi (runs[0]->organisation.c_str () + 1);
  }

  // In force in time, and never back within one incarnation of a router.
  void
  judge_configurations ()
  {
    std::vector<const Request *> sent;
    for (const auto &request : book_.requests)
      if (!runs_of (request).empty ())
        sent.push_back (&request);
    std::vector<const Request *> ended = sent;
    std::sort (sent.begin (), sent.end (),
               [] (auto a, auto b) { return a->sent < b->sent; });
    std::sort (ended.begin (), ended.end (),
               [] (auto a, auto b) { return a->ended < b->ended; });
    std::map<std::pair<int, int>, int> newest;
    size_t next = 0;
    for (const Request *request : sent)
      {
        for (; next < ended.size () && ended[next]->ended < request->sent;
             next++)
          {
            int &seen
                = newest[{ ended[next]->router, ended[next]->incarnation }];
            seen = std::max (seen, version_of (*ended[next]));
          }
        int version = version_of (*request);
        if (version < newest[{ request->router, request->incarnation }])
          fail (*request, "met an older configuration than one before");
        judge_age (*request, version);
      }
  }

  void
  judge_age (const Request &request, int version)
  {
    for (const auto &known : book_.versions)
      if (known.first > version
          && known.second + kApplyMs + kTimingSlackMs < request.sent
          && !book_.in_trouble (request.router, known.second - kContactMs,
                                request.sent, true))
        {
          fail (request, "met version " + std::to_string (version)
                             + " long after " + std::to_string (known.first));
          return;
        }
  }

  // All is served again once the troubles are over.
  void
  judge_service ()
  {
    size_t asked = 0;
    size_t served = 0;
    std::vector<const Request *> unserved;
    for (const auto &request : book_.requests)
      {
        if (request.sent < calm_from_ || request.ended > calm_to_)
          continue;
        asked++;
        bool is_served = request.status == 200 && request.whole;
        served += is_served;
        if (!is_served)
          unserved.push_back (&request);
      }
    /* 97 in 100; callers that are cut off at the end are not counted.  */
    if (asked >= 20 && served * 100 >= asked * 97)
      return;
    for (const Request *request : unserved)
      fail (*request, "was not served after the troubles");
    faults_.push_back ("after the troubles " + std::to_string (served) + " of "
                       + std::to_string (asked) + " requests were served");
  }

  const Book &book_;
  int64_t calm_from_;
  int64_t calm_to_;
  std::map<std::string, std::vector<const Run *>> runs_;
  std::vector<std::string> faults_;
};

}

#endif
