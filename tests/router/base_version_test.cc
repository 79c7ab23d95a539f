// Streams that began while their service had one software version, so that no
// router has recorded them, and that are taken up after a second one joined.

#include "fixture.h"

namespace
{

// Engines i-1, i-2 and i-4 are of version v1; i-9, of v2, joins in the tests.
class BaseVersion : public RouterTest
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

  std::string
  version_of (const std::string &id)
  {
    for (Target *target :
         { &engine, &second_engine, &third_engine, &new_engine })
      for (const auto &message : target->requests ())
        if (message.field ("x-request-id") == id)
          return target == &new_engine ? "v2" : "v1";
    return "";
  }

  void
  set_scripts (const Target::Script &script)
  {
    for (Target *target :
         { &engine, &second_engine, &third_engine, &new_engine })
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

// Routers that had just started took the only version that was registered, the
// new one, for the only one that had served.
TEST_F (BaseVersion, StreamsAreNotTakenUpAtAVersionThatRegistersFirst)
{
  wait_for_base ();
  std::vector<Stream> streams = begin (*router, 8);
  kill_all ();
  expire_old_version ();
  join_new_version ();
  restart_all ();
  EXPECT_EQ (take_up (*other, streams,
                      [this] {
                        std::this_thread::sleep_for (
                            std::chrono::milliseconds (1000));
                        register_old_version ();
                      }),
             streams.size ());
}

// As above, where the store does not name the versions that have served.
TEST_F (BaseVersion, OnlyVersionIsNotTrustedBeforeExpiredEntriesAreBack)
{
  std::vector<Stream> streams = begin (*router, 8);
  kill_all ();
  store.remove ("streams", "versions");
  expire_old_version ();
  join_new_version ();
  restart_all ();
  take_up (*other, streams, [this] {
    std::this_thread::sleep_for (std::chrono::milliseconds (1000));
    register_old_version ();
  });
}

// As in the first test, but all servers of the old version are gone for good.
TEST_F (BaseVersion, StreamsOfAVersionThatIsGoneAreRefused)
{
  wait_for_base ();
  std::vector<Stream> streams = begin (*router, 4);
  kill_all ();
  expire_old_version ();
  join_new_version ();
  restart_all ();
  EXPECT_EQ (take_up (*other, streams), 0U);
}

// Streams of a router that stood still while a second version joined were
// refused at all others, as it alone knew them.
TEST_F (BaseVersion, StreamsOfAFrozenRouterGoOnAfterAnotherVersionJoined)
{
  wait_for_base ();
  std::vector<Stream> streams = begin (*router, 8);
  router->signal (SIGSTOP);
  join_new_version ();
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  EXPECT_EQ (take_up (*other, streams), streams.size ());
  std::vector<Stream> later = begin (*other, 8);
  EXPECT_EQ (later.size (), 8U);
  other->signal (SIGKILL);
  router->signal (SIGCONT);
  EXPECT_EQ (take_up (*router, later), 8U);
}

// As above, when the router was killed, and so was the one that knew how long
// the first version had been alone.
TEST_F (BaseVersion, StreamsOfKilledRoutersGoOnAfterAnotherVersionJoined)
{
  wait_for_base ();
  std::vector<Stream> streams = begin (*router, 8);
  kill_all ();
  join_new_version ();
  restart_all ();
  EXPECT_EQ (take_up (*other, streams), streams.size ());
  EXPECT_EQ (take_up (*router, streams), streams.size ());
}

// Streams of the new version that were not saved when their router was killed
// would be taken for ones of the old version.  While the store is away they
// begin at the old one.
TEST_F (BaseVersion, StreamsOfTheNewVersionAreNotTakenForOldOnes)
{
  wait_for_base ();
  join_new_version ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  store.silent = true;
  std::vector<Stream> streams = begin (*router, 12, 1000);
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  std::vector<Stream> later = begin (*router, 8, 600);
  EXPECT_EQ (later.size (), 8U);
  for (auto &stream : later)
    {
      EXPECT_EQ (stream.begun_at, "v1");
      streams.push_back (std::move (stream));
    }
  kill_all ();
  store.silent = false;
  restart_all ();
  EXPECT_EQ (take_up (*other, streams), streams.size ());
}

// A stream of the new version whose end did not reach its caller, which
// noticed that after some seconds without an event.
TEST_F (BaseVersion, EndedStreamsOfTheNewVersionAreKnownWhileCallersWait)
{
  wait_for_base ();
  join_new_version ();
  ASSERT_TRUE (Router::eventually ([this] {
    return router->log ().find ("target=i-9") != std::string::npos
           && other->log ().find ("target=i-9") != std::string::npos;
  }));
  std::vector<Stream> streams;
  for (int i = 0; i < 40 && streams.size () < 3; i++)
    {
      set_scripts (Target::stream (6));
      std::string text = request ("POST", "/chat/x");
      std::string id = "q" + std::to_string (last_request_number);
      EXPECT_EQ (send_request (text).status (), 200);
      if (version_of (id) == "v2")
        streams.push_back ({ id, "v2", nullptr });
    }
  EXPECT_EQ (streams.size (), 3U);
  // Others begin, so that what is recorded is saved again.
  for (int64_t until = wire::now_ms () + 2400; wire::now_ms () < until;)
    {
      send_request (request ("POST", "/chat/x"));
      std::this_thread::sleep_for (std::chrono::milliseconds (100));
    }
  EXPECT_EQ (take_up (*other, streams), streams.size ());
}

}
