// Targets that answer a long upload before they have read it, with a response
// that ends with its connection, and then break the connection off.

#include "fixture.h"

namespace
{

using Unending = RouterTest;

enum class End
{
  RESET,
  CLOSE_UNREAD, // turns into a reset by the kernel
  FINISH_UNREAD // the end of the stream, while the upload is still written
};

struct Case
{
  const char *name;
  End end = End::RESET;
  int read_ms = 0;  // how long the target reads the upload first
  int delay_ms = 0; // between the part of the response and the end
  size_t bytes = 10;
  size_t upload_bytes = 6U << 20U; // more than the kernel's buffers take
};

const std::string EVENT_FIELDS = "Content-Type: text/event-stream\r\n";

class Upload : public RouterTest, public testing::WithParamInterface<Case>
{
protected:
  void
  SetUp () override
  {
    RouterTest::SetUp ();
    std::string text
        = config (2, "," + up ("plain", "safe", ",\"max_attempts\":2") + ","
                         + up ("only", "unsafe", "") + ","
                         + up ("flow", "streaming",
                               ",\"max_attempts\":2,\"stream_resume\":true"));
    text.replace (text.find ("\"max_body_bytes\":100000") + 17, 6, "9000000");
    store.put ("config", "main", text);
    std::string entry = desk.entry ("up");
    size_t at = entry.find ("127.0.0.1:");
    entry.replace (at, entry.find ('"', at) - at, target.address ());
    store.put ("servers", "i-9", entry);
    ASSERT_TRUE (Router::eventually ([this] {
      std::string log = router->log ();
      return log.find ("version=2") != std::string::npos
             && log.find ("CS1407 target=i-9") != std::string::npos;
    }));
  }

  std::string
  extra_settings () override
  {
    return "[host]\nmemory_mb = 400\n" + RouterTest::extra_settings ();
  }

  static std::string
  up (const std::string &name, const std::string &kind,
      const std::string &members)
  {
    return route (name, kind, "up", ",\"timeout_ms\":3000" + members);
  }

  static std::string
  config (int version, const std::string &routes)
  {
    std::string text = RouterTest::config (version, routes);
    std::string services = "\"services\":[";
    text.insert (text.find (services) + services.size (),
                 "{\"name\":\"up\",\"health_path\":\"/h\"},");
    return text;
  }

  void
  serve (wire::Socket &socket)
  {
    while (socket.buffered ().find ("\r\n\r\n") == std::string::npos)
      if (!socket.fill (3000))
        return;
    std::string head = socket.buffered ();
    size_t at = head.find ("X-Request-Id: ");
    std::string id = head.substr (at, head.find ("\r\n", at) - at);
    for (int64_t until = wire::now_ms () + GetParam ().read_ms;
         wire::now_ms () < until; socket.drop_buffered ())
      socket.fill (1);
    bool is_stream = head.find (" /flow/") != std::string::npos;
    std::string event = Target::event (1);
    std::string part;
    while (part.size () < GetParam ().bytes)
      part += is_stream ? event : "part of it";
    socket.send ("HTTP/1.1 200 OK\r\n" + id + "\r\nX-Response-Signature: s\r\n"
                 + (is_stream ? EVENT_FIELDS : "") + "\r\n" + part);
    std::this_thread::sleep_for (
        std::chrono::milliseconds (GetParam ().delay_ms));
    if (GetParam ().end == End::RESET)
      socket.reset ();
    if (GetParam ().end == End::FINISH_UNREAD)
      {
        shutdown (socket.fd (), SHUT_WR);
        std::this_thread::sleep_for (std::chrono::milliseconds (100));
      }
  }

  // Sends the upload as a caller of HTTP/1.MINOR would and reads all that the
  // router sends back.
  std::string
  upload (const std::string &path, bool chunked, int minor)
  {
    wire::Socket socket (wire::Socket::connect_to (router->callers ()));
    std::string body (GetParam ().upload_bytes, 'u');
    std::string text = request (
        "POST", path,
        chunked ? "Transfer-Encoding: chunked\r\n"
                : "Content-Length: " + std::to_string (body.size ()) + "\r\n");
    text.replace (text.find ("HTTP/1.1"), 8,
                  "HTTP/1." + std::to_string (minor));
    socket.send (text);
    if (chunked)
      {
        socket.send (Target::chunk (body.substr (0, 1000)));
        std::this_thread::sleep_for (std::chrono::milliseconds (50));
        socket.send (Target::chunk (body.substr (1000)) + Target::chunk (""));
      }
    else
      socket.send (body);
    int64_t start_ms = wire::now_ms ();
    errno = 0;
    while (socket.fill (5000))
      if (socket.buffered ().find ("\r\n0\r\n\r\n") != std::string::npos
          || socket.buffered ().find ("}}") != std::string::npos)
        break;
    last_error = errno;
    EXPECT_LT (wire::now_ms () - start_ms, 3500) << path;
    return socket.buffered ();
  }

  wire::Server target{ [this] (wire::Socket &socket) { serve (socket); } };
  int last_error = 0; // of the connection of the last upload
};

TEST_P (Upload, PartOfAResponseIsNoResponse)
{
  for (const std::string path : { "/only/x", "/plain/x", "/flow/x" })
    for (bool chunked : { false, true })
      {
        std::string got = upload (path, chunked, 1);
        EXPECT_EQ (got.find ("\r\n0\r\n\r\n"), std::string::npos) << path;
        if (got.compare (0, 12, "HTTP/1.1 200") == 0)
          EXPECT_NE (got.find ("Transfer-Encoding: chunked"),
                     std::string::npos)
              << path;
        else
          EXPECT_EQ (got.substr (0, 12), "HTTP/1.1 502") << path << got;
      }
}

// The end of the connection is that of the response to a caller of HTTP/1.0,
// so that only a reset tells it that there was more.
TEST_P (Upload, PartForACallerWithoutChunksEndsWithAReset)
{
  std::string got = upload ("/only/x", false, 0);
  if (got.find (" 200 ") == 8)
    EXPECT_EQ (last_error, ECONNRESET);
  else
    EXPECT_EQ (got.find (" 502 "), 8U) << got;
}

// Uploads are read whole before they are sent, within the limits on bodies.
TEST_F (Unending, UploadReachesNoTarget)
{
  wire::Socket socket (wire::Socket::connect_to (router->callers ()));
  socket.send (request ("POST", "/desk/x", "Transfer-Encoding: chunked\r\n"));
  while (!socket.fill (0) && socket.send (Target::chunk ("never ends")))
    std::this_thread::sleep_for (std::chrono::microseconds (10));
  EXPECT_EQ (socket.read ().status (), 413);
  EXPECT_EQ (desk.count (), 0U);
}

INSTANTIATE_TEST_SUITE_P (
    All, Upload,
    testing::Values (Case{ "Reset", End::RESET, 0, 50 },
                     Case{ "ResetAtOnce", End::RESET, 0, 0 },
                     Case{ "ResetWhileReading", End::RESET, 20, 50 },
                     Case{ "ResetOfALongPart", End::RESET, 0, 50, 200000 },
                     Case{ "CloseUnread", End::CLOSE_UNREAD, 0, 50 },
                     Case{ "FinishUnread", End::FINISH_UNREAD, 0, 50 },
                     Case{ "FinishWithAllInTheKernel", End::FINISH_UNREAD, 0,
                           50, 10, 300000 },
                     Case{ "FinishOfALongPart", End::FINISH_UNREAD, 0, 50,
                           200000 }),
    [] (const auto &info) { return std::string (info.param.name); });

}
