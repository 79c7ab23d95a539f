// Engines that crash as a whole and are back after some seconds, and callers
// of their streams.

#ifndef REVIEW_LIB_3_ENGINES_H
#define REVIEW_LIB_3_ENGINES_H

#include "fleet.h"

namespace review
{

// The engines of one service.  One that crashes refuses connections at once;
// another incarnation, with another id, is there 2 s later, and the platform
// removes the entry after three intervals of 1.2 s.
class Engines
{
public:
  using Handler
      = std::function<bool (wire::Socket &, const wire::Message &, Target &)>;

  Engines (Store &store, Record &record, std::string service, Handler handler)
      : store_ (store), record_ (record), service_ (std::move (service)),
        handler_ (std::move (handler)), keeper_ ([this] { keep (); })
  {
  }

  ~Engines ()
  {
    stopping_ = true;
    keeper_.join ();
    std::lock_guard<std::mutex> lock (mutex_);
    for (auto &engine : engines_)
      engine->crash ();
    engines_.clear ();
  }

  // Adds an engine of VERSION in ZONE and returns its id.
  std::string
  add (const std::string &version, const std::string &zone)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return add_locked (version, zone);
  }

  // Ends ENGINE as a process that crashes.
  void
  crash (Target &engine)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (!down_.insert (engine.id ()).second)
      return;
    record_.line ("server %s crashes", engine.id ().c_str ());
    crashes++;
    engine.crash ();
    lost_.push_back ({ engine.id (), wire::now_ms (), false, false });
  }

  std::atomic<int> crashes{ 0 };

private:
  struct Lost
  {
    std::string id;
    int64_t at_ms;
    bool is_replaced;
    bool is_removed;
  };

  std::string
  add_locked (const std::string &version, const std::string &zone)
  {
    std::string id = service_ + "-" + std::to_string (++count_);
    engines_.push_back (std::make_unique<Target> (id));
    Target &engine = *engines_.back ();
    engine.set ([this, &engine] (wire::Socket &socket,
                                 const wire::Message &message) {
      if (message.field ("x-expect-instance") != engine.id ())
        return socket.send (
            Target::head (message, "421 Misdirected Request",
                          "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
      return handler_ (socket, message, engine);
    });
    places_[id] = { version, zone };
    store_.put ("servers", id,
                engine.entry (service_, "ready", version, zone));
    record_.line ("server %s of version %s is there", id.c_str (),
                  version.c_str ());
    return id;
  }

  void
  keep ()
  {
    while (!stopping_)
      {
        sleep_ms (50);
        std::lock_guard<std::mutex> lock (mutex_);
        for (auto &lost : lost_)
          {
            int64_t age = wire::now_ms () - lost.at_ms;
            if (age > 2000 && !lost.is_replaced)
              {
                lost.is_replaced = true;
                add_locked (places_[lost.id].first, places_[lost.id].second);
              }
            if (age > 3600 && !lost.is_removed)
              {
                lost.is_removed = true;
                store_.remove ("servers", lost.id);
              }
          }
      }
  }

  Store &store_;
  Record &record_;
  std::string service_;
  Handler handler_;
  std::mutex mutex_;
  int count_ = 0;
  std::vector<std::unique_ptr<Target>> engines_;
  std::map<std::string, std::pair<std::string, std::string>> places_;
  std::set<std::string> down_;
  std::vector<Lost> lost_;
  std::atomic<bool> stopping_{ false };
  std::thread keeper_;
};

// A request of caller KEY.
inline std::string
request_text (const std::string &method, const std::string &path,
              const std::string &id, const std::string &extra_fields,
              const std::string &body, int deadline_ms)
{
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: "
         + id + "\r\nX-Key: k1\r\nX-Deadline: " + std::to_string (deadline_ms)
         + "\r\n" + extra_fields
         + (method == "GET"
                ? ""
                : "Content-Length: " + std::to_string (body.size ()) + "\r\n")
         + "\r\n" + body;
}

// The events in the body of a stream that are whole.
inline std::vector<std::string>
events_of (const std::string &body)
{
  std::vector<std::string> events;
  size_t from = 0;
  size_t end;
  while ((end = body.find ("\n\n", from)) != std::string::npos)
    {
      events.push_back (body.substr (from, end - from));
      from = end + 2;
    }
  return events;
}

}

#endif
