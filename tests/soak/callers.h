// Callers that send requests of all kinds, mostly on connections that they
// keep, and look at each answer.

#ifndef TESTS_SOAK_CALLERS_H
#define TESTS_SOAK_CALLERS_H

#include <memory>
#include <random>

#include "target.h"

namespace soak
{

// How an answer to a plain request is wrong; empty: it is not.
inline std::string
check_plain (const Request &request, const wire::Message &answer)
{
  std::string whole = body_of (request.id);
  if (answer.whole && answer.body != whole)
    return "the body is not the target's";
  if (!answer.whole
      && whole.compare (0, answer.body.size (), answer.body) != 0)
    return "part of the body is not the target's";
  return "";
}

// Events come from the first, in order, each once; a whole answer has all.
inline std::string
check_stream (const Request &request, const wire::Message &answer)
{
  std::string expected;
  int count = events_of (request.id);
  for (int i = 1; i <= count; i++)
    expected += event_of (request.id, i);
  if (expected.compare (0, answer.body.size (), answer.body) != 0)
    return "an event is wrong, missing or there twice";
  if (answer.whole && answer.body.size () != expected.size ())
    return "the stream ends as complete before its last event";
  return "";
}

inline std::string
check (const Request &request, const wire::Message &answer)
{
  if (answer.start.empty () || answer.status () >= 300)
    return "";
  if (answer.field ("x-request-id") != request.id)
    return "the answer bears another id";
  if (!request.is_signed)
    return "a success without a signature";
  bool is_stream = request.kind == Kind::chat || request.kind == Kind::talk;
  return is_stream ? check_stream (request, answer)
                   : check_plain (request, answer);
}

class Callers
{
public:
  // Which incarnation of a router takes a caller, and where.
  struct Entry
  {
    int router;
    int incarnation;
    int port;
  };
  // The router that the balancer picks when it would like ROUTER.
  using Where = std::function<Entry (int router)>;

  Callers (Book &book, int routers, Where where, uint64_t seed)
      : book_ (book), routers_ (routers), where_ (std::move (where)),
        seed_ (seed)
  {
  }

  void
  start (int count)
  {
    for (int i = 0; i < count; i++)
      threads_.emplace_back ([this, i] { work (i); });
  }

  void
  stop ()
  {
    stopping_ = true;
    for (auto &thread : threads_)
      thread.join ();
    threads_.clear ();
  }

private:
  struct Line
  {
    std::unique_ptr<wire::Socket> socket;
    int incarnation = 0;
    int64_t used = 0;
  };

  // Four fifths of the configuration's limit, as callers are allowed.
  static constexpr int kIdleMs = 720;

  void
  work (int number)
  {
    std::mt19937_64 random (seed_ * 1000 + number);
    std::vector<Line> lines (routers_);
    for (int i = 0; !stopping_; i++)
      {
        Entry entry = where_ (static_cast<int> (random () % routers_));
        Request request = {};
        request.id = "c" + std::to_string (number) + "-" + std::to_string (i);
        request.kind = static_cast<Kind> (random () % 5);
        request.router = entry.router;
        request.incarnation = entry.incarnation;
        ask (lines[entry.router], entry, request);
        std::this_thread::sleep_for (
            std::chrono::milliseconds (random () % 40));
      }
  }

  void
  ask (Line &line, const Entry &entry, Request &request)
  {
    if (line.socket == nullptr || line.incarnation != entry.incarnation
        || wire::now_ms () > line.used + kIdleMs)
      line.socket = std::make_unique<wire::Socket> (
          wire::Socket::connect_to (entry.port));
    line.incarnation = entry.incarnation;
    request.sent = wire::now_ms ();
    if (!line.socket->is_open () || !line.socket->send (text_of (request)))
      {
        line.socket.reset ();
        return; // nothing was taken from this caller
      }
    wire::Message answer = line.socket->read (5000);
    request.ended = wire::now_ms ();
    request.status = answer.status ();
    request.whole = answer.whole;
    request.closed_unread = answer.start.empty ();
    request.is_signed = !answer.field ("x-response-signature").empty ();
    request.fault = check (request, answer);
    if (!answer.whole || answer.field ("connection") == "close")
      line.socket.reset ();
    line.used = request.ended;
    book_.add (request);
  }

  static std::string
  text_of (const Request &request)
  {
    bool has_body = request.kind != Kind::safe;
    std::string text = std::string (has_body ? "POST /" : "GET /")
                       + path_of (request.kind)
                       + "/x HTTP/1.1\r\nHost: h.example\r\nX-Key: k1\r\n"
                         "X-Deadline: 4000\r\nX-Request-Id: "
                       + request.id + "\r\n";
    return text + (has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
  }

  Book &book_;
  int routers_;
  Where where_;
  uint64_t seed_;
  std::atomic<bool> stopping_{ false };
  std::vector<std::thread> threads_;
};

}

#endif
