// Responses that break the protocol: none may be delivered, and none may be
// waited for.

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "common/hash.h"
#include "http/reader.h"
}

namespace
{

// A reader of the responses to one request, as it is used on a connection:
// interim responses are skipped.
class Responses
{
public:
  Responses ()
  {
    static const cs_http_handlers_t handlers
        = { [] (void *context, const cs_http_head_t *head) {
             static_cast<Responses *> (context)->status = head->status;
             return true;
           },
            [] (void *, cs_str_t) {} };
    reader = cs_http_reader_create (CS_HTTP_RESPONSES, 4096, &handlers, this);
  }
  ~Responses () { cs_http_reader_destroy (reader); }

  // Returns whether no more bytes are wanted.
  bool
  feed (const std::string &text)
  {
    // A copy of exactly this size lets sanitizers detect reads beyond its end.
    std::vector<char> part (text.begin (), text.end ());
    cs_str_t rest = { part.data (), part.size () };
    while (rest.len > 0)
      {
        size_t taken = cs_http_reader_feed (reader, rest);
        rest.data += taken;
        rest.len -= taken;
        if (state () == CS_HTTP_BROKEN)
          return true;
        if (state () != CS_HTTP_COMPLETE)
          continue;
        if (cs_http_reader_head (reader)->status >= 200)
          return true;
        cs_http_reader_next (reader);
        status = 0;
      }
    return false;
  }

  cs_http_state_t
  state () const
  {
    return cs_http_reader_state (reader);
  }

  cs_http_reader_t *reader;
  int status = 0; // of the latest head
};

const std::string FIELDS = "X-Request-Id: 1\r\nX-Response-Signature: s\r\n";
const std::string LENGTH = "Content-Length: 5\r\n";
const std::string CHUNKED = "Transfer-Encoding: chunked\r\n";
const std::string END = "\r\nhello";

// Callers waited for the final response after a status below 100, until their
// deadline; those above 599 were passed on.
TEST (InvalidResponse, EndsAsSoonAsItIsKnown)
{
  const std::string texts[] = {
    "HTTP/1.1 0",
    "HTTP/1.1 000 Odd",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 99 Odd",
    "HTTP/1.1 6",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 700 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 65736 OK", // 200 in 16 bits
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1 \r\n",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/2 200 OK",
    "HTTP/11 200 OK",
    "HTTP/1.10 200 OK",
    "HTTP /1.1 200 OK",
    "http/1.1 200 OK",
    "200 OK",
    " HTTP/1.1 200 OK",
    "\r\n\r\nHTTP/1.1 200 OK",
    "garbage",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.1 200 OK\rX",
    "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nHTTP/1.1 200: OK\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\n",
    "HTTP/1.1 200 OK\r\nX-A : b\r\n",
    "HTTP/1.1 200 OK\r\nno field\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 700 Odd",
    "HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\n" + LENGTH + LENGTH + END,
    "HTTP/1.1 200 OK\r\n" + LENGTH + "Content-Length: 6\r\n" + END,
    "HTTP/1.1 200 OK\r\n" + LENGTH + CHUNKED + END,
    "HTTP/1.1 200 OK\r\n" + CHUNKED + LENGTH + END,
    "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n" + END,
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n" + END,
  };
  for (const auto &text : texts)
    {
      Responses whole;
      EXPECT_TRUE (whole.feed (text)) << text;
      EXPECT_EQ (whole.state (), CS_HTTP_BROKEN) << text;
      EXPECT_NE (cs_http_reader_error (whole.reader), CS_OK) << text;
      Responses bytes;
      bool has_ended = false;
      for (size_t i = 0; i < text.size () && !has_ended; i++)
        has_ended = bytes.feed (text.substr (i, 1));
      EXPECT_EQ (bytes.state (), CS_HTTP_BROKEN) << text;
    }
}

TEST (InvalidResponse, StrictnessSparesValidHeads)
{
  for (const std::string start :
       { "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\n",
         "HTTP/1.1 200 \r\n", "HTTP/1.1 599 Any: text\r\n",
         "HTTP/1.1 199 A\r\n\r\nHTTP/1.1 204 B\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\n" })
    {
      Responses responses;
      EXPECT_TRUE (
          responses.feed (start + FIELDS + "Empty:\r\n" + LENGTH + END))
          << start;
      EXPECT_EQ (responses.state (), CS_HTTP_COMPLETE) << start;
      EXPECT_GE (responses.status, 200) << start;
    }
}

// The parser waits for the body that such a length announces, which never
// comes; a body that does come would reach the caller as the next response.
TEST (InvalidResponse, ResponseWithoutABodyEndsWithItsHead)
{
  for (const std::string status : { "204 No Content", "304 Not Modified" })
    for (const std::string &framing : { LENGTH, CHUNKED })
      {
        Responses responses;
        EXPECT_TRUE (
            responses.feed ("HTTP/1.1 " + status + "\r\n" + framing + "\r\n"))
            << status;
        EXPECT_EQ (responses.state (), CS_HTTP_COMPLETE);
      }
}

const std::vector<std::string> LINES
    = { "HTTP/1.1 200 OK",       "HTTP/1.1 700 Odd",
        "HTTP/1.1 100 Continue", "HTTP/2.0 200 OK",
        "HTTP/1.1 99 X",         "Content-Length: 5",
        "Content-Length: 7",     "Transfer-Encoding: chunked",
        "Connection: close",     "Connection: upgrade",
        "Upgrade: h2c",          "" };
const std::vector<std::string> PIECES
    = { " ", "\t", "\r", "\n", ":", "x", "0", "9", "HTTP/1.1", "1.0", "999" };

size_t
below (cs_random_t *random, size_t bound)
{
  return cs_random_u64 (random) % bound;
}

// A valid head with up to three faults, most of them near its start.
std::string
odd_response (cs_random_t *random)
{
  std::string text;
  for (size_t interim = below (random, 3); interim > 0; interim--)
    text += "HTTP/1.1 10" + std::to_string (below (random, 5)) + " X\r\n\r\n";
  size_t status = below (random, 2) == 0 ? below (random, 1100)
                                         : 200 + below (random, 400);
  text += "HTTP/1.1 " + std::to_string (status) + " OK\r\n" + FIELDS
          + (below (random, 2) == 0 ? LENGTH : "") + "\r\nhello";
  for (size_t faults = below (random, 4); faults > 0; faults--)
    {
      size_t range = below (random, 2) == 0 ? 20 : text.size () + 1;
      size_t at = below (random, std::min (range, text.size () + 1));
      size_t line = text.rfind ("\r\n", at);
      line = line == std::string::npos ? 0 : line + 2;
      switch (below (random, 4))
        {
        case 0:
          text.insert (line, LINES[below (random, LINES.size ())] + "\r\n");
          break;
        case 1:
          text.insert (at, PIECES[below (random, PIECES.size ())]);
          break;
        case 2:
          text.erase (at, 1 + below (random, 3));
          break;
        default:
          text.resize (at);
          break;
        }
    }
  return text;
}

// 10,000 seeded heads, with the end of the connection after them: each is a
// response with a status of 200 to 599, or known to be none.
TEST (InvalidResponse, NoneIsWaitedForAfterItsConnection)
{
  int complete = 0;
  int broken = 0;
  for (uint64_t seed = 0; seed < 10000; seed++)
    {
      cs_random_t random = { seed, 0 };
      std::string text = odd_response (&random);
      Responses responses;
      bool has_ended = false;
      for (size_t at = 0; at < text.size () && !has_ended;)
        {
          size_t len = 1 + below (&random, 40);
          has_ended = responses.feed (text.substr (at, len));
          at += len;
        }
      cs_http_reader_end (responses.reader);
      if (responses.state () == CS_HTTP_COMPLETE)
        {
          complete++;
          EXPECT_GE (responses.status, 200) << seed << text;
          EXPECT_LE (responses.status, 599) << seed << text;
          continue;
        }
      broken++;
      // Nothing but interim responses came, which ends the attempt as well.
      bool is_empty = responses.state () == CS_HTTP_IN_HEAD
                      && !cs_http_reader_has_begun (responses.reader);
      EXPECT_TRUE (responses.state () == CS_HTTP_BROKEN || is_empty)
          << seed << text;
      EXPECT_TRUE (responses.status == 0 || responses.status >= 100) << seed;
      EXPECT_NE (responses.status, 101) << seed << text;
      EXPECT_LE (responses.status, 599) << seed << text;
    }
  EXPECT_GT (complete, 1000);
  EXPECT_GT (broken, 1000);
}

// The final response to a HEAD request has no body after an interim one
// either: its caller waited for the body until its deadline.
TEST (InterimResponse, LeavesTheResponseToHeadWithoutABody)
{
  Responses responses;
  cs_http_reader_expect_no_body (responses.reader, true);
  EXPECT_TRUE (responses.feed ("HTTP/1.1 103 Early Hints\r\n\r\n"
                               "HTTP/1.1 200 OK\r\n"
                               + FIELDS + LENGTH + "\r\n"));
}

}
