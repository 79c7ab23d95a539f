// Streams that began while their service had one software version, so that no
// router has recorded them, and that are taken up after a second one joined.

#include "two_versions.h"

namespace
{

class BaseVersion : public TwoVersions
{
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
