// A target whose responses depend only on the id of the request, so that
// callers can check them, and which misbehaves with configurable
// probabilities.

#ifndef TESTS_SOAK_TARGET_H
#define TESTS_SOAK_TARGET_H

#include "book.h"
#include "proxy.h"

namespace soak
{

// What a stalled stream sends now and then.
const char *const kComment = ":\n\n";

inline size_t
hash_id (const std::string &id)
{
  return std::hash<std::string> () (id);
}

// The body of the response to a request without events.
inline std::string
expected_body (const std::string &id)
{
  std::string body = "answer to " + id + " ";
  return body + std::string (hash_id (id) % 40000, 'a' + hash_id (id) % 26);
}

inline int
expected_event_count (const std::string &id)
{
  return 3 + static_cast<int> (hash_id (id) % 15);
}

inline std::string
expected_event (const std::string &id, int number)
{
  return "id: " + std::to_string (number) + "\ndata: " + id + " "
         + std::to_string (number) + "\n\n";
}

class Target
{
public:
  // The target is cold for COLD_MS from now on.
  Target (History &history, std::string id, std::string service,
          std::string zone, int cold_ms)
      : history_ (history), id_ (std::move (id)),
        service_ (std::move (service)), zone_ (std::move (zone)),
        cold_until_ms_ (wire::now_ms () + cold_ms),
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

  const std::string &
  zone () const
  {
    return zone_;
  }

  void
  turn_cold (int cold_ms)
  {
    cold_until_ms_ = wire::now_ms () + cold_ms;
  }

  // The target's entry in the platform's store, with ADDRESS.
  std::string
  entry (const std::string &address, const std::string &state) const
  {
    return "{\"service\":\"" + service_ + "\",\"address\":\"" + address
           + "\",\"zone\":\"" + zone_ + "\",\"cold_remaining_ms\":"
           + std::to_string (cold_ms ()) + ",\"slots\":16,\"state\":\"" + state
           + "\",\"born\":" + std::to_string (born_) + ",\"sequence\":1}";
  }

  // Probabilities of faults per request, in percent.
  std::atomic<int> refuse_percent{ 0 };
  std::atomic<int> error_percent{ 0 };
  std::atomic<int> cut_percent{ 0 };
  // The response has the id of another request.
  std::atomic<int> wrong_id_percent{ 0 };
  // Bytes follow the complete response.
  std::atomic<int> extra_bytes_percent{ 0 };
  // The request is executed, and the connection reset in place of a response.
  std::atomic<int> reset_percent{ 0 };
  // The request is executed, but no response is sent.
  std::atomic<int> silent_percent{ 0 };
  // Requests are refused for the next second, with Retry-After.
  std::atomic<int> pause_percent{ 0 };
  // The request is executed; the head of the response never ends.
  std::atomic<int> endless_percent{ 0 };
  // The stream goes on with bytes that complete no event, and never ends.
  std::atomic<int> drip_percent{ 0 };
  // The request is executed; what is sent is no response.
  std::atomic<int> invalid_percent{ 0 };
  // All responses have Server-Leaving.
  std::atomic<bool> says_leaving{ false };
  // The link from the routers.
  std::atomic<const Proxy *> link{ nullptr };

private:
  // Requests that a silent link held back arrive within this time of its end.
  static constexpr int kHeldMs = 200;

  static constexpr const char *kStreamFields
      = "X-Response-Signature: s\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";

  bool
  happens (int percent)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return static_cast<int> ((random_ >> 33) % 100) < percent;
  }

  std::string
  head (const std::string &id, const std::string &status,
        const std::string &extra_fields)
  {
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id
           + "\r\nX-Server-Load: " + std::to_string (running_) + ",0,16"
           + slowness () + "\r\n" + remaining_cold ()
           + (says_leaving ? "Server-Leaving: 1\r\n" : "") + extra_fields;
  }

  // The fourth figure of the load, which half of the targets state.
  std::string
  slowness ()
  {
    return states_all () ? (happens (15) ? ",250" : ",100") : "";
  }

  // Half of the targets state also what is as usual.
  bool
  states_all () const
  {
    return hash_id (id_) % 2 == 0;
  }

  int64_t
  cold_ms () const
  {
    return std::max<int64_t> (0, cold_until_ms_ - wire::now_ms ());
  }

  std::string
  remaining_cold () const
  {
    int64_t ms = cold_ms ();
    return ms > 0 || states_all ()
               ? "X-Cold-Remaining: " + std::to_string (ms) + "\r\n"
               : "";
  }

  // Records that request ID arrived, unless it may have been sent much earlier
  // on a link that was silent.
  void
  record_arrival (const std::string &id)
  {
    const Proxy *proxy = link;
    int64_t now = wire::now_ms ();
    if (proxy != nullptr && now > proxy->silent_until_ms + kHeldMs)
      history_.add (Arrival{ id, id_, zone_, now - proxy->delay_ms });
  }

  // Sends what is no response to request ID, and keeps the connection open.
  bool
  send_invalid (wire::Socket &socket, const std::string &id)
  {
    static const char *const statuses[]
        = { "000 Odd", "099 Odd", "101 Odd", "600 Odd",
            "700 Odd", "2000 OK", "2x0 OK",  "200 OK\r\nContent-Length: 1" };
    std::string text = head (id, statuses[hash_id (id) % 8],
                             "X-Response-Signature: s\r\n"
                             "Content-Length: 7\r\n\r\ninvalid");
    return socket.send (text);
  }

  bool
  reject (wire::Socket &socket, const std::string &id,
          const std::string &status, const std::string &extra_fields = "")
  {
    return socket.send (head (
        id, status,
        extra_fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
  }

  void
  serve (wire::Socket &socket)
  {
    for (;;)
      {
        wire::Message request = socket.read (100000);
        if (!request.is_complete)
          return;
        std::string id = request.field ("x-request-id");
        bool keep_alive;
        bool is_misdirected = request.field ("x-expect-instance") != id_;
        if (!is_misdirected)
          record_arrival (id);
        if (is_misdirected)
          keep_alive = reject (socket, id, "421 Misdirected Request");
        else if (happens (refuse_percent))
          keep_alive = reject (socket, id, "503 Service Unavailable");
        else if (happens (pause_percent))
          keep_alive = reject (socket, id, "503 Service Unavailable",
                               "Retry-After: 1\r\n");
        else
          keep_alive = execute (socket, request, id);
        if (!keep_alive)
          return;
      }
  }

  bool
  execute (wire::Socket &socket, const wire::Message &request,
           const std::string &id)
  {
    std::string path
        = request.start_line.substr (request.start_line.find ('/') + 1);
    path = path.substr (0, path.find ('/'));
    bool is_reset = happens (reset_percent);
    bool is_silent = !is_reset && happens (silent_percent);
    bool has_wrong_id = happens (wrong_id_percent);
    bool is_cut = happens (cut_percent);
    bool is_error = happens (error_percent);
    bool is_endless = happens (endless_percent);
    bool is_invalid = happens (invalid_percent);
    bool is_drip
        = happens (drip_percent) && (path == "chat" || path == "talk");
    history_.add (Execution{
        id, path, service_, id_, request.field ("x-tenant"), wire::now_ms (),
        is_reset || is_silent || has_wrong_id || is_cut || is_error
            || is_endless || is_invalid || is_drip,
        says_leaving });
    running_++;
    bool keep_alive = false;
    if (is_reset)
      socket.reset ();
    else if (is_silent)
      socket.closes_within (8000);
    else if (is_error)
      keep_alive = send_body (socket, id, "500 Internal Server Error", false);
    else if (is_invalid)
      keep_alive = send_invalid (socket, id);
    else if (is_endless)
      send_without_end (socket, head (id, "200 OK", "X-Long: "),
                        std::string (1000, 'a'), 0);
    else if (is_drip)
      send_without_end (socket, head (id, "200 OK", kStreamFields),
                        chunk (kComment), 100);
    else if (path == "chat" || path == "talk")
      keep_alive = send_stream (socket, request, has_wrong_id ? "other" : id,
                                id, is_cut);
    else
      {
        std::this_thread::sleep_for (
            std::chrono::milliseconds (5 + hash_id (id) % 60));
        keep_alive = send_body (socket, has_wrong_id ? "other" : id, "200 OK",
                                is_cut);
      }
    running_--;
    return keep_alive;
  }

  bool
  send_body (wire::Socket &socket, const std::string &id,
             const std::string &status, bool is_cut)
  {
    std::string body = expected_body (id);
    std::string text = head (id, status,
                             "X-Response-Signature: s\r\nContent-Length: "
                                 + std::to_string (body.size ()) + "\r\n\r\n");
    if (is_cut)
      {
        socket.send (text + body.substr (0, body.size () / 2));
        socket.reset ();
        return false;
      }
    if (happens (extra_bytes_percent))
      body += text + body;
    return socket.send (text + body);
  }

  // Sends BEGIN, then PART every PAUSE_MS until the connection is closed.
  static void
  send_without_end (wire::Socket &socket, const std::string &begin,
                    const std::string &part, int pause_ms)
  {
    if (!socket.send (begin))
      return;
    while (socket.send (part))
      std::this_thread::sleep_for (std::chrono::milliseconds (pause_ms));
  }

  static std::string
  chunk (const std::string &data)
  {
    char size[16];
    snprintf (size, sizeof size, "%zx\r\n", data.size ());
    return size + data + "\r\n";
  }

  bool
  send_stream (wire::Socket &socket, const wire::Message &request,
               const std::string &response_id, const std::string &id,
               bool is_cut)
  {
    std::string last_event_id = request.field ("last-event-id");
    int from = last_event_id.empty () ? 1 : std::stoi (last_event_id) + 1;
    int count = expected_event_count (id);
    socket.send (head (response_id, "200 OK", kStreamFields));
    for (int i = from; i <= count; i++)
      {
        std::string event = expected_event (id, i);
        if (is_cut && i > (from + count) / 2)
          {
            socket.send (chunk (event.substr (0, event.size () / 2)));
            socket.reset ();
            return false;
          }
        if (!socket.send (chunk (event)))
          return false;
        std::this_thread::sleep_for (
            std::chrono::milliseconds (hash_id (id) % 25));
      }
    return socket.send (chunk (""));
  }

  History &history_;
  std::string id_;
  std::string service_;
  std::string zone_;
  std::atomic<int64_t> cold_until_ms_;
  int64_t born_;
  std::mutex mutex_;
  uint64_t random_ = hash_id (id_);
  std::atomic<int> running_{ 0 };
  wire::Server server_; // declared last: its threads use the other members
};

}

#endif
