// Streams of engines of two software versions, and callers that take them up.

#ifndef REVIEW_LIB_3_VERSIONS_H
#define REVIEW_LIB_3_VERSIONS_H

#include "engines.h"

namespace review
{

// A stream as its requester gets it, over all of its tries.
struct Stream
{
  std::string first_id;
  std::string shared_part = "aa"; // of its prompt
  std::string last_id;
  std::vector<std::string> events;
  int takeups = 0;
  int last_status = 0;
  bool is_complete = false;

  std::set<std::string>
  versions () const
  {
    std::set<std::string> found;
    for (auto &event : events)
      found.insert (event.substr (event.find ("data: ") + 6, 2));
    return found;
  }
};

// Sends the events that follow Last-Event-Id, COUNT in all, each with VERSION.
inline bool
send_stream (wire::Socket &socket, const wire::Message &message,
             const std::string &version, int count, int pause_ms)
{
  std::string last = message.field ("last-event-id");
  socket.send (Target::signed_head (message, "200 OK",
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"));
  for (int i = last.empty () ? 1 : std::stoi (last) + 1; i <= count; i++)
    {
      if (!socket.send (Target::chunk ("id: " + std::to_string (i)
                                       + "\ndata: " + version + " token "
                                       + std::to_string (i) + "\n\n")))
        return false;
      sleep_ms (pause_ms);
    }
  return socket.send (Target::chunk (""));
}

// Reads a response as it arrives, at most until UNTIL_MS or until no event has
// arrived for PATIENCE_MS.
inline void
read_stream (wire::Socket &socket, Stream &stream, int64_t until_ms,
             int64_t patience_ms, double *retry_after_s)
{
  std::string bytes;
  int64_t last_event_ms = wire::now_ms ();
  size_t before = stream.events.size ();
  *retry_after_s = 0;
  for (;;)
    {
      int64_t now = wire::now_ms ();
      int64_t wait = std::min (until_ms, last_event_ms + patience_ms) - now;
      if (wait <= 0)
        return;
      bool got
          = socket.fill (static_cast<int> (std::min<int64_t> (wait, 100)));
      bytes = socket.buffered ();
      size_t head_end = bytes.find ("\r\n\r\n");
      if (head_end != std::string::npos)
        {
          stream.last_status = std::atoi (bytes.c_str () + 9);
          size_t retry = wire::lower (bytes.substr (0, head_end))
                             .find ("\r\nretry-after: ");
          if (retry != std::string::npos)
            *retry_after_s = std::atof (bytes.c_str () + retry + 15);
          if (stream.last_status != 200)
            return;
          // The chunks, as far as they are whole.
          std::string body;
          size_t at = head_end + 4;
          bool is_complete = false;
          for (;;)
            {
              size_t end = bytes.find ("\r\n", at);
              if (end == std::string::npos)
                break;
              size_t size
                  = std::stoul (bytes.substr (at, end - at), nullptr, 16);
              if (bytes.size () < end + 2 + size + 2)
                break;
              body += bytes.substr (end + 2, size);
              at = end + 2 + size + 2;
              if (size == 0)
                {
                  is_complete = true;
                  break;
                }
            }
          auto events = events_of (body);
          if (before + events.size () > stream.events.size ())
            last_event_ms = wire::now_ms ();
          stream.events.resize (before);
          stream.events.insert (stream.events.end (), events.begin (),
                                events.end ());
          if (is_complete)
            {
              stream.is_complete = true;
              return;
            }
        }
      if (!got && socket.closes_within (0))
        return;
    }
}

// Sends the stream's request to PORT, or takes it up there if it has events.
inline double
ask_stream (int port, Stream &stream, const std::string &id, int64_t until_ms,
            int64_t patience_ms)
{
  double retry_after_s = 0;
  std::string fields
      = "X-Model: m\r\nX-Token-Usage: 60,400\r\nX-Prompt-Prefix: "
        + stream.shared_part + ":40,"
        + std::to_string (1000
                          + std::hash<std::string>{}(stream.first_id) % 100000)
        + ":20\r\n";
  int64_t left = until_ms - wire::now_ms ();
  if (left <= 0)
    return 0;
  if (!stream.events.empty ())
    {
      const std::string &event = stream.events.back ();
      fields += "Last-Event-Id: " + event.substr (4, event.find ('\n') - 4)
                + "\r\nResumes: " + stream.first_id + "\r\n";
      stream.takeups++;
    }
  stream.last_id = id;
  stream.last_status = 0;
  wire::Socket socket (wire::Socket::connect_to (port));
  if (!socket.is_open ())
    return 0;
  socket.send (request_text ("POST", "/chat/x", id, fields, "prompt",
                             static_cast<int> (left)));
  read_stream (socket, stream, until_ms, patience_ms, &retry_after_s);
  return retry_after_s;
}

inline std::string
chat_config ()
{
  return "{\"version\":1,\"routes\":[{\"name\":\"chat\",\"host\":"
         "\"h.example\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\","
         "\"service\":\"pool\",\"target_latency_ms\":600,"
         "\"target_gap_ms\":300,\"max_attempts\":2,\"timeout_ms\":12000,"
         "\"stream_resume\":true,\"session_affinity\":true}],\"services\":[{"
         "\"name\":\"pool\",\"health_path\":\"/h\",\"engine\":{\"slots\":64}}"
         "],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"acme\","
         "\"api_keys\":[\"k1\"]}]}";
}

}

#endif
