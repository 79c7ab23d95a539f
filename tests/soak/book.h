// What callers and targets saw, and which trouble was made when.

#ifndef TESTS_SOAK_BOOK_H
#define TESTS_SOAK_BOOK_H

#include <set>

#include "../router/wire.h"

namespace soak
{

// Bounds of the platform that the soak stands for.
const int kContactMs = 3000;
const int kApplyMs = 2000;
const int kDrainMs = 2000;
const int kAll = -1; // trouble for every router

enum class Kind
{
  safe,
  once,
  desk,
  chat, // a stream that may be resumed
  talk, // one that may not
};

inline const char *
path_of (Kind kind)
{
  static const char *const names[]
      = { "safe", "once", "desk", "chat", "talk" };
  return names[static_cast<int> (kind)];
}

inline bool
is_repeatable (Kind kind)
{
  return kind == Kind::safe || kind == Kind::chat;
}

// A request as its caller saw it.
struct Request
{
  std::string id;
  Kind kind;
  int router;
  int incarnation;
  int64_t sent;
  int64_t ended = 0;
  int status = 0; // 0: the connection ended without an answer
  bool whole = false;
  bool is_signed = false;
  bool closed_unread = false; // nothing of an answer came
  std::string fault;          // how the answer was wrong; empty: it was not
};

// A run of a request as its target saw it.
struct Run
{
  std::string id;
  std::string path;
  std::string service; // of the target
  std::string target;
  std::string organisation;
  int64_t at;
  bool spoiled; // the target misbehaved on purpose
};

struct Trouble
{
  int64_t from;
  int64_t to;
  int router; // or kAll
  bool planned;
  std::string what;
};

class Book
{
public:
  void
  add (const Request &request)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    requests.push_back (request);
  }

  void
  add (const Run &run)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (!closed_)
      runs.push_back (run);
  }

  void
  add (const Trouble &trouble)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    troubles.push_back (trouble);
  }

  void
  acknowledged (int version)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    versions[version] = wire::now_ms ();
  }

  void
  leaves (const std::string &target)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    leaving[target] = wire::now_ms ();
  }

  void
  fail (const std::string &what)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    faults.push_back (what);
  }

  // Takes no more runs, so that what was seen can be read.
  void
  close ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    closed_ = true;
  }

  // Whether ROUTER was in trouble at any time from FROM to TO; planned work
  // counts where PLANNED_TOO.
  bool
  in_trouble (int router, int64_t from, int64_t to, bool planned_too) const
  {
    for (const auto &trouble : troubles)
      if ((trouble.router == kAll || trouble.router == router)
          && (planned_too || !trouble.planned) && trouble.from <= to
          && trouble.to >= from)
        return true;
    return false;
  }

  std::vector<Request> requests;
  std::vector<Run> runs;
  std::vector<Trouble> troubles;
  std::map<int, int64_t> versions;        // when acknowledged
  std::map<std::string, int64_t> leaving; // targets, when acknowledged
  std::vector<std::string> faults;        // seen outside of the requests

private:
  std::mutex mutex_;
  bool closed_ = false;
};

}

#endif
