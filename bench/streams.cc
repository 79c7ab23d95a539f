// cranberrystile-streams: measures the processor time per event and the memory
// per stream of a router process.  Callers and engines are threads of this
// program.
//
// Prints one line with both results, and a "check" line for each limit.

#include <cstdio>

#include "../tests/router/documents.h"
#include "../tests/router/router_process.h"
#include "../tests/router/stand_ins.h"

namespace
{

const int kStreams = 400;
const int kTokenIntervalMs = 33; // the interval between tokens to support
const int kMeasuredMs = 5000;
const int kEvents = 100000; // more than a stream sends during the measurement
// Limits for the event-driven router.
const double kMaxEventUs = 15;
const double kMaxStreamKb = 8;

struct Usage
{
  double cpu_us;
  double memory_kb; // resident, excluding shared pages
};

Usage
read_usage (pid_t pid)
{
  std::ifstream stat ("/proc/" + std::to_string (pid) + "/stat");
  std::ifstream memory ("/proc/" + std::to_string (pid) + "/statm");
  std::string word;
  long user = 0;
  long system = 0;
  long size = 0;
  long resident = 0;
  long shared = 0;
  for (int field = 1; field <= 13; field++)
    stat >> word;
  stat >> user >> system;
  memory >> size >> resident >> shared;
  return { (double)(user + system) * 1e6 / sysconf (_SC_CLK_TCK),
           (double)(resident - shared) * sysconf (_SC_PAGESIZE) / 1024 };
}

std::string
stream_request (int number)
{
  return "POST /talk/x HTTP/1.1\r\nHost: h.example\r\nX-Key: k1\r\n"
         "X-Deadline: 60000\r\nX-Request-Id: s"
         + std::to_string (number) + "\r\nContent-Length: 1\r\n\r\nb";
}

// Reads a stream until STOPPING is set, and counts its events.
void
read_stream (int port, int number, std::atomic<long> &events,
             std::atomic<int> &open, std::atomic<bool> &stopping)
{
  wire::Socket socket (wire::Socket::connect_to (port));
  bool counted = false;
  socket.send (stream_request (number));
  while (!stopping)
    {
      size_t before = socket.buffered ().size ();
      if (!socket.fill (100))
        continue;
      for (size_t at = before; at < socket.buffered ().size (); at++)
        events += socket.buffered ()[at] == 'k'; // one k in each "token"
      if (!counted)
        open++;
      counted = true;
      socket.drop_buffered ();
    }
}

}

int
main ()
{
  Store store;
  std::vector<std::unique_ptr<Target>> engines;
  std::atomic<long> events{ 0 };
  std::atomic<int> open{ 0 };
  std::atomic<bool> stopping{ false };
  std::vector<std::thread> callers;
  signal (SIGPIPE, SIG_IGN);
  /* The streams run longer than the default timeout of the test routes.  */
  store.put ("config", "main",
             document::config (1, "acme", "", "\"timeout_ms\":60000"));
  for (int i = 0; i < 4; i++)
    {
      engines.push_back (std::make_unique<Target> ("i-" + std::to_string (i)));
      engines.back ()->set (Target::stream (kEvents, 0, kTokenIntervalMs));
      store.put ("servers", engines.back ()->id (),
                 engines.back ()->entry ("engines"));
    }
  Router router ("r1", store.address ());
  if (!Router::eventually ([&] { return router.is_ready (); }))
    return 1;
  Usage idle = read_usage (router.pid ());
  for (int i = 0; i < kStreams; i++)
    callers.emplace_back ([&, i] {
      read_stream (router.callers (), i, events, open, stopping);
    });
  bool all_open = Router::eventually ([&] { return open == kStreams; }, 10000);
  std::this_thread::sleep_for (std::chrono::milliseconds (1000));
  Usage from = read_usage (router.pid ());
  long counted_from = events;
  std::this_thread::sleep_for (std::chrono::milliseconds (kMeasuredMs));
  Usage to = read_usage (router.pid ());
  long counted = events - counted_from;
  double event_us = counted == 0 ? 0 : (to.cpu_us - from.cpu_us) / counted;
  double stream_kb = (to.memory_kb - idle.memory_kb) / kStreams;
  printf ("router, %d of %d streams: %ld events, %.1f us an event, %.1f KB a "
          "stream\n",
          open.load (), kStreams, counted, event_us, stream_kb);
  bool event_ok = all_open && counted > 0 && event_us <= kMaxEventUs;
  bool stream_ok = all_open && stream_kb <= kMaxStreamKb;
  printf ("check router-event-us %s\n", event_ok ? "pass" : "fail");
  printf ("check router-stream-kb %s\n", stream_ok ? "pass" : "fail");
  fflush (stdout);
  stopping = true;
  for (auto &caller : callers)
    caller.join ();
  return event_ok && stream_ok ? 0 : 1;
}
