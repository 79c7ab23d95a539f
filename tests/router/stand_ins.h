// Stand-ins for the router's environment: the platform's object store, and
// targets that can be made to misbehave.

#ifndef TESTS_ROUTER_STAND_INS_H
#define TESTS_ROUTER_STAND_INS_H

#include <condition_variable>

#include "wire.h"

// The platform's object store: objects by kind and name with one revision
// counter, list and watch calls, and conditional writes.
class Store
{
public:
  Store () : server_ ([this] (wire::Socket &socket) { serve (socket); }) {}

  ~Store ()
  {
    {
      std::lock_guard<std::mutex> lock (mutex_);
      stopping_ = true;
    }
    changed_.notify_all ();
    server_.stop ();
  }

  std::string
  address () const
  {
    return server_.address ();
  }

  void
  put (const std::string &kind, const std::string &name,
       const std::string &spec)
  {
    {
      std::lock_guard<std::mutex> lock (mutex_);
      objects_[kind][name] = { ++revision_, spec };
      history_.push_back ({ revision_, kind, name, false });
    }
    changed_.notify_all ();
  }

  void
  remove (const std::string &kind, const std::string &name)
  {
    {
      std::lock_guard<std::mutex> lock (mutex_);
      objects_[kind].erase (name);
      history_.push_back ({ ++revision_, kind, name, true });
    }
    changed_.notify_all ();
  }

  size_t
  count (const std::string &kind)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return objects_[kind].size ();
  }

  std::string
  spec (const std::string &kind, const std::string &name)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    auto at = objects_[kind].find (name);
    return at == objects_[kind].end () ? "" : at->second.spec;
  }

  struct Object
  {
    uint64_t revision;
    std::string spec;
  };

  // A copy of the store, from which it can be restored.
  struct Copy
  {
    uint64_t revision;
    std::map<std::string, std::map<std::string, Object>> objects;
  };

  Copy
  copy ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return { revision_, objects_ };
  }

  // Begins a new era with the contents of COPY.  Watches in progress end with
  // 410, as do those from revisions that the store doesn't have.
  void
  restore (const Copy &copy)
  {
    {
      std::lock_guard<std::mutex> lock (mutex_);
      revision_ = copy.revision;
      objects_ = copy.objects;
      history_.clear ();
      oldest_watch_revision = revision_;
      era++;
    }
    changed_.notify_all ();
  }

  // Lists that may be old are taken from COPY from now on.
  void
  set_old_lists (const Copy &copy)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    old_objects_ = copy.objects;
    lists_old_ = true;
  }

  int
  port () const
  {
    return server_.port ();
  }

  // The next write by METHOD of an object whose kind and name begin with
  // PREFIX gets no response, nor does any later call on its connection.  It is
  // executed by execute_kept.
  void
  keep_write (const std::string &method, const std::string &prefix)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    kept_method_ = method;
    kept_prefix_ = prefix;
    is_kept_ = false;
  }

  bool
  has_kept ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return is_kept_;
  }

  // Returns the status of the write that was kept.  Revisions of an earlier
  // era may have been given out again: then its condition HOLDS.
  int
  execute_kept (bool holds = false)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (holds)
      kept_.revision.clear ();
    return execute (kept_).first;
  }

  // Responses to writes hold the object.
  std::atomic<bool> shows_written{ true };
  // Stated in all responses, unless 0.
  std::atomic<int> era{ 1 };
  // Calls are read but get no response; this includes watches in progress.
  std::atomic<bool> silent{ false };
  // If not 0, every call gets this status.
  std::atomic<int> error_status{ 0 };
  // Calls for this kind get status 503.  Set it before they are made.
  std::string refused_kind;
  // Likewise calls for targets, also while they are made.
  std::atomic<bool> refuses_targets{ false };
  // Number of calls that are still to be executed without a response; their
  // connections are closed.
  std::atomic<int> responses_to_drop{ 0 };
  // Watches from an earlier revision get status 410.
  std::atomic<uint64_t> oldest_watch_revision{ 0 };
  std::atomic<int> calls{ 0 };
  // Lists of configurations or targets that may not be old.
  std::atomic<int> full_lists{ 0 };
  // Likewise of blocked requests and parts.
  std::atomic<int> full_blocked_lists{ 0 };
  std::atomic<int> evacuation_lists{ 0 };
  // Objects in each page of a list; 0: all.
  std::atomic<size_t> page_size{ 0 };
  // Responses with the last page of a list of targets are made and held.
  std::atomic<bool> holds_lists{ false };
  std::atomic<int> held_lists{ 0 };

  uint64_t
  revision ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return revision_;
  }

private:
  struct Change
  {
    uint64_t revision;
    std::string kind;
    std::string name;
    bool deleted;
  };

  struct Write
  {
    std::string method;
    std::string kind;
    std::string name;
    std::string spec;
    std::string revision; // empty: none is required
  };

  std::string
  to_json (const std::string &name, const Object &object) const
  {
    return "{\"metadata\":{\"name\":\"" + name
           + "\",\"revision\":" + std::to_string (object.revision)
           + "},\"spec\":" + object.spec + "}";
  }

  void
  respond (wire::Socket &socket, int status, const std::string &body)
  {
    if (responses_to_drop > 0 && responses_to_drop-- > 0)
      shutdown (socket.fd (), SHUT_RDWR);
    else
      socket.send (
          "HTTP/1.1 " + std::to_string (status)
          + " X\r\nContent-Type: application/json\r\n"
          + (era == 0 ? "" : "Store-Era: " + std::to_string (era) + "\r\n")
          + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
          + body);
  }

  // The page of the objects whose names follow AFTER.
  std::string
  list (const std::string &kind, const std::string &after, bool &truncated)
  {
    std::string items;
    const auto &all = objects_[kind];
    auto entry = all.upper_bound (after);
    for (size_t count = 0;
         entry != all.end () && (page_size == 0 || count < page_size);
         count++, entry++)
      items += (items.empty () ? "" : ",")
               + to_json (entry->first, entry->second);
    truncated = entry != all.end ();
    return "{\"items\":[" + items
           + "],\"truncated\":" + (truncated ? "true" : "false")
           + ",\"current_rev\":" + std::to_string (revision_) + "}";
  }

  void
  hold_list ()
  {
    held_lists++;
    while (holds_lists && !stopping_)
      std::this_thread::sleep_for (std::chrono::milliseconds (5));
  }

  std::string
  events_since (const std::string &kind, uint64_t since)
  {
    std::string events;
    for (const auto &change : history_)
      {
        if (change.kind != kind || change.revision <= since)
          continue;
        auto at = objects_[kind].find (change.name);
        Object object = { change.revision, "null" };
        if (at != objects_[kind].end ())
          object.spec = at->second.spec;
        events += (events.empty () ? "" : ",") + std::string ("{\"deleted\":")
                  + (change.deleted ? "true" : "false")
                  + ",\"object\":" + to_json (change.name, object) + "}";
      }
    return events;
  }

  void
  watch (wire::Socket &socket, const std::string &kind, uint64_t since,
         int wait_ms)
  {
    std::unique_lock<std::mutex> lock (mutex_);
    std::string events;
    int64_t until = wire::now_ms () + wait_ms;
    int era_at_start = era;
    while (era == era_at_start
           && (events = events_since (kind, since)).empty () && !stopping_
           && wire::now_ms () < until)
      changed_.wait_for (lock, std::chrono::milliseconds (20));
    std::string body = "{\"events\":[" + events + "],\"current_rev\":"
                       + std::to_string (revision_) + "}";
    lock.unlock ();
    if (silent)
      return;
    int status = era != era_at_start ? 410 : error_status.load ();
    respond (socket, status != 0 ? status : 200, body);
  }

  static std::string
  query (const std::string &target, const std::string &name)
  {
    size_t at = target.find (name + "=");
    if (at == std::string::npos)
      return "";
    at += name.size () + 1;
    return decoded (target.substr (at, target.find ('&', at) - at));
  }

  static std::string
  decoded (const std::string &text)
  {
    std::string out;
    for (size_t i = 0; i < text.size (); i++)
      if (text[i] == '%')
        {
          out += static_cast<char> (
              std::stoi (text.substr (i + 1, 2), nullptr, 16));
          i += 2;
        }
      else
        out += text[i];
    return out;
  }

  void
  serve (wire::Socket &socket)
  {
    bool is_lost = false;
    while (!server_.is_stopping ())
      {
        wire::Message request = socket.read (100000);
        if (!request.is_complete)
          return;
        calls++;
        if (silent || is_lost)
          continue;
        if (error_status != 0)
          respond (socket, error_status, "{}");
        else
          is_lost = !serve_request (socket, request);
      }
  }

  // Returns whether the call gets a response.
  bool
  serve_request (wire::Socket &socket, const wire::Message &request)
  {
    size_t space = request.start_line.find (' ');
    std::string method = request.start_line.substr (0, space);
    std::string target = request.start_line.substr (
        space + 1, request.start_line.rfind (' ') - space - 1);
    std::string path = target.substr (0, target.find ('?'));
    std::string kind = path.substr (std::string ("/-/objects/").size ());
    std::string name;
    size_t slash = kind.find ('/');
    if (slash != std::string::npos)
      {
        name = decoded (kind.substr (slash + 1));
        kind = kind.substr (0, slash);
      }
    std::string since = query (target, "watch");
    if ((!refused_kind.empty () && kind == refused_kind)
        || (refuses_targets && kind == "servers"))
      respond (socket, 503, "{}");
    else if (method == "GET" && !since.empty ()
             && (std::stoull (since) < oldest_watch_revision
                 || std::stoull (since) > revision ()))
      respond (socket, 410, "{}");
    else if (method == "GET" && !since.empty ())
      watch (socket, kind, std::stoull (since),
             std::stoi (query (target, "wait_ms")));
    else if (method == "GET" && !name.empty ())
      {
        std::unique_lock<std::mutex> lock (mutex_);
        auto at = objects_[kind].find (name);
        bool exists = at != objects_[kind].end ();
        std::string body = exists ? to_json (name, at->second) : "{}";
        lock.unlock ();
        respond (socket, exists ? 200 : 404, body);
      }
    else if (method == "GET")
      {
        std::string body;
        bool truncated;
        if (query (target, "allow_stale").empty ())
          {
            full_blocked_lists += kind == "blockedparts";
            full_lists += kind != "routers" && kind != "blockedparts";
          }
        evacuation_lists += kind == "evacuations";
        {
          std::lock_guard<std::mutex> lock (mutex_);
          bool is_old = lists_old_ && !query (target, "allow_stale").empty ();
          if (is_old)
            objects_.swap (old_objects_);
          body = list (kind, query (target, "after"), truncated);
          if (is_old)
            objects_.swap (old_objects_);
        }
        if (kind == "servers" && holds_lists && !truncated)
          hold_list ();
        respond (socket, 200, body);
      }
    else
      return write (socket, method, kind, name, request.body,
                    query (target, "revision"));
    return true;
  }

  // Executes a PUT, POST or DELETE of an object; fails with 409 and the object
  // if that isn't at the revision of CALL.  Returns the status and the body of
  // the response.
  std::pair<int, std::string>
  execute (const Write &call)
  {
    auto &objects = objects_[call.kind];
    auto at = objects.find (call.name);
    bool exists = at != objects.end ();
    if (call.method == "POST"
            ? exists
            : exists && !call.revision.empty ()
                  && std::to_string (at->second.revision) != call.revision)
      return { 409, to_json (call.name, at->second) };
    if (!exists && call.method != "POST")
      return { 404, "{}" };
    if (call.method == "DELETE")
      {
        objects.erase (at);
        history_.push_back ({ ++revision_, call.kind, call.name, true });
      }
    else if (!exists || at->second.spec != call.spec)
      {
        objects[call.name] = { ++revision_, call.spec };
        history_.push_back ({ revision_, call.kind, call.name, false });
      }
    changed_.notify_all ();
    return { 200, call.method == "DELETE"
                      ? "{}"
                      : to_json (call.name, objects[call.name]) };
  }

  // Returns whether the call gets a response.
  bool
  write (wire::Socket &socket, const std::string &method,
         const std::string &kind, const std::string &name,
         const std::string &body, const std::string &revision)
  {
    Write call = { method, kind, name, "", revision };
    if (method != "DELETE")
      {
        size_t at = body.find ("\"name\":");
        size_t from = body.find ('"', at + 7) + 1;
        call.name = body.substr (from, body.find ('"', from) - from);
        size_t spec = body.find ("\"spec\":") + 7;
        call.spec = body.substr (spec, body.size () - spec - 1);
      }
    std::unique_lock<std::mutex> lock (mutex_);
    if (method == kept_method_
        && (kind + "/" + call.name).find (kept_prefix_) == 0)
      {
        kept_ = call;
        is_kept_ = true;
        kept_method_.clear ();
        return false;
      }
    auto response = execute (call);
    lock.unlock ();
    respond (socket, response.first, shows_written ? response.second : "{}");
    return true;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{ false };
  uint64_t revision_ = 10;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::map<std::string, std::map<std::string, Object>> old_objects_;
  bool lists_old_ = false;
  std::string kept_method_;
  std::string kept_prefix_;
  bool is_kept_ = false;
  Write kept_;
  std::vector<Change> history_;
  wire::Server server_; // declared last: its threads use the other members
};

// A target that handles each request with a script and records the requests.
class Target
{
public:
  // Handles one request.  Returns false if the connection is to be closed.
  using Script = std::function<bool (wire::Socket &, const wire::Message &)>;

  explicit Target (std::string id)
      : id_ (std::move (id)), script_ (respond_with ("hello")),
        server_ ([this] (wire::Socket &socket) { serve (socket); })
  {
  }

  ~Target () { server_.stop (); }

  const std::string &
  id () const
  {
    return id_;
  }

  void
  set (Script script)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    script_ = std::move (script);
  }

  // Ends as a process that crashes.
  void
  crash ()
  {
    server_.crash ();
  }

  std::vector<wire::Message>
  requests ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return requests_;
  }

  size_t
  count ()
  {
    return requests ().size ();
  }

  std::string
  entry (const std::string &service, const std::string &state = "ready",
         const std::string &version = "v1",
         const std::string &data_centre = "a") const
  {
    return "{\"service\":\"" + service + "\",\"address\":\""
           + server_.address () + "\",\"zone\":\"" + data_centre
           + "\",\"slots\":8,\"state\":\"" + state + "\",\"version\":\""
           + version + "\",\"born\":1000,\"sequence\":1}";
  }

  // Whether the router has closed a connection while silent () was serving a
  // request on it.
  std::atomic<bool> saw_close{ false };

  static std::string
  head (const wire::Message &request, const std::string &status,
        const std::string &extra_fields)
  {
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: "
           + request.field ("x-request-id") + "\r\n" + extra_fields;
  }

  static std::string
  signed_head (const wire::Message &request, const std::string &status,
               const std::string &extra_fields)
  {
    return head (request, status,
                 "X-Response-Signature: s1\r\n" + extra_fields);
  }

  static std::string
  with_length (const std::string &body)
  {
    return "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
           + body;
  }

  static Script
  respond_with (const std::string &body, const std::string &status = "200 OK")
  {
    return [=] (wire::Socket &socket, const wire::Message &request) {
      return socket.send (signed_head (request, status, with_length (body)));
    };
  }

  static Script
  refuse ()
  {
    return [] (wire::Socket &socket, const wire::Message &request) {
      return socket.send (head (request, "503 Service Unavailable",
                                "X-Not-Executed: 1\r\nContent-Length: "
                                "0\r\n\r\n"));
    };
  }

  static std::string
  chunk (const std::string &data)
  {
    char size[16];
    snprintf (size, sizeof size, "%zx\r\n", data.size ());
    return size + data + "\r\n";
  }

  static std::string
  event (int number)
  {
    return "id: " + std::to_string (number) + "\ndata: token "
           + std::to_string (number) + "\n\n";
  }

  // Streams the events after Last-Event-Id up to event COUNT.  If CUT_AFTER is
  // not 0, resets the connection in the middle of the event that follows event
  // CUT_AFTER.
  static Script
  stream (int count, int cut_after = 0, int pause_ms = 0)
  {
    return [=] (wire::Socket &socket, const wire::Message &request) {
      std::string last = request.field ("last-event-id");
      socket.send (signed_head (request, "200 OK",
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"));
      for (int i = last.empty () ? 1 : std::stoi (last) + 1; i <= count; i++)
        {
          if (cut_after != 0 && i > cut_after)
            {
              socket.send (chunk (event (i).substr (0, 5)));
              socket.reset ();
              return false;
            }
          if (!socket.send (chunk (event (i))))
            return false;
          std::this_thread::sleep_for (std::chrono::milliseconds (pause_ms));
        }
      return socket.send (chunk (""));
    };
  }

  // Never responds; sets saw_close to whether the router closes the connection
  // within 20 s.
  Script
  silent ()
  {
    return [this] (wire::Socket &socket, const wire::Message &request) {
      saw_close = socket.closes_within (20000);
      return false;
    };
  }

private:
  void
  serve (wire::Socket &socket)
  {
    for (;;)
      {
        wire::Message request = socket.read (100000);
        if (!request.is_complete)
          return;
        Script script;
        {
          std::lock_guard<std::mutex> lock (mutex_);
          requests_.push_back (request);
          script = script_;
        }
        if (!script (socket, request))
          return;
      }
  }

  std::string id_;
  std::mutex mutex_;
  Script script_;
  std::vector<wire::Message> requests_;
  wire::Server server_; // declared last: its threads use the other members
};

#endif
