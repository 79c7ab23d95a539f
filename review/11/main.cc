// A write of a router to the store gets no response and is executed seconds
// later, after the write that repeated it.

#include "versions.h"

using namespace review;

namespace
{

constexpr int DEADLINE_MS = 12000;
constexpr int PATIENCE_MS = 2400;
constexpr int STREAMS = 24;
constexpr int EARLIER = 4;
constexpr int MAX_RETRIES = 3;
constexpr size_t MAX_MIXED = 2;
constexpr int LATE_MS = 3000;

// Passes calls to the store on.  A write that it keeps gets no response and
// reaches the store LATE_MS later.
class LateLink
{
public:
  LateLink (int store_port, Record &record)
      : store_port_ (store_port), record_ (record),
        server_ ([this] (wire::Socket &socket) { serve (socket); })
  {
  }

  ~LateLink () { server_.stop (); }

  std::string
  address () const
  {
    return server_.address ();
  }

  // The next write of streams is kept.
  std::atomic<bool> keeps_next{ false };
  std::atomic<bool> is_delivered{ false };

private:
  static std::string
  text_of (const wire::Message &message)
  {
    std::string text = message.start_line + "\r\n";
    for (auto &field : message.fields)
      text += field.first + ": " + field.second + "\r\n";
    return text + "\r\n" + message.body;
  }

  void
  deliver_late (const std::string &text)
  {
    sleep_ms (LATE_MS);
    wire::Socket store (wire::Socket::connect_to (store_port_));
    store.send (text);
    int status = store.read (2000).status ();
    record_.line ("the write that was kept is executed by the store: %d",
                  status);
    is_delivered = true;
  }

  void
  serve (wire::Socket &socket)
  {
    wire::Socket store (wire::Socket::connect_to (store_port_));
    while (!server_.is_stopping ())
      {
        wire::Message call = socket.read (100000);
        if (!call.is_complete)
          return;
        if (call.start_line.find ("PUT /-/objects/streams/router-") == 0)
          {
            record_.line ("router r2 writes its streams%s",
                          keeps_next ? "; the write is kept" : "");
            if (keeps_next.exchange (false))
              {
                deliver_late (text_of (call));
                return;
              }
          }
        if (!store.send (text_of (call)))
          return;
        wire::Message response = store.read (40000);
        if (!response.is_complete || !socket.send (text_of (response)))
          return;
      }
  }

  int store_port_;
  Record &record_;
  wire::Server server_;
};

}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_NOT_RUN;
  Record record (argv[1]);
  Folder folder;
  Store store;
  LateLink link (store.port (), record);
  std::map<std::string, std::string> version_of;
  std::mutex mutex;
  auto answer = [&] (wire::Socket &socket, const wire::Message &message,
                     Target &engine) {
    std::string version;
    {
      std::lock_guard<std::mutex> lock (mutex);
      version = version_of[engine.id ()];
    }
    std::string id = message.field ("x-request-id");
    record.line ("server %s of version %s runs %s, after event '%s' of %s",
                 engine.id ().c_str (), version.c_str (), id.c_str (),
                 message.field ("last-event-id").c_str (),
                 message.field ("resumes").c_str ());
    return send_stream (socket, message, version,
                        id.find ("earlier") == 0 ? 10 : 100, 50);
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
  Router r2 (folder.path (), "r2", "b", link.address ());
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
  for (int i = 0; i < EARLIER; i++)
    {
      Stream earlier;
      earlier.first_id = "earlier" + std::to_string (i);
      ask_stream (r2.callers (), earlier, earlier.first_id,
                  wire::now_ms () + DEADLINE_MS, PATIENCE_MS);
    }
  sleep_ms (500);
  link.keeps_next = has_trouble ();
  std::vector<Stream> streams (STREAMS);
  std::vector<std::thread> callers;
  for (int i = 0; i < STREAMS; i++)
    {
      callers.emplace_back ([&, i] {
        Stream &stream = streams[i];
        int64_t until_ms = wire::now_ms () + DEADLINE_MS;
        stream.first_id = "q" + std::to_string (i);
        stream.shared_part
            = "a" + std::to_string (i % 10) + std::to_string (i);
        ask_stream (r2.callers (), stream, stream.first_id, until_ms,
                    PATIENCE_MS);
        for (int retry = 1; retry <= MAX_RETRIES && !stream.is_complete;
             retry++)
          {
            double pause_s
                = ask_stream (r1.callers (), stream,
                              stream.first_id + "-" + std::to_string (retry),
                              until_ms, PATIENCE_MS);
            sleep_ms (static_cast<int64_t> (pause_s * 1000));
          }
      });
      // The first write is on its way before the other streams begin.
      if (i == 0)
        sleep_ms (200);
    }
  sleep_ms (LATE_MS + 300);
  bool was_kept = link.is_delivered;
  if (has_trouble ())
    {
      record.line ("router r2 is killed");
      r2.stop (SIGKILL);
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
  if (has_trouble () && !was_kept)
    return EXIT_NOT_RUN;
  return mixed > MAX_MIXED ? EXIT_BROKEN : EXIT_HELD;
}
