// Runs the real router as a process of its own beside stand-ins.

#ifndef TESTS_ROUTER_FIXTURE_H
#define TESTS_ROUTER_FIXTURE_H

#include <memory>

#include <gtest/gtest.h>

#include "documents.h"
#include "router_process.h"
#include "stand_ins.h"

// One router before two targets of each of two services.
class Path : public testing::Test
{
protected:
  void
  SetUp () override
  {
    store.put ("config", "main", config (1));
    for (Target *target : { &engine, &other })
      store.put ("servers", target->id (), target->entry ("engines"));
    store.put ("servers", desk.id (), desk.entry ("desk"));
    store.put ("servers", "foreign", "{\"service\":7}");
    router = std::make_unique<Router> ("r1", store.address (), settings ());
    ASSERT_TRUE (Router::eventually ([this] { return router->is_ready (); }))
        << router->log ();
  }

  // Repeats are shared out once the other routers are known.
  void
  wait_for_directory ()
  {
    int calls = store.calls;
    Router::eventually ([&] { return store.calls >= calls + 6; }, 4000);
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      printf ("%s\n", router->log ().c_str ());
  }

  virtual std::string
  settings ()
  {
    return "[retry]\nratio = 0.2\nslack = 10\n[peer]\ndirectory_s = 1\n";
  }

  static std::string
  route (const std::string &name, const std::string &kind,
         const std::string &service, const std::string &more)
  {
    return document::route (name, kind, service, more);
  }

  static std::string
  config (int version, const std::string &more_routes = "")
  {
    return document::config (version, "acme", more_routes);
  }

  static std::string
  request (const std::string &method, const std::string &path,
           const std::string &more = "", const std::string &body = "")
  {
    std::string text = method + " " + path
                       + " HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Request-Id: q"
                       + std::to_string (++numbers)
                       + "\r\nX-Key: k1\r\nX-Deadline: 4000\r\n" + more;
    if (!body.empty ())
      text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
    return text + "\r\n" + body;
  }

  wire::Message
  ask (const std::string &text, int ms = 5000)
  {
    wire::Socket socket (wire::Socket::connect_to (router->callers ()));
    socket.send (text);
    return socket.read (ms, text.compare (0, 5, "HEAD ") == 0);
  }

  void
  set_engines (const Target::Script &script)
  {
    engine.set (script);
    other.set (script);
  }

  size_t
  runs ()
  {
    return engine.count () + other.count ();
  }

  // The requests that either engine was sent, of one of them first.
  std::vector<wire::Message>
  engine_requests ()
  {
    std::vector<wire::Message> all = engine.requests ();
    for (auto &message : other.requests ())
      all.push_back (message);
    return all;
  }

  static inline int numbers = 0;
  Store store;
  Target engine{ "i-1" };
  Target other{ "i-2" };
  Target desk{ "i-3" };
  std::unique_ptr<Router> router;
};

#endif
