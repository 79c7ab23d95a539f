// A plain service whose targets say how slow they are.

#include "fixture.h"

namespace
{

class SlowTarget : public RouterTest
{
protected:
  // Answers after MS, and states LOAD.
  static Target::Script
  respond_after (int ms, const std::string &load)
  {
    return [=] (wire::Socket &socket, const wire::Message &request) {
      std::this_thread::sleep_for (std::chrono::milliseconds (ms));
      return socket.send (Target::signed_head (
          request, "200 OK",
          "X-Server-Load: " + load + "\r\n" + Target::with_length ("ran")));
    };
  }
};

// All slots and the queue are taken and work takes 2.5 times as long: a call
// was sent although its answer could only come after its deadline.
TEST_F (SlowTarget, CallIsRefusedBeforeItIsSentIfItsAnswerWouldBeTooLate)
{
  desk.set (respond_after (300, "0,0,6,100"));
  EXPECT_EQ (send_request (request ("POST", "/desk/x", "", "b")).status (),
             200);
  desk.set (respond_after (300, "6,24,6,250,7"));
  EXPECT_EQ (send_request (request ("POST", "/desk/x", "", "b")).status (),
             200);
  size_t sent = desk.count ();
  wire::Message refusal
      = send_request (request ("POST", "/desk/x", "", "b"), 300);
  EXPECT_EQ (refusal.status (), 503);
  EXPECT_FALSE (refusal.field ("Retry-After").empty ());
  EXPECT_EQ (desk.count (), sent);
  EXPECT_EQ (router->counter ("refused_too_late"), 1);
  EXPECT_NE (router->log ().find ("why=too_late"), std::string::npos);
  EXPECT_EQ (router->counter ("load_parts_ignored"), 1);
}

// Without the fourth figure, all calls are sent.
TEST_F (SlowTarget, ThatDoesNotSayHowSlowItIsGetsAllCalls)
{
  desk.set (respond_after (300, "6,24,6"));
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (send_request (request ("POST", "/desk/x", "", "b")).status (),
               200);
}

}
