// Blocking sockets for tests: a client that sends raw bytes and parses HTTP/1
// messages, and a server with one thread per connection.

#ifndef TESTS_ROUTER_WIRE_H
#define TESTS_ROUTER_WIRE_H

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace wire
{

using Clock = std::chrono::steady_clock;

inline int64_t
now_ms ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             Clock::now ().time_since_epoch ())
      .count ();
}

inline std::string
lower (std::string text)
{
  std::transform (text.begin (), text.end (), text.begin (), ::tolower);
  return text;
}

// An HTTP message that was read from a socket.
struct Message
{
  std::string start_line;
  std::map<std::string, std::string> fields; // by lower-case name
  std::string body;
  bool is_complete = false; // read to the end of its framing

  std::string
  field (const std::string &name) const
  {
    auto at = fields.find (lower (name));
    return at == fields.end () ? "" : at->second;
  }

  int
  status () const
  {
    return start_line.size () > 12 ? std::atoi (start_line.c_str () + 9) : 0;
  }
};

class Socket
{
public:
  explicit Socket (int fd = -1) : fd_ (fd) {}
  Socket (const Socket &) = delete;
  Socket &operator= (const Socket &) = delete;
  ~Socket () { close (); }

  // Connects to PORT of the loopback interface, with a receive buffer of
  // RECEIVE_BYTES unless 0.  Returns the descriptor, which the caller owns, or
  // -1.
  static int
  connect_to (int port, int receive_bytes = 0)
  {
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_bytes > 0)
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                  sizeof receive_bytes);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    address.sin_port = htons (port);
    if (connect (fd, reinterpret_cast<sockaddr *> (&address), sizeof address)
        != 0)
      {
        ::close (fd);
        return -1;
      }
    return fd;
  }

  bool
  is_open () const
  {
    return fd_ >= 0;
  }

  int
  fd () const
  {
    return fd_;
  }

  // Sends all of TEXT.  Returns false if the connection failed.
  bool
  send (const std::string &text)
  {
    size_t sent = 0;
    while (sent < text.size ())
      {
        ssize_t n = ::send (fd_, text.data () + sent, text.size () - sent,
                            MSG_NOSIGNAL);
        if (n <= 0)
          return false;
        sent += n;
      }
    return true;
  }

  // Waits up to MS and appends the available bytes to the buffer.  Returns
  // false at the end of the stream and after a timeout.
  bool
  fill (int ms)
  {
    pollfd wait = { fd_, POLLIN, 0 };
    if (poll (&wait, 1, ms) <= 0)
      return false;
    char part[16384];
    ssize_t n = recv (fd_, part, sizeof part, 0);
    if (n <= 0)
      {
        ended_ = true;
        was_reset_ = n < 0 && errno == ECONNRESET;
        return false;
      }
    buffer_.append (part, n);
    return true;
  }

  // Whether the peer has ended the connection with a TCP reset.
  bool
  was_reset () const
  {
    return was_reset_;
  }

  // The bytes that have been received but not parsed yet.
  const std::string &
  buffered () const
  {
    return buffer_;
  }

  void
  drop_buffered ()
  {
    buffer_.clear ();
  }

  // Returns whether the peer closes the connection within MS.
  bool
  closes_within (int ms)
  {
    int64_t until = now_ms () + ms;
    while (!ended_ && now_ms () < until)
      fill (static_cast<int> (until - now_ms ()));
    return ended_;
  }

  // Reads one message, for up to MS; is_complete is false if it has not
  // arrived in full by then.  NO_BODY is set for the response to a HEAD
  // request.
  Message
  read (int ms = 5000, bool no_body = false)
  {
    Message message;
    int64_t until = now_ms () + ms;
    if (!read_head (message, until))
      return message;
    int status = message.status ();
    bool is_response = message.start_line.compare (0, 5, "HTTP/") == 0;
    if (no_body
        || (is_response && (status < 200 || status == 204 || status == 304)))
      message.is_complete = true;
    else if (lower (message.field ("transfer-encoding")) == "chunked")
      read_chunked_body (message, until);
    else if (!message.field ("content-length").empty ())
      read_sized_body (message, until,
                       std::stoul (message.field ("content-length")));
    else if (is_response)
      {
        while (!ended_ && now_ms () < until)
          fill (static_cast<int> (until - now_ms ()));
        message.body = buffer_;
        buffer_.clear ();
        message.is_complete = ended_;
      }
    else
      message.is_complete = true;
    return message;
  }

  void
  close ()
  {
    if (fd_ >= 0)
      ::close (fd_);
    fd_ = -1;
  }

  // Closes the connection with a TCP reset.
  void
  reset ()
  {
    linger reset_on_close = { 1, 0 };
    setsockopt (fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
    close ();
  }

private:
  bool
  fill_to (size_t count, int64_t until)
  {
    while (buffer_.size () < count)
      {
        int64_t remaining = until - now_ms ();
        if (remaining <= 0 || !fill (static_cast<int> (remaining)))
          return false;
      }
    return true;
  }

  bool
  read_head (Message &message, int64_t until)
  {
    size_t end;
    while ((end = buffer_.find ("\r\n\r\n")) == std::string::npos)
      if (!fill_to (buffer_.size () + 1, until))
        return false;
    std::string head = buffer_.substr (0, end + 2);
    buffer_.erase (0, end + 4);
    size_t at = head.find ("\r\n");
    message.start_line = head.substr (0, at);
    for (at += 2; at < head.size ();)
      {
        size_t stop = head.find ("\r\n", at);
        std::string line = head.substr (at, stop - at);
        size_t colon = line.find (':');
        size_t value = line.find_first_not_of (' ', colon + 1);
        message.fields[lower (line.substr (0, colon))]
            = value == std::string::npos ? "" : line.substr (value);
        at = stop + 2;
      }
    return true;
  }

  void
  read_sized_body (Message &message, int64_t until, size_t length)
  {
    message.is_complete = fill_to (length, until);
    message.body = buffer_.substr (0, length);
    buffer_.erase (0, length);
  }

  void
  read_chunked_body (Message &message, int64_t until)
  {
    for (;;)
      {
        size_t end;
        while ((end = buffer_.find ("\r\n")) == std::string::npos)
          if (!fill_to (buffer_.size () + 1, until))
            return;
        size_t size = std::stoul (buffer_.substr (0, end), nullptr, 16);
        if (!fill_to (end + 2 + size + 2, until))
          return;
        message.body += buffer_.substr (end + 2, size);
        buffer_.erase (0, end + 2 + size + 2);
        if (size == 0)
          {
            message.is_complete = true;
            return;
          }
      }
  }

  int fd_;
  bool ended_ = false;
  bool was_reset_ = false;
  std::string buffer_;
};

// Listens on a port that the kernel chooses and serves each connection in a
// thread of its own.
class Server
{
public:
  explicit Server (std::function<void (Socket &)> serve)
      : serve_ (std::move (serve))
  {
    sockaddr_in address = {};
    socklen_t len = sizeof address;
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (fd_, reinterpret_cast<sockaddr *> (&address), sizeof address);
    listen (fd_, 1024);
    getsockname (fd_, reinterpret_cast<sockaddr *> (&address), &len);
    port_ = ntohs (address.sin_port);
    acceptor_ = std::thread ([this] { accept_all (); });
  }

  ~Server () { stop (); }

  int
  port () const
  {
    return port_;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port_);
  }

  // Serving threads check this while they wait.
  bool
  is_stopping () const
  {
    return stopping_;
  }

  void
  stop ()
  {
    if (stopping_.exchange (true))
      return;
    shutdown (fd_, SHUT_RDWR);
    acceptor_.join ();
    ::close (fd_);
    {
      std::lock_guard<std::mutex> lock (mutex_);
      for (int fd : open_)
        shutdown (fd, SHUT_RDWR);
    }
    for (auto &thread : threads_)
      thread.join ();
  }

  // Refuses connections from now on and cuts the open ones.  May be called by
  // the serving threads.
  void
  crash ()
  {
    shutdown (fd_, SHUT_RDWR);
    std::lock_guard<std::mutex> lock (mutex_);
    for (int fd : open_)
      shutdown (fd, SHUT_RDWR);
  }

private:
  void
  accept_all ()
  {
    int fd;
    while ((fd = accept4 (fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0)
      {
        int one = 1;
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::lock_guard<std::mutex> lock (mutex_);
        open_.push_back (fd);
        threads_.emplace_back ([this, fd] {
          Socket socket (fd);
          serve_ (socket);
          std::lock_guard<std::mutex> inner (mutex_);
          open_.erase (std::remove (open_.begin (), open_.end (), fd),
                       open_.end ());
        });
      }
  }

  std::function<void (Socket &)> serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}

#endif
