// Common parts of the cases of this review: router processes that are started
// as the deploy file says, engines, and a record of what was sent, answered
// and run.

#ifndef REVIEW_LIB_3_FLEET_H
#define REVIEW_LIB_3_FLEET_H

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "tests/router/stand_ins.h"

namespace review
{

enum
{
  EXIT_HELD = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2
};

inline bool
has_trouble ()
{
  const char *value = getenv ("TROUBLE");
  return value == nullptr || strcmp (value, "0") != 0;
}

inline void
sleep_ms (int64_t ms)
{
  if (ms > 0)
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

// What was sent, answered and run, with the time in ms since the start.
class Record
{
public:
  explicit Record (const std::string &path)
      : out_ (fopen (path.c_str (), "w")), start_ms_ (wire::now_ms ())
  {
    if (out_ == nullptr)
      exit (EXIT_NOT_RUN);
  }

  ~Record () { fclose (out_); }

  int64_t
  now () const
  {
    return wire::now_ms () - start_ms_;
  }

  void
  line (const char *format, ...) __attribute__ ((format (printf, 2, 3)))
  {
    std::lock_guard<std::mutex> lock (mutex_);
    va_list args;
    va_start (args, format);
    fprintf (out_, "%7lld ", static_cast<long long> (now ()));
    vfprintf (out_, format, args);
    fputc ('\n', out_);
    fflush (out_);
    va_end (args);
  }

private:
  FILE *out_;
  int64_t start_ms_;
  std::mutex mutex_;
};

// A port below the kernel's ephemeral range that is free.
inline int
free_port ()
{
  static int next = 20000 + static_cast<int> (getpid ()) * 37 % 9000;
  for (int tries = 0; tries < 10000; tries++)
    {
      next = next >= 30000 ? 20000 : next + 1;
      sockaddr_in address = {};
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons (next);
      bool is_free
          = bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof address)
            == 0;
      close (fd);
      if (is_free)
        return next;
    }
  exit (EXIT_NOT_RUN);
}

// A router with the command of the deploy file, in the repository root, and
// settings as its template gives for a small site.
class Router
{
public:
  Router (const std::string &folder, const std::string &name,
          const std::string &zone, const std::string &store)
      : name_ (name), folder_ (folder), callers_ (free_port ()),
        ready_ (free_port ()), metrics_ (free_port ()), peers_ (free_port ())
  {
    std::ofstream out (settings_path ());
    out << "[host]\nname = " << name << "\ndata_centre = " << zone
        << "\ncpu_share = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\n"
        << "\n[listen]\ncallers = 127.0.0.1:" << callers_
        << "\nreadiness = 127.0.0.1:" << ready_
        << "\nmetrics = 127.0.0.1:" << metrics_
        << "\npeers = 127.0.0.1:" << peers_
        << "\n\n[platform]\naddress = " << store
        << "\ncontracts = base,drain,config,cost,retry,recover,engine,stream,"
           "tenants,platform\napply_ms = 2000\ndrain_ms = 2000\n"
           "renewal_ms = 1200\ncontact_ms = 3000\n"
        << "\n[retry]\nratio = 0.2\nslack = 52\nwindow_s = 10\n"
        << "\n[stop]\ngrace_s = 8.0\n\n[regions]\n"
        << "a = r\nb = r\nc = r\n";
    out.close ();
    start ();
  }

  ~Router () { stop (SIGKILL); }

  void
  start ()
  {
    std::string config = "CRANBERRYSTILE_CONFIG=" + settings_path ();
    std::string path
        = std::string ("PATH=") + (getenv ("PATH") ? getenv ("PATH") : "");
    std::string log = log_path ();
    std::string program = "target/router/cranberrystile-router";
    char *environment[] = { config.data (), path.data (), nullptr };
    char *arguments[] = { program.data (), nullptr };
    pid_ = fork ();
    if (pid_ < 0)
      exit (EXIT_NOT_RUN);
    if (pid_ > 0)
      return;
    // The router ends with the script, whatever ends that.
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    int fd = open (log.c_str (), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2 (fd, STDOUT_FILENO);
    dup2 (fd, STDERR_FILENO);
    execve (program.c_str (), arguments, environment);
    _exit (EXIT_NOT_RUN);
  }

  void
  signal (int number)
  {
    if (pid_ > 0)
      kill (pid_, number);
  }

  // Sends signal NUMBER and waits for the end of the process.
  void
  stop (int number)
  {
    if (pid_ <= 0)
      return;
    kill (pid_, number);
    waitpid (pid_, nullptr, 0);
    pid_ = 0;
  }

  // Whether the process has ended by itself; STATUS is that of waitpid.
  bool
  has_ended (int *status)
  {
    if (pid_ <= 0 || waitpid (pid_, status, WNOHANG) != pid_)
      return false;
    pid_ = 0;
    return true;
  }

  bool
  is_ready () const
  {
    wire::Socket socket (wire::Socket::connect_to (ready_));
    if (!socket.is_open ())
      return false;
    socket.send ("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return socket.read (1000).status () == 200;
  }

  // Waits up to MS for the router to be ready.
  bool
  wait_ready (int ms) const
  {
    int64_t until = wire::now_ms () + ms;
    while (wire::now_ms () < until)
      {
        if (is_ready ())
          return true;
        sleep_ms (20);
      }
    return false;
  }

  std::string
  log () const
  {
    std::ifstream in (log_path ());
    std::stringstream text;
    text << in.rdbuf ();
    return text.str ();
  }

  int
  callers () const
  {
    return callers_;
  }

  pid_t
  pid () const
  {
    return pid_;
  }

  const std::string &
  name () const
  {
    return name_;
  }

private:
  std::string
  settings_path () const
  {
    return folder_ + "/" + name_ + ".ini";
  }

  std::string
  log_path () const
  {
    return folder_ + "/" + name_ + ".log";
  }

  std::string name_;
  std::string folder_;
  int callers_;
  int ready_;
  int metrics_;
  int peers_;
  pid_t pid_ = 0;
};

// A temporary folder that is removed at the end.
class Folder
{
public:
  Folder ()
  {
    char path[] = "/tmp/cranberrystile-review-XXXXXX";
    if (mkdtemp (path) == nullptr)
      exit (EXIT_NOT_RUN);
    path_ = path;
  }

  ~Folder ()
  {
    if (getenv ("KEEP") != nullptr)
      {
        printf ("logs are kept in %s\n", path_.c_str ());
        return;
      }
    for (const char *name : { "r1", "r2", "r3", "r4" })
      for (const char *end : { ".ini", ".log" })
        unlink ((path_ + "/" + name + end).c_str ());
    rmdir (path_.c_str ());
  }

  const std::string &
  path () const
  {
    return path_;
  }

private:
  std::string path_;
};

}

#endif
