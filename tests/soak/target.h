// A target that answers each request by what the request's id asks for, and
// misbehaves with set odds.

#ifndef TESTS_SOAK_TARGET_H
#define TESTS_SOAK_TARGET_H

#include "book.h"
#include "proxy.h"

namespace soak
{

inline size_t
number_of (const std::string &id)
{
  return std::hash<std::string> () (id);
}

// The whole answer to a plain request.
inline std::string
body_of (const std::string &id)
{
  std::string body = "answer to " + id + " ";
  return body
         + std::string (number_of (id) % 40000, 'a' + number_of (id) % 26);
}

inline int
events_of (const std::string &id)
{
  return 3 + static_cast<int> (number_of (id) % 15);
}

inline std::string
event_of (const std::string &id, int number)
{
  return "id: " + std::to_string (number) + "\ndata: " + id + " "
         + std::to_string (number) + "\n\n";
}

class Target
{
public:
  Target (Book &book, std::string id, std::string service)
      : book_ (book), id_ (std::move (id)), service_ (std::move (service)),
        born_ (1000 + wire::now_ms ()),
        server_ ([this] (wire::Socket &socket) { serve (socket); })
  {
  }

  ~Target () { server_.stop (); }

  int
  port () const
  {
    return server_.port ();
  }

  const std::string &
  id () const
  {
    return id_;
  }

  const std::string &
  service () const
  {
    return service_;
  }

  // The entry in the platform's list, at ADDRESS.
  std::string
  entry (const std::string &address, const std::string &state) const
  {
    return "{\"service\":\"" + service_ + "\",\"address\":\"" + address
           + "\",\"zone\":\"a\",\"slots\":16,\"state\":\"" + state
           + "\",\"born\":" + std::to_string (born_) + ",\"sequence\":1}";
  }

  // Odds in percent.
  std::atomic<int> refuse{ 0 };
  std::atomic<int> error{ 0 };
  std::atomic<int> cut{ 0 };
  std::atomic<int> swap{ 0 };  // the answer bears another id
  std::atomic<int> extra{ 0 }; // bytes after a whole answer
  std::atomic<int> lost{ 0 };  // runs, and resets in place of an answer
  std::atomic<int> mute{ 0 };  // runs, and never answers

private:
  bool
  draw (int percent)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<int> ((random_ >> 33) % 100) < percent;
  }

  std::string
  head (const std::string &id, const std::string &status,
        const std::string &more)
  {
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id
           + "\r\nX-Server-Load: " + std::to_string (running_) + ",0,16\r\n"
           + more;
  }

  bool
  reject (wire::Socket &socket, const std::string &id,
          const std::string &status)
  {
    return socket.send (
        head (id, status, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
  }

  void
  serve (wire::Socket &socket)
  {
    for (;;)
      {
        wire::Message request = socket.read (100000);
        if (!request.whole)
          return;
        std::string id = request.field ("x-request-id");
        bool goes_on;
        if (request.field ("x-expect-instance") != id_)
          goes_on = reject (socket, id, "421 Misdirected Request");
        else if (draw (refuse))
          goes_on = reject (socket, id, "503 Service Unavailable");
        else
          goes_on = run (socket, request, id);
        if (!goes_on)
          return;
      }
  }

  bool
  run (wire::Socket &socket, const wire::Message &request,
       const std::string &id)
  {
    std::string path = request.start.substr (request.start.find ('/') + 1);
    path = path.substr (0, path.find ('/'));
    bool is_lost = draw (lost);
    bool is_mute = !is_lost && draw (mute);
    bool is_wrong = draw (swap);
    bool is_cut = draw (cut);
    bool is_error = draw (error);
    book_.add (Run{ id, path, service_, id_, request.field ("x-tenant"),
                    wire::now_ms (),
                    is_lost || is_mute || is_wrong || is_cut || is_error });
    running_++;
    bool goes_on = false;
    if (is_lost)
      socket.reset ();
    else if (is_mute)
      socket.ends_within (8000);
    else if (is_error)
      goes_on = plain (socket, id, "500 Internal Server Error", false);
    else if (path == "chat" || path == "talk")
      goes_on = stream (socket, request, is_wrong ? "other" : id, id, is_cut);
    else
      {
        std::this_thread::sleep_for (
            std::chrono::milliseconds (5 + number_of (id) % 60));
        goes_on = plain (socket, is_wrong ? "other" : id, "200 OK", is_cut);
      }
    running_--;
    return goes_on;
  }

  bool
  plain (wire::Socket &socket, const std::string &id,
         const std::string &status, bool is_cut)
  {
    std::string body = body_of (id);
    std::string text = head (id, status,
                             "X-Response-Signature: s\r\nContent-Length: "
                                 + std::to_string (body.size ()) + "\r\n\r\n");
    if (is_cut)
      {
        socket.send (text + body.substr (0, body.size () / 2));
        socket.reset ();
        return false;
      }
    if (draw (extra))
      body += text + body;
    return socket.send (text + body);
  }

  static std::string
  chunk (const std::string &data)
  {
    char size[16];
    snprintf (size, sizeof size, "%zx\r\n", data.size ());
    return size + data + "\r\n";
  }

  bool
  stream (wire::Socket &socket, const wire::Message &request,
          const std::string &answered, const std::string &id, bool is_cut)
  {
    std::string last = request.field ("last-event-id");
    int from = last.empty () ? 1 : std::stoi (last) + 1;
    int count = events_of (id);
    socket.send (head (answered, "200 OK",
                       "X-Response-Signature: s\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"));
    for (int i = from; i <= count; i++)
      {
        std::string event = event_of (id, i);
        if (is_cut && i > (from + count) / 2)
          {
            socket.send (chunk (event.substr (0, event.size () / 2)));
            socket.reset ();
            return false;
          }
        if (!socket.send (chunk (event)))
          return false;
        std::this_thread::sleep_for (
            std::chrono::milliseconds (number_of (id) % 25));
      }
    return socket.send (chunk (""));
  }

  Book &book_;
  std::string id_;
  std::string service_;
  int64_t born_;
  std::mutex mutex_;
  uint64_t random_ = number_of (id_);
  std::atomic<int> running_{ 0 };
  wire::Server server_; // last: its threads use the rest
};

}

#endif
