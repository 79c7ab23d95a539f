// Streams of routers that have not read from the store which version
// unrecorded streams began at.

#include "two_versions.h"

namespace
{

class UnknownBase : public TwoVersions
{
protected:
  void
  let_new_version_join ()
  {
    join_new_version ();
    wait_until_listed ("i-9");
  }

  // The new version then has more than half of the engines.
  void
  let_more_join ()
  {
    for (auto &target : more)
      store.put ("servers", target.id (),
                 target.entry ("engines", "ready", "v2"));
    wait_until_listed (more[2].id ());
  }

  void
  let_more_leave ()
  {
    for (auto &target : more)
      store.remove ("servers", target.id ());
  }

  void
  wait_until_listed (const std::string &id)
  {
    ASSERT_TRUE (Router::eventually ([&] {
      return router->log ().find ("target=" + id) != std::string::npos
             && other->log ().find ("target=" + id) != std::string::npos;
    }));
  }

  static void
  restart (Router &at)
  {
    at.signal (SIGKILL);
    at.restart ();
    ASSERT_TRUE (Router::eventually ([&] { return at.is_ready (); }, 8000));
  }

  std::vector<Target *>
  engines () override
  {
    std::vector<Target *> all = TwoVersions::engines ();
    for (auto &target : more)
      all.push_back (&target);
    return all;
  }

  Target more[3] = { Target ("i-10"), Target ("i-11"), Target ("i-12") };
};

// A router that had started during an outage let events of the second version
// pass, and the others took its streams for ones of the first.
TEST_F (UnknownBase, StreamsOfARestartDuringAnOutageAreNotTakenForOthers)
{
  wait_for_base ();
  let_new_version_join ();
  store.silent = true;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  restart (*other);
  std::vector<Stream> streams = begin (*other, 16, 2400);
  EXPECT_GE (streams.size (), 8U);
  other->signal (SIGKILL);
  store.silent = false;
  // The call in progress has to time out first.
  std::this_thread::sleep_for (std::chrono::milliseconds (2000));
  EXPECT_EQ (take_up (*router, streams), streams.size ());
}

// As above, when the one that tells it has been told during the outage itself,
// and all are killed before it ends.
TEST_F (UnknownBase, StreamsOfRestartsInTurnAreNotTakenForOthers)
{
  wait_for_base ();
  let_new_version_join ();
  store.silent = true;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  restart (*other);
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  restart (*router);
  std::vector<Stream> streams = begin (*router, 16, 2400);
  EXPECT_GE (streams.size (), 8U);
  kill_all ();
  store.silent = false;
  restart_all ();
  EXPECT_EQ (take_up (*other, streams), streams.size ());
}

// With few engines of the first version events of both pass, and what is not
// recorded is refused.
TEST_F (UnknownBase, StreamsBeginWhereFewEnginesHaveTheBase)
{
  wait_for_base ();
  let_new_version_join ();
  let_more_join ();
  store.silent = true;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  restart (*other);
  std::vector<Stream> streams = begin (*other, 16, 2400);
  EXPECT_EQ (streams.size (), 16U);
  other->signal (SIGKILL);
  store.silent = false;
  take_up (*router, streams);
}

// The others took them for streams of the first version as soon as that had
// half of the engines again.
TEST_F (UnknownBase, StreamsBegunWhileFewHadTheBaseStayUnknown)
{
  wait_for_base ();
  let_new_version_join ();
  let_more_join ();
  store.silent = true;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  std::vector<Stream> streams = begin (*router, 16, 2400);
  EXPECT_EQ (streams.size (), 16U);
  router->signal (SIGKILL);
  let_more_leave ();
  store.silent = false;
  // The store's answer to the watch that was silent comes late.
  EXPECT_TRUE (Router::eventually (
      [this] {
        return other->log ().find ("CS1408 target=i-12") != std::string::npos;
      },
      8000));
  take_up (*other, streams);
}

// No router had read which version is the base.  Events that passed were taken
// for those of the base by the next ones that had.
TEST_F (UnknownBase, NothingPassesUnrecordedWhereNoRouterHasReadTheBase)
{
  wait_for_base ();
  let_new_version_join ();
  kill_all ();
  store.refused_kind = "streams";
  restart_all ();
  std::vector<Stream> streams = begin (*other, 16, 2400);
  kill_all ();
  store.refused_kind = "";
  restart_all ();
  EXPECT_EQ (take_up (*router, streams), streams.size ());
}

}
