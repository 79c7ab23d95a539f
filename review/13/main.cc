// Another writer has left entries with long names in the list of servers.  All
// routers are killed and start again.

#include "engines.h"

using namespace review;

namespace
{

constexpr int ENTRIES = 520;
constexpr size_t PAGE = 500;
constexpr int RECOVERY_MS = 12000;
constexpr int REQUESTS = 40;

}

int
main (int argc, char **argv)
{
  if (argc != 2)
    return EXIT_NOT_RUN;
  Record record (argv[1]);
  Folder folder;
  Store store;
  store.page_size = PAGE;
  auto answer = [&] (wire::Socket &socket, const wire::Message &message,
                     Target &engine) {
    record.line ("request %s reaches server %s",
                 message.field ("x-request-id").c_str (),
                 engine.id ().c_str ());
    return Target::respond_with ("done") (socket, message);
  };
  store.put (
      "config", "main",
      "{\"version\":1,\"routes\":[{\"name\":\"read\",\"host\":\"h.example\","
      "\"path_prefix\":\"/read/\",\"kind\":\"safe\",\"service\":\"desk\","
      "\"target_latency_ms\":300,\"max_attempts\":2,\"timeout_ms\":2000}],"
      "\"services\":[{\"name\":\"desk\",\"health_path\":\"/h\"}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
      "\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}");
  Engines engines (store, record, "desk", answer);
  for (int i = 0; i < 3; i++)
    engines.add ("v1", i % 2 == 0 ? "a" : "b");
  Router r1 (folder.path (), "r1", "a", store.address ());
  Router r2 (folder.path (), "r2", "b", store.address ());
  if (!r1.wait_ready (10000) || !r2.wait_ready (10000))
    return EXIT_NOT_RUN;
  sleep_ms (3000);
  int number = 0;
  // Returns how many of the requests are served.
  auto serve = [&] {
    int served = 0;
    for (int i = 0; i < REQUESTS; i++)
      {
        const Router &router = i % 2 == 0 ? r1 : r2;
        std::string id = "q" + std::to_string (++number);
        wire::Socket socket (wire::Socket::connect_to (router.callers ()));
        socket.send (request_text ("GET", "/read/x", id, "", "", 4000));
        wire::Message response = socket.read (4000);
        record.line ("request %s at %s: status %d", id.c_str (),
                     router.name ().c_str (), response.status ());
        served += response.status () == 200;
        sleep_ms (50);
      }
    return served;
  };
  int before = serve ();
  if (has_trouble ())
    {
      for (int i = 0; i < ENTRIES; i++)
        {
          char number_text[8];
          snprintf (number_text, sizeof number_text, "%04d", i);
          store.put ("servers",
                     std::string ("batch.jobs.warehouse.example-department-of-"
                                  "logistics-north-east-region-two-import-of-"
                                  "shipping-notices-worker-")
                         + number_text,
                     "{\"owner\":\"batch\",\"state\":7}");
        }
      record.line ("another writer has left %d entries", ENTRIES);
    }
  sleep_ms (3000);
  int beside = serve ();
  record.line ("all routers are killed and start again");
  r1.stop (SIGKILL);
  r2.stop (SIGKILL);
  sleep_ms (1000);
  r1.start ();
  r2.start ();
  sleep_ms (RECOVERY_MS);
  int after = serve ();
  sleep_ms (8000);
  int later = serve ();
  record.line ("served: %d of %d before, %d beside the entries, %d later than "
               "recovery_s after the routers are back, %d 10 s later",
               before, REQUESTS, beside, after, later);
  printf ("served: %d before, %d beside, %d after, %d later\n", before, beside,
          after, later);
  if (before < REQUESTS / 4)
    return EXIT_NOT_RUN;
  return after < REQUESTS / 4 ? EXIT_BROKEN : EXIT_HELD;
}
