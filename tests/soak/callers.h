// Callers that send requests of all kinds, mostly on persistent connections,
// and check each response.

#ifndef TESTS_SOAK_CALLERS_H
#define TESTS_SOAK_CALLERS_H

#include <memory>
#include <random>

#include "target.h"

namespace soak
{

// Returns the error in the response to a request without events, or "".
inline std::string
check_body (const Request &request, const wire::Message &response)
{
  std::string expected = expected_body (request.id);
  if (response.is_complete && response.body != expected)
    return "the body differs from the target's";
  if (!response.is_complete
      && expected.compare (0, response.body.size (), response.body) != 0)
    return "the partial body differs from the target's";
  return "";
}

// Returns BODY without the comments of a stalled target, which are passed on.
inline std::string
without_comments (std::string body)
{
  for (size_t at; (at = body.find (kComment)) != std::string::npos;)
    body.erase (at, std::string (kComment).size ());
  return body;
}

// Events must arrive in order from the first, each once; a complete stream has
// all of them.  Returns the error or "".
inline std::string
check_stream (const Request &request, const wire::Message &response)
{
  std::string expected;
  int count = expected_event_count (request.id);
  for (int i = 1; i <= count; i++)
    expected += expected_event (request.id, i);
  std::string body = without_comments (response.body);
  if (expected.compare (0, body.size (), body) != 0)
    return "an event is wrong, missing or duplicated";
  if (response.is_complete && body.size () != expected.size ())
    return "the stream is complete without its last event";
  return "";
}

inline std::string
check_response (const Request &request, const wire::Message &response)
{
  if (response.start_line.empty ())
    return "";
  if (response.status () < 200 || response.status () > 599)
    return "the status is invalid";
  if (response.status () >= 300)
    return "";
  if (response.field ("x-request-id") != request.id)
    return "the response has the id of another request";
  if (!request.is_signed)
    return "a successful response has no signature";
  bool is_stream
      = request.kind == RequestKind::chat || request.kind == RequestKind::talk;
  return is_stream ? check_stream (request, response)
                   : check_body (request, response);
}

class Callers
{
public:
  // The incarnation of a router that accepts a request, and its port.
  struct Endpoint
  {
    int router;
    int incarnation;
    int port;
  };
  // The load balancer: prefers ROUTER, and returns another one if that is out
  // of rotation.
  using Balancer = std::function<Endpoint (int router)>;

  Callers (History &history, int routers, Balancer balancer, uint64_t seed)
      : history_ (history), routers_ (routers),
        balancer_ (std::move (balancer)), seed_ (seed)
  {
  }

  void
  start (int count)
  {
    for (int i = 0; i < count; i++)
      threads_.emplace_back ([this, i] { run_caller (i); });
  }

  void
  stop ()
  {
    stopping_ = true;
    for (auto &thread : threads_)
      thread.join ();
    threads_.clear ();
  }

private:
  struct Connection
  {
    std::unique_ptr<wire::Socket> socket;
    int incarnation = 0;
    int64_t last_used_ms = 0;
  };

  // Connections that were idle for longer aren't used again: four fifths of
  // the configuration's idle_timeout_ms, as callers are told to.
  static constexpr int kIdleMs = 720;

  void
  run_caller (int number)
  {
    std::mt19937_64 random (seed_ * 1000 + number);
    std::vector<Connection> connections (routers_);
    for (int i = 0; !stopping_; i++)
      {
        Endpoint endpoint
            = balancer_ (static_cast<int> (random () % routers_));
        Request request = {};
        request.id = "c" + std::to_string (number) + "-" + std::to_string (i);
        request.kind = static_cast<RequestKind> (random () % 5);
        request.router = endpoint.router;
        request.incarnation = endpoint.incarnation;
        send_request (connections[endpoint.router], endpoint, request);
        std::this_thread::sleep_for (
            std::chrono::milliseconds (random () % 40));
      }
  }

  void
  send_request (Connection &connection, const Endpoint &endpoint,
                Request &request)
  {
    if (connection.socket == nullptr
        || connection.incarnation != endpoint.incarnation
        || wire::now_ms () > connection.last_used_ms + kIdleMs)
      connection.socket = std::make_unique<wire::Socket> (
          wire::Socket::connect_to (endpoint.port));
    connection.incarnation = endpoint.incarnation;
    request.sent_ms = wire::now_ms ();
    if (!connection.socket->is_open ()
        || !connection.socket->send (serialise (request)))
      {
        connection.socket.reset ();
        return; // the router accepted nothing of this request
      }
    wire::Message response = connection.socket->read (5000);
    request.ended_ms = wire::now_ms ();
    request.status = response.status ();
    request.is_complete = response.is_complete;
    request.closed_without_response = response.start_line.empty ();
    request.is_signed = !response.field ("x-response-signature").empty ();
    request.response_error = check_response (request, response);
    if (!response.is_complete || response.field ("connection") == "close")
      connection.socket.reset ();
    connection.last_used_ms = request.ended_ms;
    history_.add (request);
  }

  static std::string
  serialise (const Request &request)
  {
    bool has_body = request.kind != RequestKind::safe;
    std::string text = std::string (has_body ? "POST /" : "GET /")
                       + route_path (request.kind)
                       + "/x HTTP/1.1\r\nHost: h.example\r\nX-Key: k1\r\n"
                         "X-Deadline: 4000\r\nX-Request-Id: "
                       + request.id + "\r\n";
    return text + (has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
  }

  History &history_;
  int routers_;
  Balancer balancer_;
  uint64_t seed_;
  std::atomic<bool> stopping_{ false };
  std::vector<std::thread> threads_;
};

}

#endif
