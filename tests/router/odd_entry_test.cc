// Entries of another writer in the platform's lists: the others hold.

#include "fixture.h"

namespace
{

std::string
repeated (const std::string &text, int count)
{
  std::string all;
  for (int i = 0; i < count; i++)
    all += text;
  return all;
}

// An entry of a sound target but for the members in EXTRA.
std::string
entry_with (const std::string &extra)
{
  return "{\"service\":\"engines\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
         "\"state\":\"ready\",\"born\":1000,"
         + extra + "}";
}

struct Odd
{
  const char *name;
  std::string spec;
};

const std::vector<Odd> &
odd_entries ()
{
  static const std::vector<Odd> entries = {
    { "DeeplyNested", entry_with ("\"slots\":" + repeated ("[", 50000)
                                  + repeated ("]", 50000)) },
    { "DeeplyNestedObjects",
      repeated ("{\"spec\":", 50000) + "1" + repeated ("}", 50000) },
    { "IntegerTooLarge", entry_with ("\"slots\":" + repeated ("9", 400)) },
    { "RealTooLarge", entry_with ("\"cold_remaining_ms\":1e999") },
    { "NumberOfManyDigits",
      entry_with ("\"slots\":8,\"sequence\":1" + repeated ("0", 300000)) },
    { "StartTooLarge",
      "{\"service\":\"engines\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
      "\"state\":\"ready\",\"born\":18446744073709551616}" },
    { "PortOutOfRange",
      "{\"service\":\"engines\",\"address\":\"127.0.0.1:70000\","
      "\"zone\":\"a\",\"state\":\"ready\"}" },
    { "PortZero", "{\"service\":\"engines\",\"address\":\"127.0.0.1:0\","
                  "\"zone\":\"a\",\"state\":\"ready\"}" },
    { "NegativeSlots", entry_with ("\"slots\":-1") },
    { "NullCharacter", entry_with ("\"version\":\"a\\u0000b\"") },
    { "LoneSurrogate", entry_with ("\"version\":\"\\ud800\"") },
    { "InvalidUtf8", entry_with ("\"version\":\"\xff\xfe\"") },
    { "NotJson", "\x01\x02 oops" },
  };
  return entries;
}

class OddEntry : public RouterTest, public testing::WithParamInterface<size_t>
{
protected:
  bool
  wait_for_log (Router &one, const std::string &text)
  {
    return Router::eventually (
        [&] { return one.log ().find (text) != std::string::npos; }, 3000);
  }

  // The odd entry's name sorts before those of the sound ones.
  void
  put_odd_entry ()
  {
    store.put ("servers", "a-odd", odd_entries ()[GetParam ()].spec);
    store.put ("routers", "a-odd", odd_entries ()[GetParam ()].spec);
    store.put ("config", "a-odd", odd_entries ()[GetParam ()].spec);
  }

  void
  expect_sound ()
  {
    EXPECT_FALSE (router->has_ended ());
    EXPECT_EQ (router->log ().find ("target=a-odd"), std::string::npos);
    EXPECT_EQ (router->log ().find ("CS1201"), std::string::npos);
  }
};

// Routers that read the change stopped following the list.
TEST_P (OddEntry, RunningRouterGoesOnFollowing)
{
  put_odd_entry ();
  Target late ("i-9");
  store.put ("servers", "i-9", late.entry ("engines"));
  store.put ("config", "main", config (5));
  EXPECT_TRUE (wait_for_log (*router, "CS1407 target=i-9"));
  EXPECT_TRUE (wait_for_log (*router, "CS1103 version=5"));
  expect_sound ();
}

// Routers that started found the list unreadable, and never got ready.
TEST_P (OddEntry, StartingRouterReadsTheOthers)
{
  put_odd_entry ();
  router->restart ();
  ASSERT_TRUE (Router::eventually ([this] { return router->is_ready (); }));
  EXPECT_EQ (send_request (request ("GET", "/safe/x")).status (), 200);
  EXPECT_TRUE (wait_for_log (*router, "CS1407 target=i-2"));
  expect_sound ();
}

INSTANTIATE_TEST_SUITE_P (Of, OddEntry,
                          testing::Range<size_t> (0, odd_entries ().size ()),
                          [] (const testing::TestParamInfo<size_t> &info) {
                            return std::string (
                                odd_entries ()[info.param].name);
                          });

}
