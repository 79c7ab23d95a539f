// Runs the real router as a process of its own beside stand-ins.

#ifndef TESTS_ROUTER_FIXTURE_H
#define TESTS_ROUTER_FIXTURE_H

#include <fcntl.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

#include <gtest/gtest.h>

#include "stand_ins.h"

extern char **environ;

// Picks a port that is free now, below those that the kernel gives to outgoing
// connections: one of these would take it before the router listens there.
inline int
free_port ()
{
  const int first = 20000;
  const int count = 10000;
  static int next = static_cast<int> (getpid ()) * 101 % count;
  for (;;)
    {
      sockaddr_in address = {};
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      next = (next + 1) % count;
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons (first + next);
      bool is_free
          = bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof address)
            == 0;
      close (fd);
      if (is_free)
        return first + next;
    }
}

class Router
{
public:
  Router (const std::string &name, const std::string &store,
          const std::string &more = "")
      : name_ (name), callers_ (free_port ()), readiness_ (free_port ()),
        metrics_ (free_port ()), peers_ (free_port ())
  {
    char folder[] = "/tmp/cranberrystile-test-XXXXXX";
    folder_ = mkdtemp (folder);
    write_settings (store, more);
    start ();
  }

  ~Router ()
  {
    if (pid_ > 0)
      kill (pid_, SIGKILL);
    wait_end ();
    std::string command[] = { settings (), log_path () };
    for (const auto &path : command)
      unlink (path.c_str ());
    rmdir (folder_.c_str ());
  }

  void
  write_settings (const std::string &store, const std::string &more = "")
  {
    std::ofstream out (settings ());
    out << "[host]\nname = " << name_ << "\ndata_centre = a\n[listen]\n"
        << "callers = 127.0.0.1:" << callers_ << "\n"
        << "readiness = 127.0.0.1:" << readiness_ << "\n"
        << "metrics = 127.0.0.1:" << metrics_ << "\n"
        << "peers = 127.0.0.1:" << peers_
        << "\n[platform]\naddress = " << store << "\ncoalesce_ms = 50\n"
        << more;
  }

  std::string
  settings () const
  {
    return folder_ + "/settings.ini";
  }

  int
  callers () const
  {
    return callers_;
  }

  void
  signal (int number)
  {
    kill (pid_, number);
  }

  // The exit status, or -1 when it does not end within MS.
  int
  exit_within (int ms)
  {
    int64_t until = wire::now_ms () + ms;
    int status;
    while (wire::now_ms () < until)
      {
        if (waitpid (pid_, &status, WNOHANG) == pid_)
          {
            pid_ = 0;
            return WIFEXITED (status) ? WEXITSTATUS (status) : 128;
          }
        std::this_thread::sleep_for (std::chrono::milliseconds (20));
      }
    return -1;
  }

  bool
  is_ready ()
  {
    return get (readiness_, "/-/ready").status () == 200;
  }

  std::string
  metrics ()
  {
    return get (metrics_, "/metrics").body;
  }

  std::string
  log () const
  {
    std::ifstream in (log_path ());
    std::stringstream text;
    text << in.rdbuf ();
    return text.str ();
  }

  // Waits until CONDITION holds; whether it did within MS.
  static bool
  eventually (const std::function<bool ()> &condition, int ms = 5000)
  {
    int64_t until = wire::now_ms () + ms;
    while (wire::now_ms () < until)
      {
        if (condition ())
          return true;
        std::this_thread::sleep_for (std::chrono::milliseconds (20));
      }
    return condition ();
  }

private:
  std::string
  log_path () const
  {
    return folder_ + "/log";
  }

  static wire::Message
  get (int port, const std::string &path)
  {
    wire::Socket socket (wire::Socket::connect_to (port));
    if (!socket.is_open ())
      return {};
    socket.send ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.read (1000);
  }

  void
  start ()
  {
    std::string binary = std::string (ROUTER_BINARY);
    std::string file = settings ();
    char *arguments[] = { binary.data (), const_cast<char *> ("--settings"),
                          file.data (), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, 1, log_path ().c_str (),
                                      O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2 (&actions, 1, 2);
    ASSERT_EQ (posix_spawn (&pid_, binary.c_str (), &actions, nullptr,
                            arguments, environ),
               0);
    posix_spawn_file_actions_destroy (&actions);
  }

  void
  wait_end ()
  {
    if (pid_ > 0)
      waitpid (pid_, nullptr, 0);
  }

  std::string name_;
  std::string folder_;
  int callers_;
  int readiness_;
  int metrics_;
  int peers_;
  pid_t pid_ = 0;
};

// One router before two targets of each of two services.
class Path : public testing::Test
{
protected:
  void
  SetUp () override
  {
    store.put ("config", "main", config (1));
    for (Target *target : { &engine, &other })
      store.put ("servers", target->id (), target->entry ("engines"));
    store.put ("servers", desk.id (), desk.entry ("desk"));
    store.put ("servers", "foreign", "{\"service\":7}");
    router = std::make_unique<Router> ("r1", store.address (), settings ());
    ASSERT_TRUE (Router::eventually ([this] { return router->is_ready (); }))
        << router->log ();
  }

  // Repeats are shared out once the other routers are known.
  void
  wait_for_directory ()
  {
    int calls = store.calls;
    Router::eventually ([&] { return store.calls >= calls + 6; }, 4000);
  }

  void
  TearDown () override
  {
    if (HasFailure ())
      printf ("%s\n", router->log ().c_str ());
  }

  virtual std::string
  settings ()
  {
    return "[retry]\nratio = 0.2\nslack = 10\n[peer]\ndirectory_s = 1\n";
  }

  static std::string
  route (const std::string &name, const std::string &kind,
         const std::string &service, const std::string &more)
  {
    return "{\"name\":\"" + name
           + "\",\"host\":\"h.example\",\"path_prefix\":"
             "\"/"
           + name + "/\",\"kind\":\"" + kind + "\",\"service\":\"" + service
           + "\",\"target_latency_ms\":600" + more + "}";
  }

  static std::string
  config (int version, const std::string &more_routes = "")
  {
    return "{\"version\":" + std::to_string (version) + ",\"routes\":["
           + route ("safe", "safe", "engines",
                    ",\"max_attempts\":2,\"timeout_ms\":1500")
           + ","
           + route ("once", "unsafe", "engines",
                    ",\"max_attempts\":1,\"timeout_ms\":1500")
           + ","
           + route ("chat", "streaming", "engines",
                    ",\"max_attempts\":2,\"timeout_ms\":9000,"
                    "\"stream_resume\":true,\"session_affinity\":true")
           + ","
           + route ("talk", "streaming", "engines",
                    ",\"max_attempts\":1,\"timeout_ms\":9000")
           + ","
           + route ("desk", "unsafe", "desk",
                    ",\"max_attempts\":2,\"timeout_ms\":1500")
           + ","
           + route ("open", "safe", "desk",
                    ",\"public\":true,\"timeout_ms\":1500")
           + more_routes
           + "],\"services\":[{\"name\":\"engines\",\"health_path\":\"/h\","
             "\"engine\":{\"slots\":8,\"kv_token_bytes\":1000,"
             "\"link_mbps\":1000000.0}},"
             "{\"name\":\"desk\",\"health_path\":\"/h\"}],"
             "\"limits\":{\"max_header_bytes\":2048,\"max_body_bytes\":100000,"
             "\"header_timeout_ms\":400,\"idle_timeout_ms\":900},"
             "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"]}]}";
  }

  static std::string
  request (const std::string &method, const std::string &path,
           const std::string &more = "", const std::string &body = "")
  {
    std::string text = method + " " + path
                       + " HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Request-Id: q"
                       + std::to_string (++numbers)
                       + "\r\nX-Key: k1\r\nX-Deadline: 4000\r\n" + more;
    if (!body.empty ())
      text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
    return text + "\r\n" + body;
  }

  wire::Message
  ask (const std::string &text, int ms = 5000)
  {
    wire::Socket socket (wire::Socket::connect_to (router->callers ()));
    socket.send (text);
    return socket.read (ms, text.compare (0, 5, "HEAD ") == 0);
  }

  void
  set_engines (const Target::Script &script)
  {
    engine.set (script);
    other.set (script);
  }

  size_t
  runs ()
  {
    return engine.count () + other.count ();
  }

  // The requests that either engine was sent, of one of them first.
  std::vector<wire::Message>
  engine_requests ()
  {
    std::vector<wire::Message> all = engine.requests ();
    for (auto &message : other.requests ())
      all.push_back (message);
    return all;
  }

  static inline int numbers = 0;
  Store store;
  Target engine{ "i-1" };
  Target other{ "i-2" };
  Target desk{ "i-3" };
  std::unique_ptr<Router> router;
};

#endif
