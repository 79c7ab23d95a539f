// A router restarts while the store is down, and is lost before the store is
// back.  Its streams of the newer version are taken up at another router.

#include "versions.h"

using namespace review;

namespace
{

constexpr int DEADLINE_MS = 12000;
constexpr int PATIENCE_MS = 2400;
constexpr int STREAMS = 24;
constexpr int MAX_RETRIES = 3;
constexpr size_t MAX_MIXED = 2;

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
    version_of[engines.add (version, zone)] = version;
  };
  for (int i = 0; i < 6; i++)
    add ("v1", i % 2 == 0 ? "a" : "b");
  Router r1 (folder.path (), "r1", "a", store.address ());
  Router r2 (folder.path (), "r2", "b", store.address ());
  if (!r1.wait_ready (10000) || !r2.wait_ready (10000))
    return EXIT_NOT_RUN;
  sleep_ms (8000);
  record.line ("a release begins");
  for (int i = 0; i < 4; i++)
    {
      add ("v2", i % 2 == 0 ? "a" : "b");
      sleep_ms (800);
    }
  sleep_ms (1500);
  if (has_trouble ())
    {
      record.line ("the store is down");
      store.silent = true;
      sleep_ms (1000);
      record.line ("router r2 is killed");
      r2.stop (SIGKILL);
      sleep_ms (500);
      record.line ("router r2 starts again");
      r2.start ();
      if (!r2.wait_ready (4000))
        return EXIT_NOT_RUN;
      record.line ("router r2 is ready");
    }
  std::vector<Stream> streams (STREAMS);
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
      for (int retry = 1; retry <= MAX_RETRIES && !stream.is_complete; retry++)
        {
          double pause_s
              = ask_stream (r1.callers (), stream,
                            stream.first_id + "-" + std::to_string (retry),
                            until_ms, PATIENCE_MS);
          sleep_ms (static_cast<int64_t> (pause_s * 1000));
        }
    });
  sleep_ms (1500);
  if (has_trouble ())
    {
      record.line ("router r2 is killed");
      r2.stop (SIGKILL);
      sleep_ms (500);
      record.line ("the store is back");
      store.silent = false;
    }
  for (auto &caller : callers)
    caller.join ();
  size_t mixed = 0;
  for (auto &stream : streams)
    {
      std::string versions;
      for (auto &version : stream.versions ())
        versions += " " + version;
      mixed += stream.versions ().size () > 1;
      record.line ("stream %s: %zu events of versions%s, taken up %d times, "
                   "last status %d, %s",
                   stream.first_id.c_str (), stream.events.size (),
                   versions.c_str (), stream.takeups, stream.last_status,
                   stream.is_complete ? "complete" : "not complete");
    }
  record.line ("streams with events of two versions: %zu (at most %zu)", mixed,
               MAX_MIXED);
  printf ("streams with events of two versions: %zu of %d\n", mixed, STREAMS);
  return mixed > MAX_MIXED ? EXIT_BROKEN : EXIT_HELD;
}
