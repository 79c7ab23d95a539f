// Answers that break off: a stream that another target goes on with, and a
// head that ends in the middle.

#include "fixture.h"

namespace
{

std::string
events (int first, int last)
{
  std::string text;
  for (int i = first; i <= last; i++)
    text += Target::event (i);
  return text;
}

// What a target answers, after the fields that show that the answer is its
// own.
struct Answer
{
  const char *name;
  std::string status;
  std::string rest;
  bool closes = false;
};

const std::string stream_type = "Content-Type: text/event-stream\r\n";
const std::string error_text = "{\"error\":\"engine failed\"}\n\n";

// How a stream that breaks off in its fourth event was to end.
const std::string framings[] = {
  "Transfer-Encoding: chunked\r\n",
  "Content-Length: 5000\r\n",
  "",
};

void
send_broken_stream (wire::Socket &socket, const wire::Message &message,
                    const std::string &framing)
{
  std::string part = events (1, 3) + "id: 4\nda";
  if (framing == framings[0])
    part = Target::chunk (part);
  socket.send (Target::signed_head (message, "200 OK", stream_type + framing)
               + "\r\n" + part);
}

class BrokenOffStream : public RouterTest,
                        public testing::WithParamInterface<Answer>
{
protected:
  // The first attempt breaks off in the fourth event; others get the answer.
  void
  SetUp () override
  {
    RouterTest::SetUp ();
    set_engine_scripts (
        [this] (wire::Socket &socket, const wire::Message &message) {
          if (calls++ == 0)
            {
              send_broken_stream (socket, message, framing);
              return false;
            }
          const Answer &answer = GetParam ();
          return socket.send (
                     Target::signed_head (message, answer.status, answer.rest))
                 && !answer.closes;
        });
  }

  // A caller that takes the stream up itself gets the answer as one of its
  // own: an error with its status, or nothing that looks like the rest of the
  // stream.
  void
  expect_taken_up_without_error ()
  {
    wire::Message response = send_request (
        request ("POST", "/chat/x", "Last-Event-Id: 3\r\nResumes: q0\r\n"));
    if (response.status () == 200)
      EXPECT_EQ (response.body, std::string (GetParam ().name) == "PlainAnswer"
                                    ? error_text
                                    : "");
    else if (GetParam ().status.compare (0, 3, "200") != 0)
      EXPECT_EQ (response.status (), std::stoi (GetParam ().status));
    else
      EXPECT_EQ (response.status (), 502);
  }

  std::atomic<int> calls{ 0 };
  std::string framing = framings[0];
};

// Callers got the text of another target's error, or its whole head, in the
// middle of their stream, or a stream that ended as if it were complete.
TEST_P (BrokenOffStream, IsNotContinuedWithAnError)
{
  wait_for_directory ();
  for (const std::string &one : framings)
    {
      SCOPED_TRACE (one);
      framing = one;
      calls = 0;
      wire::Message response
          = send_request (request ("POST", "/chat/x", "", "b"));
      EXPECT_EQ (response.status (), 200);
      EXPECT_FALSE (response.is_complete);
      EXPECT_EQ (response.body, events (1, 3));
      EXPECT_EQ (calls, 2);
    }
  // Only a reset tells a caller of HTTP/1.0 of the missing part.
  calls = 0;
  std::string text = request ("POST", "/chat/x", "", "b");
  text.replace (text.find ("HTTP/1.1"), 8, "HTTP/1.0");
  wire::Socket socket (wire::Socket::connect_to (router->callers ()));
  socket.send (text);
  while (socket.fill (3000))
    ;
  EXPECT_TRUE (socket.was_reset ());
  EXPECT_EQ (socket.buffered ().find ("error"), std::string::npos);
  EXPECT_EQ (socket.buffered ().find ("HTTP/", 5), std::string::npos);
  EXPECT_EQ (calls, 2);
  expect_taken_up_without_error ();
}

INSTANTIATE_TEST_SUITE_P (
    By, BrokenOffStream,
    testing::Values (
        Answer{ "Error", "500 Internal Server Error",
                Target::with_length (error_text) },
        Answer{ "ErrorWithoutLength", "502 Bad Gateway",
                "Content-Type: text/html\r\n\r\n" + error_text, true },
        Answer{ "ErrorThatIsAStream", "500 Internal Server Error",
                stream_type + Target::with_length (error_text) },
        Answer{ "Denial", "404 Not Found", Target::with_length (error_text) },
        Answer{ "Refusal", "503 Service Unavailable",
                "X-Not-Executed: 1\r\n" + Target::with_length (error_text) },
        Answer{ "OverloadThatMayHaveRun", "503 Service Unavailable",
                Target::with_length (error_text) },
        Answer{ "PlainAnswer", "200 OK", Target::with_length (error_text) },
        Answer{ "NoContent", "204 No Content", stream_type + "\r\n" },
        Answer{ "OtherSuccess", "202 Accepted",
                stream_type + Target::with_length (error_text) },
        Answer{ "Redirect", "307 Temporary Redirect",
                stream_type + Target::with_length (error_text) },
        Answer{ "CutHead", "200 OK", stream_type + "X-Cut", true },
        Answer{ "EmptyStreamThatEndsAtClose", "200 OK", stream_type + "\r\n",
                true },
        Answer{ "ErrorInPlaceOfAnEvent", "200 OK",
                stream_type + "\r\nHTTP/1.1 500 Internal Server Error\r\n\r\n"
                    + error_text,
                true },
        Answer{ "ErrorInPlaceOfAChunk", "200 OK",
                stream_type
                    + "Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 "
                      "Internal Server Error\r\n\r\n"
                    + error_text,
                true }),
    [] (const auto &info) { return std::string (info.param.name); });

using BrokenStream = RouterTest;

// A target wrote an error, with its head, into the stream that it had begun.
// The events before it are whole, also if all came together.
TEST_F (BrokenStream, GoesOnAfterTheEventsBeforeAnError)
{
  wait_for_directory ();
  std::atomic<int> calls{ 0 };
  set_engine_scripts ([&] (wire::Socket &socket,
                           const wire::Message &message) {
    if (calls++ % 2 == 1)
      return Target::stream (6) (socket, message);
    socket.send (Target::signed_head (message, "200 OK", stream_type) + "\r\n"
                 + events (1, 3) + "HTTP/1.1 500 Internal Server Error\r\n"
                 + Target::with_length (error_text));
    return false;
  });
  for (int i = 0; i < 4; i++)
    {
      wire::Message response
          = send_request (request ("POST", "/chat/x", "", "b"));
      EXPECT_TRUE (response.is_complete);
      EXPECT_EQ (response.body, events (1, 6));
    }
}

using CutHead = RouterTest;

// A target that stopped in the middle of its head and closed: callers got a
// 200 with an empty or short body, framed as whole.
TEST_F (CutHead, IsNoAnswerWhereverItIsCut)
{
  wait_for_directory ();
  std::atomic<bool> resets{ false };
  std::atomic<size_t> cut_at{ 0 };
  std::atomic<size_t> whole{ SIZE_MAX };
  set_engine_scripts (
      [&] (wire::Socket &socket, const wire::Message &message) {
        std::string head = Target::signed_head (
            message, "200 OK", "Content-Length: 2\r\nX-Load: 1\r\n\r\n");
        whole = head.size ();
        socket.send (head.substr (0, cut_at));
        if (resets)
          socket.reset ();
        return false;
      });
  for (cut_at = 1; cut_at < whole; cut_at++)
    for (bool one : { false, true })
      {
        SCOPED_TRACE (cut_at.load ());
        resets = one;
        EXPECT_EQ (send_request (request ("POST", "/once/x")).status (), 502);
        EXPECT_EQ (send_request (request ("HEAD", "/once/x")).status (), 502);
        EXPECT_EQ (
            send_request (request ("POST", "/talk/x", "", "b")).status (),
            502);
      }
  EXPECT_GE (cut_at, 60U);
}

// Where the request may be repeated, another target answers it.
TEST_F (CutHead, IsRepeatedElsewhere)
{
  wait_for_directory ();
  std::atomic<int> calls{ 0 };
  set_engine_scripts (
      [&] (wire::Socket &socket, const wire::Message &message) {
        if (calls++ % 2 == 1)
          return Target::stream (4) (socket, message);
        socket.send (Target::signed_head (message, "200 OK", stream_type));
        return false;
      });
  for (int i = 0; i < 4; i++)
    {
      wire::Message response
          = send_request (request ("POST", "/chat/x", "", "b"));
      EXPECT_TRUE (response.is_complete);
      EXPECT_EQ (response.body, events (1, 4));
    }
}

}
