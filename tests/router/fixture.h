// Test fixture: runs the router binary against stand-ins for the store and the
// targets.

#ifndef TESTS_ROUTER_FIXTURE_H
#define TESTS_ROUTER_FIXTURE_H

#include <memory>

#include <gtest/gtest.h>

#include "documents.h"
#include "router_process.h"
#include "stand_ins.h"

// One router with two targets of service "engines", one of service "desk", and
// one target entry that is invalid.
class RouterTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    store.put ("config", "main", config (1));
    for (Target *target : { &engine, &second_engine })
      store.put ("servers", target->id (), target->entry ("engines"));
    store.put ("servers", desk.id (), desk.entry ("desk"));
    store.put ("servers", "foreign", "{\"service\":7}");
    router
        = std::make_unique<Router> ("r1", store.address (), extra_settings ());
    ASSERT_TRUE (Router::eventually ([this] { return router->is_ready (); }))
        << router->log ();
  }

  // Waits for the router to have read the directory twice: it doesn't retry
  // until it knows how many routers share the retry budget.
  void
  wait_for_directory ()
  {
    ASSERT_TRUE (Router::eventually (
        [this] { return router->counter ("directory_lists") >= 2; }));
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      printf ("%s\n", router->log ().c_str ());
  }

  virtual std::string
  extra_settings ()
  {
    return "[retry]\nratio = 0.2\nslack = 10\n[peer]\ndirectory_s = 1\n";
  }

  static std::string
  route (const std::string &name, const std::string &kind,
         const std::string &service, const std::string &extra_members)
  {
    return document::route (name, kind, service, extra_members);
  }

  static std::string
  config (int version, const std::string &extra_routes = "")
  {
    return document::config (version, "acme", extra_routes);
  }

  // A route for config, below "/new/".
  static std::string
  extra_route ()
  {
    return ",{\"name\":\"new\",\"host\":\"h.example\","
           "\"path_prefix\":\"/new/\",\"kind\":\"safe\","
           "\"service\":\"engines\",\"timeout_ms\":1500}";
  }

  static std::string
  request (const std::string &method, const std::string &path,
           const std::string &extra_fields = "", const std::string &body = "")
  {
    std::string text = method + " " + path
                       + " HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Request-Id: q"
                       + std::to_string (++last_request_number)
                       + "\r\nX-Key: k1\r\nX-Deadline: 4000\r\n"
                       + extra_fields;
    if (!body.empty ())
      text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
    return text + "\r\n" + body;
  }

  wire::Message
  send_request (const std::string &text, int ms = 5000)
  {
    wire::Socket socket (wire::Socket::connect_to (router->callers ()));
    socket.send (text);
    return socket.read (ms, text.compare (0, 5, "HEAD ") == 0);
  }

  // Whether the router resets the connection within MS.
  static bool
  is_reset_within (const wire::Socket &socket, int ms)
  {
    return Router::eventually (
        [&] {
          int error = 0;
          socklen_t len = sizeof error;
          getsockopt (socket.fd (), SOL_SOCKET, SO_ERROR, &error, &len);
          return error == EPIPE || error == ECONNRESET;
        },
        ms);
  }

  void
  set_engine_scripts (const Target::Script &script)
  {
    engine.set (script);
    second_engine.set (script);
  }

  size_t
  engine_request_count ()
  {
    return engine.count () + second_engine.count ();
  }

  // The requests that both engines received, grouped by engine.
  std::vector<wire::Message>
  engine_requests ()
  {
    std::vector<wire::Message> all = engine.requests ();
    for (auto &message : second_engine.requests ())
      all.push_back (message);
    return all;
  }

  static inline int last_request_number = 0;
  Store store;
  Target engine{ "i-1" };
  Target second_engine{ "i-2" };
  Target desk{ "i-3" };
  std::unique_ptr<Router> router;
};

#endif
