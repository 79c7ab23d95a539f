// A router stands still while engines of a newer version join and become more
// than half.  Its streams are taken up at another router, which is in touch;
// two engines of their version serve.

#include "versions.h"

using namespace review;

namespace
{

constexpr int DEADLINE_MS = 12000;
constexpr int PATIENCE_MS = 2400;
constexpr int STREAMS = 16;

}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_NOT_RUN;
  Record record (argv[1]);
  Folder folder;
  Store store;
  std::map<std::string, std::string> version_of;
  std::mutex mutex;
  auto answer = [&] (wire::Socket &socket, const wire::Message &message,
                     Target &engine) {
    std::string version;
    {
      std::lock_guard<std::mutex> lock (mutex);
      version = version_of[engine.id ()];
    }
    record.line ("server %s of version %s runs %s, after event '%s' of %s",
                 engine.id ().c_str (), version.c_str (),
                 message.field ("x-request-id").c_str (),
                 message.field ("last-event-id").c_str (),
                 message.field ("resumes").c_str ());
    return send_stream (socket, message, version, 100, 50);
  };
  store.put ("config", "main", chat_config ());
  Engines engines (store, record, "pool", answer);
  auto add = [&] (const std::string &version, const std::string &zone) {
    std::lock_guard<std::mutex> lock (mutex);
    std::string id = engines.add (version, zone);
    version_of[id] = version;
    return id;
  };
  std::vector<std::string> old;
  for (int i = 0; i < 4; i++)
    old.push_back (add ("v1", i % 2 == 0 ? "a" : "b"));
  Router r1 (folder.path (), "r1", "a", store.address ());
  Router r2 (folder.path (), "r2", "b", store.address ());
  if (!r1.wait_ready (10000) || !r2.wait_ready (10000))
    return EXIT_NOT_RUN;
  sleep_ms (8000);
  std::vector<Stream> streams (STREAMS);
  std::vector<Stream> fresh (STREAMS);
  std::vector<std::thread> callers;
  for (int i = 0; i < STREAMS; i++)
    callers.emplace_back ([&, i] {
      Stream &stream = streams[i];
      int64_t until_ms = wire::now_ms () + DEADLINE_MS;
      stream.first_id = "q" + std::to_string (i);
      ask_stream (r2.callers (), stream, stream.first_id, until_ms,
                  PATIENCE_MS);
      if (stream.is_complete)
        return;
      size_t before = stream.events.size ();
      ask_stream (r1.callers (), stream, stream.first_id + "-again", until_ms,
                  PATIENCE_MS);
      record.line (
          "stream %s is taken up after event %zu: status %d, %zu more "
          "events",
          stream.first_id.c_str (), before, stream.last_status,
          stream.events.size () - before);
    });
  sleep_ms (1000);
  if (has_trouble ())
    {
      record.line ("router r2 stands still");
      r2.signal (SIGSTOP);
    }
  record.line ("an engine is added");
  add ("v2", "a");
  record.line ("a release begins");
  for (int i = 0; i < 2; i++)
    {
      add ("v2", i % 2 == 0 ? "a" : "b");
      sleep_ms (100);
      store.remove ("servers", old[i]);
      record.line ("the entry of server %s is removed", old[i].c_str ());
      sleep_ms (680);
    }
  sleep_ms (1000);
  for (int i = 0; i < STREAMS; i++)
    callers.emplace_back ([&, i] {
      Stream &stream = fresh[i];
      stream.first_id = "n" + std::to_string (i);
      ask_stream (r1.callers (), stream, stream.first_id,
                  wire::now_ms () + DEADLINE_MS, PATIENCE_MS);
    });
  if (has_trouble ())
    {
      sleep_ms (4000 - 2560);
      r2.signal (SIGCONT);
      record.line ("router r2 goes on");
    }
  for (auto &caller : callers)
    caller.join ();
  int taken_up = 0;
  int went_on = 0;
  int begun = 0;
  for (auto &stream : streams)
    {
      taken_up += stream.takeups > 0;
      went_on += stream.takeups > 0 && stream.is_complete;
      record.line ("stream %s: %zu events, taken up %d times, last status %d, "
                   "%s",
                   stream.first_id.c_str (), stream.events.size (),
                   stream.takeups, stream.last_status,
                   stream.is_complete ? "complete" : "not complete");
    }
  for (auto &stream : fresh)
    begun += !stream.events.empty ();
  record.line (
      "streams taken up: %d, of these gone on: %d; new streams at the "
      "same router: %d, of these begun: %d",
      taken_up, went_on, STREAMS, begun);
  printf ("streams taken up: %d, gone on: %d; new: %d, begun: %d\n", taken_up,
          went_on, STREAMS, begun);
  if (!has_trouble ())
    return taken_up == 0 && begun == STREAMS ? EXIT_HELD : EXIT_NOT_RUN;
  if (taken_up < 12)
    return EXIT_NOT_RUN;
  return 2 * went_on * STREAMS < begun * taken_up ? EXIT_BROKEN : EXIT_HELD;
}
