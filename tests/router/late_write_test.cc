// Writes to the store that get no response and are executed seconds later.

#include "two_versions.h"

namespace
{

class LateWrite : public TwoVersions
{
protected:
  static constexpr const char *own_objects = "streams/router-";

  void
  let_new_version_join ()
  {
    join_new_version ();
    ASSERT_TRUE (Router::eventually ([this] {
      return router->log ().find ("target=i-9") != std::string::npos
             && other->log ().find ("target=i-9") != std::string::npos;
    }));
  }

  void
  wait_until_kept (int ms)
  {
    ASSERT_TRUE (
        Router::eventually ([this] { return store.has_kept (); }, ms));
  }

  // Kills all routers and takes STREAMS up when they are back.
  void
  expect_known_after_loss_of_all (const std::vector<Stream> &streams)
  {
    restart_all ();
    EXPECT_EQ (take_up (*other, streams), streams.size ());
  }
};

// The older contents replaced those that had been saved since, and streams
// that they lacked went on at the wrong version.
TEST_F (LateWrite, SaveDoesNotUndoALaterOne)
{
  wait_for_base ();
  let_new_version_join ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  store.keep_write ("PUT", own_objects);
  begin (*router, 1, 300);
  wait_until_kept (1000);
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  EXPECT_EQ (store.execute_kept (), 409);
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// As above, where the write is executed before the next one, which has to take
// account of that.
TEST_F (LateWrite, SaveIsFollowedByLaterOnes)
{
  wait_for_base ();
  let_new_version_join ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  store.keep_write ("PUT", own_objects);
  begin (*router, 1, 300);
  wait_until_kept (1000);
  EXPECT_EQ (store.execute_kept (), 200);
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// As above, where responses do not name the revision that the next write has
// to require.
TEST_F (LateWrite, RevisionIsReadWhereResponsesDoNotNameIt)
{
  store.shows_written = false;
  wait_for_base ();
  let_new_version_join ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  store.keep_write ("PUT", own_objects);
  begin (*router, 1, 300);
  wait_until_kept (1000);
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  EXPECT_EQ (store.execute_kept (), 409);
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// As above, for the write that creates the object.
TEST_F (LateWrite, CreationIsFollowedByLaterOnes)
{
  wait_for_base ();
  store.keep_write ("POST", own_objects);
  let_new_version_join ();
  begin (*router, 1, 300);
  wait_until_kept (2000);
  EXPECT_EQ (store.execute_kept (), 200);
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// A restored store gives revisions out again, so that a write of the era
// before may find the revision that it requires.
TEST_F (LateWrite, SaveOfAnEarlierEraDoesNotUndoALaterOne)
{
  wait_for_base ();
  let_new_version_join ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  Store::Copy copy = store.copy ();
  store.keep_write ("PUT", own_objects);
  begin (*router, 1, 300);
  wait_until_kept (1000);
  store.restore (copy);
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.execute_kept (true);
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// A router deletes its object when one version is left.  That deleted what was
// saved after the version had joined again.
TEST_F (LateWrite, RemovalDoesNotUndoALaterSave)
{
  wait_for_base ();
  let_new_version_join ();
  ASSERT_EQ (begin (*router, 4).size (), 4U);
  store.keep_write ("DELETE", own_objects);
  store.remove ("servers", "i-9");
  wait_until_kept (45000);
  let_new_version_join ();
  std::vector<Stream> streams = begin (*router, 12);
  EXPECT_EQ (streams.size (), 12U);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.execute_kept ();
  kill_all ();
  expect_known_after_loss_of_all (streams);
}

// As for a save, for the object that names the versions.
TEST_F (LateWrite, VersionsThatAnEarlierEraUndoesAreWrittenAgain)
{
  Target newest ("i-8");
  auto names = [this] (size_t count) {
    std::string spec = store.spec ("streams", "versions");
    size_t found = 0;
    for (size_t at = 0;
         (at = spec.find ("\"version\":", at)) != std::string::npos; at++)
      found++;
    return found == count;
  };
  wait_for_base ();
  ASSERT_TRUE (names (2)); // one of each service
  Store::Copy copy = store.copy ();
  store.keep_write ("PUT", "streams/versions");
  join_new_version ();
  wait_until_kept (2000);
  store.restore (copy);
  join_new_version ();
  EXPECT_TRUE (Router::eventually ([&] { return names (3); }, 5000));
  store.put ("servers", "i-8", newest.entry ("engines", "ready", "v3"));
  EXPECT_TRUE (Router::eventually ([&] { return names (4); }, 5000));
  store.execute_kept (true);
  EXPECT_TRUE (names (3));
  EXPECT_TRUE (Router::eventually ([&] { return names (4); }, 13000));
}

// The entry of a router that had started again was deleted.
TEST_F (LateWrite, EntryOutlastsTheRemovalByAnEarlierStart)
{
  store.keep_write ("DELETE", "routers/r2");
  other->signal (SIGTERM);
  wait_until_kept (5000);
  other->restart ();
  ASSERT_TRUE (Router::eventually ([this] { return other->is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  store.execute_kept ();
  EXPECT_NE (store.spec ("routers", "r2"), "");
}

}
