// Engines of several software versions in one service: a stream goes on only
// at the version that began it.

#include "fixture.h"

namespace
{

// Engine i-1 is of version v1, i-2 of v2; two routers.
class Versions : public RouterTest
{
protected:
  void
  SetUp () override
  {
    RouterTest::SetUp ();
    store.put ("servers", "i-2",
               second_engine.entry ("engines", "ready", "v2"));
    set_engine_scripts (Target::stream (160, 0, 25));
    other
        = std::make_unique<Router> ("r2", store.address (), extra_settings ());
    ASSERT_TRUE (Router::eventually ([this] { return other->is_ready (); }));
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
  }

  std::string
  extra_settings () override
  {
    return "[retry]\nratio = 0.2\nslack = 100\n[peer]\ndirectory_s = 1\n";
  }

  // A stream that was begun, and whose first events have arrived.
  struct Stream
  {
    std::string id;
    Target *begun_at;
    std::unique_ptr<wire::Socket> socket;
  };

  Target *
  target_of (const std::string &id)
  {
    for (Target *target : { &engine, &second_engine })
      for (const auto &message : target->requests ())
        if (message.field ("x-request-id") == id)
          return target;
    return nullptr;
  }

  Stream
  begin (Router &at)
  {
    std::string text = request ("POST", "/chat/x");
    Stream stream;
    stream.id = "q" + std::to_string (last_request_number);
    stream.socket = std::make_unique<wire::Socket> (
        wire::Socket::connect_to (at.callers ()));
    stream.socket->send (text);
    while (stream.socket->buffered ().find ("token 2") == std::string::npos
           && stream.socket->fill (3000))
      ;
    stream.begun_at = target_of (stream.id);
    EXPECT_NE (stream.begun_at, nullptr);
    return stream;
  }

  std::vector<Stream>
  begin_many (Router &at, int count)
  {
    std::vector<Stream> streams;
    for (int i = 0; i < count; i++)
      streams.push_back (begin (at));
    return streams;
  }

  // Takes STREAM up after its second event.
  wire::Message
  take_up (Router &at, const Stream &stream, std::string *id = nullptr)
  {
    std::string text
        = request ("POST", "/chat/x",
                   "Last-Event-Id: 2\r\nResumes: " + stream.id + "\r\n");
    if (id != nullptr)
      *id = "q" + std::to_string (last_request_number);
    wire::Socket socket (wire::Socket::connect_to (at.callers ()));
    socket.send (text);
    return socket.read (8000);
  }

  // Takes STREAMS up; expects at least SHARE of them to go on, and each one
  // that does at the version that began it.
  void
  expect_no_mixture (Router &at, std::vector<Stream> &streams, double share)
  {
    std::vector<wire::Message> responses (streams.size ());
    std::vector<std::string> ids (streams.size ());
    size_t gone_on = 0;
    set_engine_scripts (Target::stream (6));
    for (size_t i = 0; i < streams.size (); i++)
      {
        streams[i].socket->reset ();
        responses[i] = take_up (at, streams[i], &ids[i]);
        Target *went_on_at = target_of (ids[i]);
        if (went_on_at == nullptr)
          EXPECT_EQ (responses[i].status (), 503);
        else
          EXPECT_EQ (went_on_at->id (), streams[i].begun_at->id ());
        gone_on += responses[i].status () == 200;
      }
    EXPECT_GE (gone_on, share * streams.size ());
  }

  void
  restart_all ()
  {
    router->signal (SIGKILL);
    other->signal (SIGKILL);
    router->restart ();
    other->restart ();
    ASSERT_TRUE (Router::eventually (
        [this] { return router->is_ready () && other->is_ready (); }));
  }

  std::unique_ptr<Router> other;
};

// Callers got the first part of a text from one version, the rest from
// another.
TEST_F (Versions, StreamIsTakenUpAtTheVersionThatBeganIt)
{
  auto streams = begin_many (*router, 12);
  expect_no_mixture (*router, streams, 1);
}

// As above, through another router than the one that knows the stream.
TEST_F (Versions, AnotherRouterTakesAStreamUpAtItsVersion)
{
  auto streams = begin_many (*router, 12);
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  expect_no_mixture (*other, streams, 1);
}

// As above, when every router that knew the stream has been killed.
TEST_F (Versions, StreamsKeepTheirVersionWhenAllRoutersAreKilled)
{
  auto streams = begin_many (*router, 12);
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  restart_all ();
  expect_no_mixture (*other, streams, 1);
}

// Streams whose version was not saved yet when all routers were killed were
// refused, again and again: their first events wait until it is.
TEST_F (Versions, StreamsKeepTheirVersionFromTheirFirstEvent)
{
  for (int round = 0; round < 4; round++)
    {
      set_engine_scripts (Target::stream (160, 0, 25));
      auto streams = begin_many (round % 2 == 0 ? *router : *other, 3);
      restart_all ();
      expect_no_mixture (*router, streams, 1);
    }
}

// One router saves for its data centre, eight times a second at most.
TEST_F (Versions, SavingCostsFewCalls)
{
  wait_for_directory ();
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  int before = store.calls;
  int64_t began_at = wire::now_ms ();
  std::vector<Stream> streams;
  while (wire::now_ms () < began_at + 2000)
    for (Router *one : { router.get (), other.get () })
      streams.push_back (begin (*one));
  // Up to 16 saves, and 12 calls that are made without any stream.
  EXPECT_LE (store.calls - before, 28);
  EXPECT_GT (streams.size (), 10U);
}

// A store that does not respond must not keep events from callers.
TEST_F (Versions, StreamsBeginWhileTheStoreIsSilent)
{
  store.silent = true;
  for (Router *one : { router.get (), other.get () })
    {
      int64_t began_at = wire::now_ms ();
      begin (*one);
      EXPECT_LT (wire::now_ms () - began_at, 600);
    }
}

// As above, when all routers are killed twice in a row.
TEST_F (Versions, TakenUpStreamsKeepTheirVersionWhenAllRoutersAreKilledAgain)
{
  auto streams = begin_many (*router, 8);
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  restart_all ();
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  restart_all ();
  expect_no_mixture (*router, streams, 1);
}

// The engines of the old version have just left when all routers are killed: a
// text of theirs went on at the new version.
TEST_F (Versions, StreamOfAVersionThatHasLeftIsRefused)
{
  auto streams = begin_many (*router, 8);
  std::this_thread::sleep_for (std::chrono::milliseconds (600));
  store.remove ("servers", "i-1");
  std::this_thread::sleep_for (std::chrono::milliseconds (200));
  restart_all ();
  size_t before = second_engine.count ();
  size_t of_second = 0;
  for (auto &stream : streams)
    of_second += stream.begun_at == &second_engine;
  expect_no_mixture (*other, streams, 0);
  EXPECT_EQ (second_engine.count () - before, of_second);
}

// Streams that no router has recorded: they began before there were two
// versions, and nobody knows of them when all routers are killed.
TEST_F (Versions, UnrecordedStreamIsRefusedWhileAnotherVersionMayHaveBegunIt)
{
  Stream stranger = begin (*router);
  stranger.socket->reset ();
  // The second take-up must not profit from the first one's record.
  for (const char *id : { "stranger", "", "" })
    {
      stranger.id = id;
      EXPECT_EQ (take_up (*other, stranger).status (), 503);
    }
  stranger.id = "stranger";
  store.remove ("servers", "i-1");
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  restart_all ();
  wire::Message refusal = take_up (*other, stranger);
  EXPECT_EQ (refusal.status (), 503);
  EXPECT_NE (refusal.field ("retry-after"), "");
}

// Breaks a new stream off after its fifth event; streams the rest of one that
// is taken up.
Target::Script
break_off_once ()
{
  return [] (wire::Socket &socket, const wire::Message &request) {
    bool is_new = request.field ("last-event-id").empty ();
    return Target::stream (20, is_new ? 5 : 0) (socket, request);
  };
}

// A router that resumed a broken stream itself chose any engine for the rest.
TEST_F (Versions, BrokenStreamIsNotResumedInTheAnswerAtAnotherVersion)
{
  set_engine_scripts (break_off_once ());
  wait_for_directory ();
  for (int i = 0; i < 6; i++)
    {
      wire::Message broken = send_request (request ("POST", "/chat/x"));
      EXPECT_FALSE (broken.is_complete);
      EXPECT_NE (broken.body.find ("token 5"), std::string::npos);
      EXPECT_EQ (broken.body.find ("token 6"), std::string::npos);
    }
  EXPECT_EQ (router->counter ("streams_resumed"), 0);
}

// The same stream goes on where a second engine of its version serves.
TEST_F (Versions, BrokenStreamIsResumedInTheAnswerAtItsOwnVersion)
{
  Target third ("i-4");
  Target fourth ("i-5");
  store.put ("servers", "i-4", third.entry ("engines", "ready", "v1"));
  store.put ("servers", "i-5", fourth.entry ("engines", "ready", "v2"));
  for (Target *target : { &engine, &second_engine, &third, &fourth })
    target->set (break_off_once ());
  wait_for_directory ();
  for (int i = 0; i < 6; i++)
    {
      size_t before = engine.count () + third.count ();
      wire::Message response = send_request (request ("POST", "/chat/x"));
      EXPECT_TRUE (response.is_complete);
      EXPECT_NE ((engine.count () + third.count () - before) % 2, 1U)
          << "one part from each version";
    }
}

// While one version alone serves, a stream goes on though nobody knows it, and
// that costs next to no call to the store.
TEST_F (Versions, StreamsOfASingleVersionGoOnAfterAllRoutersWereKilled)
{
  Store single;
  single.put ("config", "main", config (1));
  single.put ("servers", "i-1", engine.entry ("engines"));
  Router first ("r8", single.address (), extra_settings ());
  ASSERT_TRUE (Router::eventually ([&] { return first.is_ready (); }));
  std::this_thread::sleep_for (std::chrono::milliseconds (1500));
  Stream stream = begin (first);
  int before = single.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  EXPECT_LE (single.calls - before, 4);
  first.restart ();
  ASSERT_TRUE (Router::eventually ([&] { return first.is_ready (); }));
  engine.set (Target::stream (6));
  EXPECT_EQ (take_up (first, stream).status (), 200);
}

}
