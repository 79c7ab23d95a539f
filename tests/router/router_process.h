// Runs the router binary as a child process.

#ifndef TESTS_ROUTER_ROUTER_PROCESS_H
#define TESTS_ROUTER_ROUTER_PROCESS_H

#include <fcntl.h>
#include <spawn.h>
#include <sys/un.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "wire.h"

extern char **environ;

// Reserves PORT among all test processes until this one ends.  False if it
// is reserved.
inline bool
reserve_port (int port)
{
  // The name of an abstract socket begins with a zero byte.
  std::string name = std::string (1, '\0') + "cranberrystile-test-port-"
                     + std::to_string (port);
  sockaddr_un address = {};
  address.sun_family = AF_UNIX;
  std::copy (name.begin (), name.end (), address.sun_path);
  int fd = socket (AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t len = offsetof (sockaddr_un, sun_path) + name.size ();
  if (bind (fd, reinterpret_cast<sockaddr *> (&address), len) == 0)
    return true;
  close (fd);
  return false;
}

// Returns a free port below the kernel's ephemeral range: an outgoing
// connection could take an ephemeral port before the router listens on it.
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
      if (is_free && reserve_port (first + next))
        return first + next;
    }
}

// A router process with its own settings file and log in a temporary folder.
class Router
{
public:
  Router (const std::string &name, const std::string &store,
          const std::string &extra_settings = "",
          const std::string &data_centre = "a")
      : name_ (name), data_centre_ (data_centre), caller_port_ (free_port ()),
        readiness_port_ (free_port ()), metrics_port_ (free_port ()),
        peer_port_ (free_port ())
  {
    char folder[] = "/tmp/cranberrystile-test-XXXXXX";
    folder_ = mkdtemp (folder);
    write_settings (store, extra_settings);
    start ();
  }

  ~Router ()
  {
    if (pid_ > 0)
      kill (pid_, SIGKILL);
    reap ();
    std::string paths[] = { settings_path (), log_path () };
    for (const auto &path : paths)
      unlink (path.c_str ());
    rmdir (folder_.c_str ());
  }

  void
  write_settings (const std::string &store,
                  const std::string &extra_settings = "")
  {
    std::ofstream out (settings_path ());
    out << "[host]\nname = " << name_ << "\ndata_centre = " << data_centre_
        << "\n[listen]\n"
        << "callers = 127.0.0.1:" << caller_port_ << "\n"
        << "readiness = 127.0.0.1:" << readiness_port_ << "\n"
        << "metrics = 127.0.0.1:" << metrics_port_ << "\n"
        << "peers = 127.0.0.1:" << peer_port_
        << "\n[platform]\naddress = " << store << "\ncoalesce_ms = 50\n"
        << extra_settings;
  }

  std::string
  settings_path () const
  {
    return folder_ + "/settings.ini";
  }

  // The port on which callers connect.
  int
  callers () const
  {
    return caller_port_;
  }

  void
  signal (int number)
  {
    kill (pid_, number);
  }

  // Returns whether the process handles signal NUMBER.  It doesn't from the
  // very start, and SIGHUP would end it.
  bool
  handles (int number) const
  {
    std::ifstream in ("/proc/" + std::to_string (pid_) + "/status");
    std::string word;
    uint64_t caught = 0;
    while (in >> word)
      if (word == "SigCgt:")
        in >> std::hex >> caught;
    return (caught >> (number - 1) & 1) != 0;
  }

  pid_t
  pid () const
  {
    return pid_;
  }

  // Returns whether the process has exited or was killed by a signal.
  bool
  has_ended ()
  {
    if (pid_ > 0 && waitpid (pid_, nullptr, WNOHANG) == pid_)
      pid_ = 0;
    return pid_ == 0;
  }

  // Kills the process if it is running and starts it again with the same
  // ports.
  void
  restart ()
  {
    if (pid_ > 0)
      kill (pid_, SIGKILL);
    reap ();
    start ();
  }

  // Waits up to MS for the process to end.  Returns its exit status, 128 if a
  // signal ended it, or -1 if it is still running.
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
    return get (readiness_port_, "/-/ready").status () == 200;
  }

  std::string
  metrics ()
  {
    return get (metrics_port_, "/metrics").body;
  }

  // Returns the counter NAME; 0 if it isn't there.
  int
  counter (const std::string &name)
  {
    std::string text = metrics ();
    size_t at = text.find ("\ncranberrystile_router_" + name + "_total ");
    return at == std::string::npos
               ? 0
               : std::stoi (text.substr (text.find (' ', at)));
  }

  std::string
  log () const
  {
    std::ifstream in (log_path ());
    std::stringstream text;
    text << in.rdbuf ();
    return text.str ();
  }

  // Polls CONDITION for up to MS; returns whether it became true.
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
    std::string file = settings_path ();
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
  reap ()
  {
    if (pid_ > 0)
      waitpid (pid_, nullptr, 0);
  }

  std::string name_;
  std::string data_centre_;
  std::string folder_;
  int caller_port_;
  int readiness_port_;
  int metrics_port_;
  int peer_port_;
  pid_t pid_ = 0;
};

#endif
