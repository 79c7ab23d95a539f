// Test fixture: two routers, and streams that begin at the engines of one
// software version and are taken up after a second one has joined.

#ifndef TESTS_ROUTER_TWO_VERSIONS_H
#define TESTS_ROUTER_TWO_VERSIONS_H

#include "fixture.h"

// Engines i-1, i-2 and i-4 are of version v1; i-9, of v2, joins in the tests.
class TwoVersions : public RouterTest
{
protected:
  struct Stream
  {
    std::string id;
    std::string begun_at; // version
    std::unique_ptr<wire::Socket> socket;
  };

  void
  SetUp () override
  {
    store.put ("servers", "i-4", third_engine.entry ("engines"));
    RouterTest::SetUp ();
    other
        = std::make_unique<Router> ("r2", store.address (), extra_settings ());
    ASSERT_TRUE (Router::eventually ([this] {
      return other->is_ready ()
             && other->log ().find ("name=r1") != std::string::npos;
    }));
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      printf ("%s\n", other->log ().c_str ());
    RouterTest::TearDown ();
  }

  std::string
  extra_settings () override
  {
    return "[retry]\nratio = 0.2\nslack = 100\n[peer]\ndirectory_s = 1\n";
  }

  // Until the routers know, and the store names, the only version.
  void
  wait_for_base ()
  {
    Router::eventually (
        [this] {
          return store.spec ("streams", "versions").find ("\"base\":true")
                 != std::string::npos;
        },
        6000);
  }

  void
  join_new_version ()
  {
    store.put ("servers", "i-9", new_engine.entry ("engines", "ready", "v2"));
  }

  // As after an outage in which the entries of all engines have expired.
  void
  expire_old_version ()
  {
    for (const char *id : { "i-1", "i-2", "i-4" })
      store.remove ("servers", id);
  }

  void
  register_old_version ()
  {
    for (Target *target : { &engine, &second_engine, &third_engine })
      store.put ("servers", target->id (), target->entry ("engines"));
  }

  virtual std::vector<Target *>
  engines ()
  {
    return { &engine, &second_engine, &third_engine, &new_engine };
  }

  bool
  is_of_old_version (const Target *target) const
  {
    return target == &engine || target == &second_engine
           || target == &third_engine;
  }

  std::string
  version_of (const std::string &id)
  {
    for (Target *target : engines ())
      for (const auto &message : target->requests ())
        if (message.field ("x-request-id") == id)
          return is_of_old_version (target) ? "v1" : "v2";
    return "";
  }

  void
  set_scripts (const Target::Script &script)
  {
    for (Target *target : engines ())
      target->set (script);
  }

  // Begins COUNT streams at AT, and waits up to MS for the first event of each
  // one.  Returns those that have one.
  std::vector<Stream>
  begin (Router &at, size_t count, int ms = 3000)
  {
    std::vector<Stream> all;
    std::vector<Stream> begun;
    set_scripts (Target::stream (160, 0, 25));
    int64_t until = wire::now_ms () + ms;
    for (size_t i = 0; i < count; i++)
      {
        std::string text = request ("POST", "/chat/x");
        std::string id = "q" + std::to_string (last_request_number);
        auto socket = std::make_unique<wire::Socket> (
            wire::Socket::connect_to (at.callers ()));
        socket->send (text);
        all.push_back ({ id, "", std::move (socket) });
      }
    auto has_event = [] (const Stream &stream) {
      return stream.socket->buffered ().find ("token 2") != std::string::npos;
    };
    for (auto &stream : all)
      {
        while (!has_event (stream)
               && stream.socket->fill (static_cast<int> (
                   std::max<int64_t> (until - wire::now_ms (), 1))))
          ;
        stream.begun_at = version_of (stream.id);
        if (has_event (stream))
          begun.push_back (std::move (stream));
      }
    return begun;
  }

  // Takes STREAMS up at AT, all at once, then does WHEN_SENT.  Expects each
  // one that goes on to do so at its version, and the others to be refused
  // with a time to come back.  Returns how many went on.
  size_t
  take_up (
      Router &at, const std::vector<Stream> &streams,
      const std::function<void ()> &when_sent = [] {})
  {
    std::vector<std::string> ids;
    std::vector<std::unique_ptr<wire::Socket>> sockets;
    size_t gone_on = 0;
    set_scripts (Target::stream (6));
    for (const auto &stream : streams)
      {
        std::string text
            = request ("POST", "/chat/x",
                       "Last-Event-Id: 2\r\nResumes: " + stream.id + "\r\n");
        ids.push_back ("q" + std::to_string (last_request_number));
        sockets.push_back (std::make_unique<wire::Socket> (
            wire::Socket::connect_to (at.callers ())));
        sockets.back ()->send (text);
      }
    when_sent ();
    for (size_t i = 0; i < streams.size (); i++)
      {
        wire::Message response = sockets[i]->read (8000);
        bool goes_on = response.status () == 200;
        EXPECT_EQ (version_of (ids[i]), goes_on ? streams[i].begun_at : "");
        EXPECT_EQ (response.status (), goes_on ? 200 : 503);
        EXPECT_EQ (response.field ("retry-after").empty (), goes_on);
        gone_on += goes_on;
      }
    return gone_on;
  }

  void
  kill_all ()
  {
    router->signal (SIGKILL);
    other->signal (SIGKILL);
  }

  void
  restart_all ()
  {
    router->restart ();
    other->restart ();
    ASSERT_TRUE (Router::eventually (
        [this] { return router->is_ready () && other->is_ready (); }));
  }

  Target third_engine{ "i-4" };
  Target new_engine{ "i-9" };
  std::unique_ptr<Router> other;
};

#endif
