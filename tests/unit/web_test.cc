// The daemon's HTTP server, tested over a real socket.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

extern "C"
{
#include "common/address.h"
#include "daemon/web.h"
}

namespace
{

const size_t kMaxBodyBytes = 4 << 20;

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

// Rejects a body that is too large without reading it.
void
handle (cs_web_request_t *request, void *context)
{
  const char *status = "200 OK";
  if (cs_web_is_too_large (request, kMaxBodyBytes))
    {
      status = "413 Content Too Large";
      cs_web_close_after (request);
    }
  cs_web_printf (request, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status);
}

class Web : public testing::Test
{
protected:
  void
  SetUp () override
  {
    start_server ();
    ASSERT_NE (web, nullptr);
  }

  void
  TearDown () override
  {
    cs_web_stop (web);
  }

  void
  start_server ()
  {
    cs_web_options_t options = {};
    options.listen = "127.0.0.1:0";
    options.workers = 1;
    options.request_timeout_ms = 1000;
    options.idle_timeout_ms = 1000;
    options.handle = handle;
    web = cs_web_start (&options, &bound_address);
  }

  int
  connect_to_server ()
  {
    struct sockaddr_in address;
    struct timeval limit = { 5, 0 };
    EXPECT_EQ (cs_address_parse (cs_name_str (&bound_address), &address), 0);
    int fd = socket (AF_INET, SOCK_STREAM, 0);
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    EXPECT_EQ (connect (fd, reinterpret_cast<struct sockaddr *> (&address),
                        sizeof address),
               0);
    return fd;
  }

  static bool
  send_all (int fd, const std::string &data)
  {
    size_t sent = 0;
    while (sent < data.size ())
      {
        ssize_t n = send (fd, data.data () + sent, data.size () - sent,
                          MSG_NOSIGNAL);
        if (n <= 0)
          return false;
        sent += static_cast<size_t> (n);
      }
    return true;
  }

  static std::string
  read_to_end (int fd)
  {
    std::string all;
    char part[4096];
    ssize_t got;
    while ((got = recv (fd, part, sizeof part, 0)) > 0)
      all.append (part, static_cast<size_t> (got));
    return got == 0 ? all : all + "(reset or timed out)";
  }

  cs_web_t *web = nullptr;
  cs_name_t bound_address;
};

// Closing a socket with unread input resets the connection, and the client
// would lose the response.
TEST_F (Web, ClientThatKeepsSendingAfterRejectionStillReadsTheResponse)
{
  int fd = connect_to_server ();
  ASSERT_TRUE (send_all (fd, "POST / HTTP/1.1\r\nHost: a\r\n"
                             "Content-Length: 6000000\r\n\r\n"));
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  EXPECT_TRUE (send_all (fd, std::string (6000000, 'x')));
  shutdown (fd, SHUT_WR);
  EXPECT_EQ (read_to_end (fd),
             "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n");
  close (fd);
}

// The only worker must stay available while a rejected client keeps its
// connection open.
TEST_F (Web, ClientThatDoesNotCloseOccupiesNoWorker)
{
  int open_client = connect_to_server ();
  ASSERT_TRUE (send_all (open_client, "POST / HTTP/1.1\r\nHost: a\r\n"
                                      "Content-Length: 6000000\r\n\r\n"));
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  auto start = std::chrono::steady_clock::now ();
  int other = connect_to_server ();
  ASSERT_TRUE (send_all (
      other, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
  EXPECT_EQ (read_to_end (other),
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  EXPECT_LT (std::chrono::steady_clock::now () - start,
             std::chrono::milliseconds (500));
  close (other);
  close (open_client);
}

// A malformed request gets a response before its connection is closed.
TEST_F (Web, ClientOfMalformedRequestReadsTheResponse)
{
  int fd = connect_to_server ();
  ASSERT_TRUE (send_all (fd, "NO REQUEST\r\n\r\n"));
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  EXPECT_TRUE (send_all (fd, std::string (1000000, 'x')));
  shutdown (fd, SHUT_WR);
  EXPECT_EQ (read_to_end (fd).substr (0, 12), "HTTP/1.1 400");
  close (fd);
}

// A connection that stays idle is closed in time.
TEST_F (Web, IdleConnectionIsClosed)
{
  int fd = connect_to_server ();
  ASSERT_TRUE (send_all (fd, request));
  auto start = std::chrono::steady_clock::now ();
  EXPECT_EQ (read_to_end (fd), response);
  auto elapsed = std::chrono::steady_clock::now () - start;
  EXPECT_GE (elapsed, std::chrono::milliseconds (900));
  EXPECT_LT (elapsed, std::chrono::milliseconds (2000));
  close (fd);
}

// Runs the server in a child process, which can be stopped as on a host
// without processor time.
class WebStandstill : public Web
{
protected:
  // More connections than the event loop reads of at once.
  static constexpr int many = 50;

  void
  SetUp () override
  {
    int ends[2];
    ASSERT_EQ (pipe (ends), 0);
    child = fork ();
    ASSERT_GE (child, 0);
    if (child == 0)
      serve_until_killed (ends[1]);
    close (ends[1]);
    ASSERT_EQ (read (ends[0], &bound_address, sizeof bound_address),
               static_cast<ssize_t> (sizeof bound_address));
    close (ends[0]);
    connect_all ();
  }

  void
  TearDown () override
  {
    for (int fd : connections)
      close (fd);
    if (child <= 0)
      return;
    kill (child, SIGKILL);
    waitpid (child, nullptr, 0);
  }

  [[noreturn]] void
  serve_until_killed (int address_pipe)
  {
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    start_server ();
    if (web == nullptr
        || write (address_pipe, &bound_address, sizeof bound_address) < 0)
      _exit (1);
    for (;;)
      pause ();
  }

  // Opens connections that have carried a request each.
  void
  connect_all ()
  {
    for (int i = 0; i < many; i++)
      {
        connections.push_back (connect_to_server ());
        ASSERT_TRUE (send_all (connections.back (), request));
        ASSERT_TRUE (receives_response (connections.back ()));
      }
  }

  static bool
  receives_response (int fd)
  {
    std::string got (response.size (), '\0');
    return recv (fd, got.data (), got.size (), MSG_WAITALL)
               == static_cast<ssize_t> (got.size ())
           && got == response;
  }

  // Sends DATA on all connections.
  void
  send_to_all (const std::string &data)
  {
    for (int fd : connections)
      EXPECT_TRUE (send_all (fd, data));
  }

  // Sends DATA on all connections while the server stands still until after
  // its timeouts.
  void
  send_during_standstill (const std::string &data)
  {
    kill (child, SIGSTOP);
    waitpid (child, nullptr, WUNTRACED);
    send_to_all (data);
    std::this_thread::sleep_for (std::chrono::milliseconds (1300));
    kill (child, SIGCONT);
  }

  int
  count_responses ()
  {
    int count = 0;
    for (int fd : connections)
      count += receives_response (fd);
    return count;
  }

  pid_t child = 0;
  std::vector<int> connections;
};

// Requests that had come before the server got round to the idle timeout were
// dropped with their connections.
TEST_F (WebStandstill, RequestsThatWaitAtTheIdleTimeoutAreServed)
{
  send_during_standstill (request);
  EXPECT_EQ (count_responses (), many);
}

// The same of requests whose first part had been read.
TEST_F (WebStandstill, RestsOfRequestsThatWaitAtTheTimeoutAreRead)
{
  send_to_all (request.substr (0, 10));
  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  send_during_standstill (request.substr (10));
  EXPECT_EQ (count_responses (), many);
}

// A connection on which nothing has come is still closed.
TEST_F (WebStandstill, ConnectionsWithoutARequestAreClosed)
{
  send_during_standstill ("");
  for (int fd : connections)
    ASSERT_EQ (read_to_end (fd), "");
}

} // namespace
