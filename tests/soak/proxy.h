// A loopback TCP proxy that injects faults into the connections through it.

#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <list>

#include "../router/wire.h"

namespace soak
{

class Proxy
{
public:
  // Forwards to BACKEND, a port on the loopback interface.
  explicit Proxy (int backend)
      : backend_ (backend),
        server_ ([this] (wire::Socket &socket) { serve (socket); })
  {
  }

  ~Proxy ()
  {
    reset_all = true;
    server_.stop ();
  }

  std::string
  address () const
  {
    return server_.address ();
  }

  // Sets the port to which new connections are forwarded.
  void
  set_backend (int backend)
  {
    backend_ = backend;
  }

  // Bytes are forwarded after this delay.
  std::atomic<int> delay_ms{ 0 };
  // While set, nothing is forwarded, in both directions or in one; the
  // connections stay open.
  std::atomic<bool> silent{ false };
  std::atomic<bool> silent_forward{ false };
  std::atomic<bool> silent_backward{ false };
  // While set, open and new connections are reset.
  std::atomic<bool> reset_all{ false };
  // Connections that were opened before this time forward nothing any more,
  // but stay open.
  std::atomic<int64_t> dropped_before_ms{ 0 };
  // Time at which requests were last held back by silence.
  std::atomic<int64_t> silent_until_ms{ 0 };

private:
  static constexpr int kPollMs = 5; // interval of checks for faults

  struct Chunk
  {
    int64_t due_ms;
    std::string bytes;
  };

  struct Direction
  {
    int from;
    int to;
    bool ended = false;
    std::list<Chunk> chunks = {};
  };

  bool
  is_blocked (bool forward, int64_t opened_ms) const
  {
    return silent || (forward ? silent_forward : silent_backward)
           || opened_ms < dropped_before_ms;
  }

  // Receives the available bytes.  Returns false if the connection failed.
  bool
  receive (Direction &direction) const
  {
    char bytes[16384];
    ssize_t received
        = recv (direction.from, bytes, sizeof bytes, MSG_DONTWAIT);
    if (received > 0)
      direction.chunks.push_back ({ wire::now_ms () + delay_ms,
                                    std::string (bytes, (size_t)received) });
    if (received == 0)
      direction.ended = true;
    return received >= 0 || errno == EAGAIN || errno == EINTR;
  }

  // Sends the bytes that are due.  Returns false if the connection failed.
  static bool
  forward_due (Direction &direction)
  {
    while (!direction.chunks.empty ()
           && direction.chunks.front ().due_ms <= wire::now_ms ())
      {
        Chunk &chunk = direction.chunks.front ();
        ssize_t sent
            = ::send (direction.to, chunk.bytes.data (), chunk.bytes.size (),
                      MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
          return errno == EAGAIN || errno == EINTR;
        chunk.bytes.erase (0, (size_t)sent);
        if (chunk.bytes.empty ())
          direction.chunks.pop_front ();
      }
    if (direction.ended && direction.chunks.empty ())
      shutdown (direction.to, SHUT_WR);
    return true;
  }

  void
  serve (wire::Socket &client)
  {
    wire::Socket backend (wire::Socket::connect_to (backend_));
    int64_t opened_ms = wire::now_ms ();
    if (!backend.is_open ())
      {
        client.reset ();
        return;
      }
    Direction directions[2]
        = { { client.fd (), backend.fd () }, { backend.fd (), client.fd () } };
    while (!reset_all && !server_.is_stopping ())
      {
        pollfd wait[2]
            = { { client.fd (), POLLIN, 0 }, { backend.fd (), POLLIN, 0 } };
        bool is_half_closed = directions[0].ended || directions[1].ended;
        /* A socket at its end of stream is always readable, so that poll
           returns at once.  */
        if (is_half_closed)
          std::this_thread::sleep_for (std::chrono::milliseconds (1));
        poll (wait, 2, kPollMs);
        bool is_alive = true;
        for (int i = 0; i < 2 && is_alive; i++)
          if (!is_blocked (i == 0, opened_ms))
            is_alive = (directions[i].ended || receive (directions[i]))
                       && forward_due (directions[i]);
        if (!is_alive)
          break;
        if (directions[0].ended && directions[1].ended
            && directions[0].chunks.empty () && directions[1].chunks.empty ())
          return;
        if (silent || silent_forward)
          silent_until_ms = wire::now_ms ();
        if (is_blocked (true, opened_ms) || is_blocked (false, opened_ms))
          std::this_thread::sleep_for (std::chrono::milliseconds (kPollMs));
      }
    client.reset ();
    backend.reset ();
  }

  std::atomic<int> backend_;
  wire::Server server_; // declared last: its threads use the other members
};

}

#endif
