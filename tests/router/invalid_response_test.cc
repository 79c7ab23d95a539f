// Targets whose responses break the protocol while the connection stays open.

#include "fixture.h"

namespace
{

struct Case
{
  const char *name;
  std::string start; // the response up to the field with the request's id
  std::string rest = "Content-Length: 2\r\n\r\nno";
  bool closes = false;
};

Target::Script
respond_with (const Case &one)
{
  return [one] (wire::Socket &socket, const wire::Message &request) {
    return socket.send (one.start
                        + "\r\nX-Request-Id: " + request.field ("x-request-id")
                        + "\r\nX-Response-Signature: s\r\n" + one.rest)
           && !one.closes;
  };
}

using BrokenProtocol = RouterTest;

class InvalidResponse : public RouterTest,
                        public testing::WithParamInterface<Case>
{
protected:
  // Far below the routes' timeouts, at which the caller waited before.
  static constexpr int MAX_MS = 500;

  wire::Message
  send_in_time (const std::string &text)
  {
    int64_t start_ms = wire::now_ms ();
    wire::Message response = send_request (text);
    EXPECT_LT (wire::now_ms () - start_ms, MAX_MS);
    return response;
  }
};

// 502 on a route that may not repeat the request, another target on one that
// may.
TEST_P (InvalidResponse, EndsTheAttemptAtOnce)
{
  wait_for_directory ();
  set_engine_scripts (respond_with (GetParam ()));
  wire::Message response = send_in_time (request ("POST", "/once/x", "", "b"));
  EXPECT_EQ (response.status (), 502);
  EXPECT_EQ (engine_request_count (), 1U);
  EXPECT_EQ (router->counter ("invalid_responses"), 1);
  EXPECT_TRUE (Router::eventually ([this] {
    return router->log ().find ("CS1440 target=i-") != std::string::npos;
  }));
  std::atomic<int> calls{ 0 };
  set_engine_scripts (
      [&] (wire::Socket &socket, const wire::Message &message) {
        return calls++ == 0 ? respond_with (GetParam ()) (socket, message)
                            : Target::respond_with ("ok") (socket, message);
      });
  EXPECT_EQ (send_in_time (request ("GET", "/safe/x")).body, "ok");
  EXPECT_EQ (calls, 2);
}

INSTANTIATE_TEST_SUITE_P (
    All, InvalidResponse,
    testing::Values (
        Case{ "Status000", "HTTP/1.1 000 Odd" },
        Case{ "Status099", "HTTP/1.1 099 Odd" },
        Case{ "Status101", "HTTP/1.1 101 Switching Protocols" },
        Case{ "Status600", "HTTP/1.1 600 Odd" },
        Case{ "Status700", "HTTP/1.1 700 Odd" },
        Case{ "Status999", "HTTP/1.1 999 Odd" },
        Case{ "FourDigits", "HTTP/1.1 2000 OK" },
        Case{ "Letters", "HTTP/1.1 2oo OK" },
        Case{ "Spaces", "HTTP/1.1  200 OK" },
        Case{ "Version", "HTTP/1.7 200 OK" },
        Case{ "TwoStatusLines", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK", "" },
        Case{ "TwoLengths", "HTTP/1.1 200 OK\r\nContent-Length: 2" },
        Case{ "LengthAndChunked",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" },
        Case{ "BareLineFeed", "HTTP/1.1 200 OK\nX: y\n\n", "" },
        Case{ "CutHead", "HTTP/1.1 200 OK", "", true },
        Case{ "InterimOnly", "HTTP/1.1 100 Continue", "\r\n", true }),
    [] (const auto &info) { return std::string (info.param.name); });

// A length that a response without a body states says nothing of its end, and
// bytes after it are not part of the response to the caller.
TEST_F (BrokenProtocol, NoContentHasNoBody)
{
  set_engine_scripts (respond_with ({ "", "HTTP/1.1 204 No Content" }));
  wire::Socket socket (wire::Socket::connect_to (router->callers ()));
  socket.send (request ("POST", "/once/x", "", "b"));
  EXPECT_EQ (socket.read ().status (), 204);
  socket.send (request ("GET", "/desk/x"));
  EXPECT_EQ (socket.read ().status (), 200);
}

// A store that breaks the protocol is a store that fails: the router goes on
// with what it knows, and follows again once the store is sound.
TEST_F (BrokenProtocol, OfTheStoreIsAFailedCall)
{
  int version = 1;
  for (int status : { 700, 101 })
    {
      int before = router->counter ("store_failures");
      store.error_status = status;
      store.put ("config", "main", config (++version));
      EXPECT_TRUE (Router::eventually (
          [&] { return router->counter ("store_failures") > before + 2; }));
      EXPECT_EQ (send_request (request ("GET", "/desk/x")).body, "hello");
      store.error_status = 0;
      EXPECT_TRUE (Router::eventually ([&] {
        return router->log ().find ("version=" + std::to_string (version))
               != std::string::npos;
      }));
    }
}

}
