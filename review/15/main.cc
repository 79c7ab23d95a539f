// A part of prompts crashes each server that begins to write an answer on it.
// It is the 17th part of its prompts, as in a chat of some turns.

#include "engines.h"

using namespace review;

namespace
{

constexpr int CONTACT_MS = 3000;
constexpr int SHARED_PARTS = 16;
constexpr int MAX_AFTER = 3;
const char *const POISON = "bad0bad0";

std::string
prompt (bool is_poisoned, int number)
{
  std::string parts;
  for (int i = 0; i < SHARED_PARTS; i++)
    parts += "c0ffee" + std::to_string (10 + i) + ":40,";
  if (is_poisoned)
    parts += std::string (POISON) + ":40,";
  return "X-Model: m\r\nX-Token-Usage: 900,40\r\nX-Prompt-Prefix: " + parts
         + "e" + std::to_string (100000 + number) + ":30\r\n";
}

}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_NOT_RUN;
  Record record (argv[1]);
  Folder folder;
  Store store;
  std::atomic<int64_t> fifth_ms{ 0 };
  std::atomic<int> reached{ 0 };
  std::atomic<int> reached_after{ 0 };
  std::atomic<int> sound{ 0 };
  std::atomic<int> sound_cut{ 0 };
  std::atomic<int> number{ 0 };
  Engines *pool = nullptr;
  auto answer = [&] (wire::Socket &socket, const wire::Message &message,
                     Target &engine) {
    std::string id = message.field ("x-request-id");
    bool is_poisoned
        = message.field ("x-prompt-prefix").find (POISON) != std::string::npos;
    if (!is_poisoned)
      return Target::stream (10, 0, 20) (socket, message);
    reached++;
    bool is_after = fifth_ms != 0 && record.now () > fifth_ms + CONTACT_MS;
    if (is_after)
      reached_after++;
    record.line ("request %s with the part reaches server %s%s", id.c_str (),
                 engine.id ().c_str (),
                 is_after ? ", later than contact_ms after the fifth crash"
                          : "");
    if (!has_trouble ())
      return Target::stream (10, 0, 20) (socket, message);
    sleep_ms (20);
    socket.send (Target::signed_head (message, "200 OK",
                                      "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"));
    pool->crash (engine);
    if (pool->crashes >= 5 && fifth_ms == 0)
      fifth_ms = record.now ();
    return false;
  };
  store.put (
      "config", "main",
      "{\"version\":1,\"routes\":[{\"name\":\"ask\",\"host\":\"h.example\","
      "\"path_prefix\":\"/ask/\",\"kind\":\"streaming\",\"service\":\"pool\","
      "\"target_latency_ms\":600,\"target_gap_ms\":300,\"max_attempts\":1,"
      "\"timeout_ms\":10000,\"session_affinity\":true}],\"services\":[{"
      "\"name\":\"pool\",\"health_path\":\"/h\",\"engine\":{\"slots\":64}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
      "\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}");
  Engines engines (store, record, "pool", answer);
  pool = &engines;
  for (int i = 0; i < 12; i++)
    engines.add ("v1", i % 2 == 0 ? "a" : "b");
  Router r1 (folder.path (), "r1", "a", store.address ());
  Router r2 (folder.path (), "r2", "b", store.address ());
  if (!r1.wait_ready (10000) || !r2.wait_ready (10000))
    return EXIT_NOT_RUN;
  sleep_ms (6000);
  auto ask = [&] (const Router &router, bool is_poisoned) {
    std::string id = "q" + std::to_string (++number);
    wire::Socket socket (wire::Socket::connect_to (router.callers ()));
    socket.send (request_text ("POST", "/ask/x", id,
                               prompt (is_poisoned, number), "b" + id, 10000));
    wire::Message response = socket.read (10000);
    size_t events = events_of (response.body).size ();
    record.line ("request %s%s at %s: status %d, %zu events, %s", id.c_str (),
                 is_poisoned ? " with the part" : "", router.name ().c_str (),
                 response.status (), events,
                 response.is_complete ? "complete" : "cut");
    if (is_poisoned)
      return;
    sound++;
    if (!response.is_complete && response.status () == 200)
      sound_cut++;
  };
  std::atomic<bool> stopping{ false };
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; i++)
    callers.emplace_back ([&, i] {
      while (!stopping)
        {
          ask (i % 2 == 0 ? r1 : r2, false);
          sleep_ms (50);
        }
    });
  for (int i = 0; i < 40; i++)
    {
      ask (i % 2 == 0 ? r1 : r2, true);
      sleep_ms (450);
    }
  stopping = true;
  for (auto &caller : callers)
    caller.join ();
  record.line ("requests with the part that reached servers: %d, of these "
               "later than contact_ms after the fifth crash: %d (at most %d); "
               "crashes: %d; sound requests: %d, of these cut off: %d",
               reached.load (), reached_after.load (), MAX_AFTER,
               engines.crashes.load (), sound.load (), sound_cut.load ());
  return has_trouble () && reached_after > MAX_AFTER ? EXIT_BROKEN : EXIT_HELD;
}
