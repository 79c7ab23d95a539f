// A faulty target writes an earlier refusal once more on a kept connection: it
// says nothing of the request that runs there.

#include "fixture.h"

namespace
{

// What is written again, and when.
struct Copy
{
  const char *name;
  std::string status;
  bool has_id;   // of the request that was refused
  int before_ms; // the copy's time before the answer; 0: in one write
  int count;     // copies
  bool answers;  // an answer follows; otherwise the connection closes
};

const Copy copies[] = {
  { "WithId", "503 Service Unavailable", true, 30, 1, true },
  { "WithIdInOneWrite", "503 Service Unavailable", true, 0, 1, true },
  { "WithoutId", "503 Service Unavailable", false, 30, 1, true },
  { "WithoutIdInOneWrite", "503 Service Unavailable", false, 0, 1, true },
  { "Twice", "503 Service Unavailable", true, 30, 2, true },
  { "ManyTimes", "503 Service Unavailable", true, 0, 9, true },
  { "TooManyRequests", "429 Too Many Requests", true, 30, 1, true },
  { "Misdirected", "421 Misdirected Request", true, 30, 1, true },
  { "MisdirectedWithoutId", "421 Misdirected Request", false, 30, 1, true },
  { "BadRequestWithoutId", "400 Bad Request", false, 30, 1, true },
  { "BeforeTheEnd", "503 Service Unavailable", true, 30, 1, false },
  { "WithoutIdBeforeTheEnd", "503 Service Unavailable", false, 30, 1, false },
};

class RefusalAgain : public RouterTest,
                     public testing::WithParamInterface<Copy>
{
protected:
  std::string
  refusal_of (const wire::Message &request) const
  {
    const Copy &copy = GetParam ();
    std::string fields = "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    return copy.has_id ? Target::head (request, copy.status, fields)
                       : "HTTP/1.1 " + copy.status + "\r\n" + fields;
  }

  // Refuses the first request of each connection, and runs the others after
  // copies of that refusal.
  Target::Script
  refuse_first (std::atomic<int> &runs)
  {
    auto refusals = std::make_shared<std::map<int, std::string>> ();
    auto mutex = std::make_shared<std::mutex> ();
    return [this, &runs, refusals, mutex] (wire::Socket &socket,
                                           const wire::Message &request) {
      const Copy &copy = GetParam ();
      std::string again;
      {
        std::lock_guard<std::mutex> lock (*mutex);
        std::string &refusal = (*refusals)[socket.fd ()];
        if (refusal.empty ())
          {
            refusal = refusal_of (request);
            return socket.send (refusal);
          }
        for (int i = 0; i < copy.count; i++)
          again += refusal;
        refusal.clear ();
      }
      runs++;
      std::string answer = Target::signed_head (request, "200 OK",
                                                Target::with_length ("ran"));
      if (copy.before_ms > 0)
        {
          socket.send (again);
          again.clear ();
          std::this_thread::sleep_for (
              std::chrono::milliseconds (copy.before_ms));
        }
      socket.send (copy.answers ? again + answer : again);
      return false;
    };
  }

  // Sends a request that is refused, and then COUNT others on PATH, and
  // expects of each one that it runs once, or is not said not to have run.
  void
  expect_no_false_refusal (const std::string &path, Target &target)
  {
    std::atomic<int> runs{ 0 };
    target.set (refuse_first (runs));
    send_request (request ("POST", path, "", "b"));
    for (int i = 0; i < 3; i++)
      {
        int before = runs;
        wire::Message response
            = send_request (request ("POST", path, "", "b"), 4000);
        EXPECT_LE (runs - before, 1);
        if (runs > before)
          {
            EXPECT_TRUE (response.status () == 200 || response.status () == 502
                         || response.status () == 504)
                << response.start_line;
          }
        EXPECT_TRUE (response.status () != 200 || response.body == "ran");
      }
    EXPECT_GT (runs, 0) << "no connection was kept";
    EXPECT_GT (router->counter ("stale_answers"), 0);
    target.set (Target::respond_with ("late"));
  }
};

// Callers were told "not run" of requests that were running.
TEST_P (RefusalAgain, IsNotPassedOnForARequestThatRuns)
{
  expect_no_false_refusal ("/desk/x", desk);
}

// Such a request was sent to a second target, where it ran again.
TEST_P (RefusalAgain, SendsNoRequestToASecondTarget)
{
  Target second_desk ("i-4");
  store.put ("servers", "i-4", second_desk.entry ("desk"));
  ASSERT_TRUE (Router::eventually ([this] {
    return router->log ().find ("CS1407 target=i-4") != std::string::npos;
  }));
  wait_for_directory ();
  std::atomic<int> runs{ 0 };
  desk.set (refuse_first (runs));
  second_desk.set (refuse_first (runs));
  for (int i = 0; i < 12; i++)
    {
      int before = runs;
      wire::Message response
          = send_request (request ("POST", "/desk/x", "", "b"), 4000);
      EXPECT_LE (runs - before, 1) << "ran twice";
      if (runs > before)
        {
          EXPECT_TRUE (response.status () == 200 || response.status () == 502
                       || response.status () == 504)
              << response.start_line;
        }
    }
  desk.set (Target::respond_with ("late"));
  second_desk.set (Target::respond_with ("late"));
}

INSTANTIATE_TEST_SUITE_P (Copy, RefusalAgain, testing::ValuesIn (copies),
                          [] (const testing::TestParamInfo<Copy> &info) {
                            return info.param.name;
                          });

}
