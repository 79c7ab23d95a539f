// Lists of targets from the store while a peer sends newer ones.

#include "fixture.h"

namespace
{

// The parameter is the number of objects in each page of a list.
class List : public RouterTest, public testing::WithParamInterface<int>
{
protected:
  static bool
  logs (const Router &one, const std::string &text)
  {
    return Router::eventually (
        [&] { return one.log ().find (text) != std::string::npos; });
  }
};

// The list was labelled with the peer's revision, so that what had changed
// between them was dropped for good; and after its first page the router
// claimed to know all that is older than the objects on it.
TEST_P (List, HasTheRevisionOfItsFirstPage)
{
  Target third ("i-9");
  // The latest change of all is on the first page.
  store.put ("servers", "foreign", "{}");
  store.page_size = GetParam ();
  store.holds_lists = true;
  router->signal (SIGSTOP);
  Router late ("r2", store.address (), extra_settings ());
  EXPECT_TRUE (Router::eventually ([&] { return store.held_lists > 0; }));
  router->signal (SIGCONT);
  EXPECT_TRUE (logs (late, "CS1301"));
  store.put ("servers", "i-9", third.entry ("engines"));
  EXPECT_TRUE (logs (late, "CS1407 target=i-9 source=peer"));
  EXPECT_TRUE (logs (late, "CS1407 target=i-2 source=peer"));
  store.holds_lists = false;
  std::this_thread::sleep_for (std::chrono::milliseconds (300));
  for (const char *name : { "i-1", "i-2" })
    store.remove ("servers", name);
  ASSERT_TRUE (logs (late, "CS1408 target=i-2"));
  wire::Socket caller (wire::Socket::connect_to (late.callers ()));
  caller.send (request ("GET", "/safe/x"));
  EXPECT_EQ (caller.read ().status (), 200) << late.log ();
  EXPECT_EQ (third.count (), 1U);
}

INSTANTIATE_TEST_SUITE_P (Pages, List, testing::Values (0, 2));

}
