// Runs real routers as processes, harms them and what surrounds them at random
// from a seed, and holds what callers and targets saw against the promises.
//
// soak [--seed N] [--routers N] [--engines N] [--callers N] [--seconds N]
//      [--keep FOLDER]
//
// Prints what was done and what went wrong; the exit status is 0 when nothing
// did. With --keep the routers' logs of a failed run go into FOLDER.

#include <cstring>

#include "faults.h"
#include "judge.h"

namespace
{

struct Options
{
  uint64_t seed = 1;
  int routers = 3;
  int engines = 5;
  int callers = 12;
  int seconds = 8;
  std::string keep;
};

const int kWarmUpMs = 1500;
const int kCalmMs = 2500;
// Memory of a router of this size; the hosts allow 160 MB and more, and the
// stated aim for the heaviest load is 12 MB.
#ifdef __SANITIZE_ADDRESS__
const long kMemoryMostMb = 400; // shadow memory and quarantine come on top
#else
const long kMemoryMostMb = 12;
#endif

bool
read_options (int argc, char **argv, Options *out)
{
  for (int i = 1; i + 1 < argc; i += 2)
    {
      std::string name = argv[i];
      if (name == "--seed")
        out->seed = std::strtoull (argv[i + 1], nullptr, 10);
      else if (name == "--routers")
        out->routers = std::atoi (argv[i + 1]);
      else if (name == "--engines")
        out->engines = std::atoi (argv[i + 1]);
      else if (name == "--callers")
        out->callers = std::atoi (argv[i + 1]);
      else if (name == "--seconds")
        out->seconds = std::atoi (argv[i + 1]);
      else if (name == "--keep")
        out->keep = argv[i + 1];
      else
        return false;
    }
  return argc % 2 == 1 && out->routers > 0 && out->engines > 2
         && out->callers > 0 && out->seconds > 0;
}

// Resident memory that is the process's own, in megabytes.
long
memory_mb (pid_t pid)
{
  std::ifstream in ("/proc/" + std::to_string (pid) + "/statm");
  long size = 0;
  long resident = 0;
  long shared = 0;
  in >> size >> resident >> shared;
  return (resident - shared) * sysconf (_SC_PAGESIZE) / (1L << 20);
}

bool
all_ready (soak::World &world)
{
  return Router::eventually (
      [&] {
        for (auto &host : world.hosts)
          if (!host->router->is_ready ())
            return false;
        return true;
      },
      8000);
}

void
keep_logs (const Options &options, soak::World &world)
{
  for (size_t i = 0; i < world.hosts.size (); i++)
    std::ofstream (options.keep + "/seed-" + std::to_string (options.seed)
                   + "-r" + std::to_string (i) + ".log")
        << world.hosts[i]->router->log ();
}

std::vector<std::string>
run (const Options &options, soak::World &world, soak::Faults &faults)
{
  soak::Callers callers (
      world.book, options.routers,
      [&] (int wanted) { return world.entry (wanted); }, options.seed);
  if (!all_ready (world))
    return { "the routers did not become ready" };
  callers.start (options.callers);
  std::this_thread::sleep_for (std::chrono::milliseconds (kWarmUpMs));
  int64_t over = faults.play ();
  int64_t calm_from = over + soak::kContactMs;
  while (wire::now_ms () < calm_from + kCalmMs)
    {
      faults.look_after_routers ();
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  int64_t calm_to = wire::now_ms ();
  callers.stop ();
  for (auto &host : world.hosts)
    if (memory_mb (host->router->pid ()) > kMemoryMostMb)
      world.book.fail ("a router holds "
                       + std::to_string (memory_mb (host->router->pid ()))
                       + " MB");
  /* Targets may still be at work for callers that have gone.  */
  world.book.close ();
  return soak::Judge (world.book, calm_from, calm_to).verdict ();
}

}

int
main (int argc, char **argv)
{
  const int kFaultsMost = 20; // lines printed
  Options options;
  if (!read_options (argc, argv, &options))
    {
      fprintf (stderr, "soak: see the head of tests/soak/main.cc\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  soak::World world (options.routers, options.engines, 3);
  soak::Faults faults (world, options.seed);
  /* Every third seed has planned work alone, which may cut nothing.  */
  bool calm = options.seed % 3 == 0;
  faults.draw (options.seconds * (calm ? 1 : 2), options.seconds * 1000, calm);
  std::vector<std::string> wrong = run (options, world, faults);
  for (const auto &name : faults.names ())
    printf ("  %s\n", name.c_str ());
  printf ("seed %llu: %zu requests, %zu runs, %zu troubles, %zu faults\n",
          (unsigned long long)options.seed, world.book.requests.size (),
          world.book.runs.size (), faults.names ().size (), wrong.size ());
  for (size_t i = 0; i < wrong.size () && i < kFaultsMost; i++)
    printf ("FAULT %s\n", wrong[i].c_str ());
  if (!wrong.empty () && !options.keep.empty ())
    keep_logs (options, world);
  return wrong.empty () ? 0 : 1;
}
