// Names that are longer than the router's own.

#include "fixture.h"

namespace
{

// Entries of another writer, whose names differ at their ends only.
class LongNames : public RouterTest, public testing::WithParamInterface<size_t>
{
protected:
  std::string
  extra_settings () override
  {
    return "evacuation_ms = 4000\n" + RouterTest::extra_settings ();
  }

  static bool
  logs (const Router &one, const std::string &text)
  {
    return Router::eventually (
        [&] { return one.log ().find (text) != std::string::npos; }, 5000);
  }

  void
  leave_entries (const std::string &kind, const std::string &spec = "{}")
  {
    for (char end = 'a'; end < 'i'; end++)
      store.put (kind, "i-1" + std::string (GetParam (), 'x') + end, spec);
  }
};

// A router read the first page again and again, and was never ready.
TEST_P (LongNames, AreReadPastInListsOfPages)
{
  for (const char *kind : { "config", "servers", "routers", "streams",
                            "blockedparts", "evacuations" })
    leave_entries (kind);
  store.put ("blockedparts", "zz", "{}");
  store.page_size = 3;
  Router late ("r2", store.address (), extra_settings ());
  router->signal (SIGKILL);
  ASSERT_TRUE (Router::eventually ([&] { return late.is_ready (); }, 8000));
  EXPECT_TRUE (logs (late, "CS1407 target=i-2 "));
  wire::Socket caller (wire::Socket::connect_to (late.callers ()));
  caller.send (request ("GET", "/safe/x"));
  EXPECT_EQ (caller.read ().status (), 200);
  // All lists have ended: the router reads the directory with each second, and
  // makes few other calls.
  EXPECT_TRUE (Router::eventually (
      [&] { return late.counter ("directory_lists") >= 2; }, 5000));
  int before = store.calls;
  std::this_thread::sleep_for (std::chrono::milliseconds (2000));
  EXPECT_LE (store.calls - before, 20);
}

INSTANTIATE_TEST_SUITE_P (Bytes, LongNames, testing::Values (110, 400, 9000));

class LongName : public RouterTest
{
protected:
  // Lets a target ID of SERVICE join, and sends requests for it.  Returns how
  // many are answered.
  int
  serve (const std::string &id, const std::string &service)
  {
    std::string name = "long";
    std::string text = config (2, "," + route (name, "safe", service, ""));
    std::string services = "\"services\":[";
    text.insert (text.find (services) + services.size (),
                 "{\"name\":\"" + service + "\",\"health_path\":\"/h\"},");
    store.put ("config", "main", text);
    store.put ("servers", id, engine.entry (service));
    Router::eventually (
        [&] {
          return router->log ().find ("target=" + id) != std::string::npos;
        },
        1000);
    int answered = 0;
    for (int i = 0; i < 4; i++)
      answered += send_request (request ("GET", "/" + name + "/x")).status ()
                  == 200;
    return answered;
  }
};

// Such a target was ignored without a trace.
TEST_F (LongName, OfATargetAndItsServiceIsUsed)
{
  std::string id (200, 'i');
  EXPECT_EQ (serve (id, std::string (200, 's')), 4);
  EXPECT_EQ (router->counter ("names_too_long"), 0);
}

TEST_F (LongName, ThatCannotBeKeptIsCountedAndLogged)
{
  EXPECT_EQ (serve (std::string (300, 'i'), "other"), 0);
  EXPECT_GE (router->counter ("names_too_long"), 1);
  EXPECT_NE (router->log ().find ("CS1206 kind=servers entries=1"),
             std::string::npos);
}

}
