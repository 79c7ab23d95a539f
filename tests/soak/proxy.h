// A loopback proxy that harms the connections that pass through it.

#ifndef TESTS_SOAK_PROXY_H
#define TESTS_SOAK_PROXY_H

#include <list>

#include "../router/wire.h"

namespace soak
{

class Proxy
{
public:
  // Forwards to BACKEND, a port of this machine.
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

  // Connections that come from now on lead to another port.
  void
  lead_to (int backend)
  {
    backend_ = backend;
  }

  // Bytes wait so long before they are passed on.
  std::atomic<int> delay_ms{ 0 };
  // Nothing is passed on, in either direction or in one, until it is over;
  // the connections stay open.
  std::atomic<bool> silent{ false };
  std::atomic<bool> silent_forward{ false };
  std::atomic<bool> silent_back{ false };
  // Connections that are open, or come, are reset.
  std::atomic<bool> reset_all{ false };
  // Connections that were opened before this time never pass on again.
  std::atomic<int64_t> dead_before{ 0 };

private:
  static constexpr int kLookMs = 5; // between two looks at the faults

  struct Part
  {
    int64_t due;
    std::string bytes;
  };

  struct Way
  {
    int from;
    int to;
    bool ended = false;
    std::list<Part> parts = {};
  };

  bool
  holds (bool forward, int64_t opened) const
  {
    return silent || (forward ? silent_forward : silent_back)
           || opened < dead_before;
  }

  // Reads what has come; false at the end of the connection.
  bool
  take (Way &way) const
  {
    char bytes[16384];
    ssize_t got = recv (way.from, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0)
      way.parts.push_back (
          { wire::now_ms () + delay_ms, std::string (bytes, (size_t)got) });
    if (got == 0)
      way.ended = true;
    return got >= 0 || errno == EAGAIN || errno == EINTR;
  }

  // Passes on what is due; false when the other side is gone.
  static bool
  pass (Way &way)
  {
    while (!way.parts.empty () && way.parts.front ().due <= wire::now_ms ())
      {
        Part &part = way.parts.front ();
        ssize_t sent = ::send (way.to, part.bytes.data (), part.bytes.size (),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
          return errno == EAGAIN || errno == EINTR;
        part.bytes.erase (0, (size_t)sent);
        if (part.bytes.empty ())
          way.parts.pop_front ();
      }
    if (way.ended && way.parts.empty ())
      shutdown (way.to, SHUT_WR);
    return true;
  }

  void
  serve (wire::Socket &near)
  {
    wire::Socket far (wire::Socket::connect_to (backend_));
    int64_t opened = wire::now_ms ();
    if (!far.is_open ())
      {
        near.reset ();
        return;
      }
    Way ways[2] = { { near.fd (), far.fd () }, { far.fd (), near.fd () } };
    while (!reset_all && !server_.is_stopping ())
      {
        pollfd wait[2]
            = { { near.fd (), POLLIN, 0 }, { far.fd (), POLLIN, 0 } };
        bool quiet = ways[0].ended || ways[1].ended;
        /* An ended side is always readable.  */
        if (quiet)
          std::this_thread::sleep_for (std::chrono::milliseconds (1));
        poll (wait, 2, kLookMs);
        bool sound = true;
        for (int i = 0; i < 2 && sound; i++)
          if (!holds (i == 0, opened))
            sound = (ways[i].ended || take (ways[i])) && pass (ways[i]);
        if (!sound)
          break;
        if (ways[0].ended && ways[1].ended && ways[0].parts.empty ()
            && ways[1].parts.empty ())
          return;
        if (holds (true, opened) || holds (false, opened))
          std::this_thread::sleep_for (std::chrono::milliseconds (kLookMs));
      }
    near.reset ();
    far.reset ();
  }

  std::atomic<int> backend_;
  wire::Server server_; // last: its threads use the rest
};

}

#endif
