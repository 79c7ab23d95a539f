// The fleet under test: real routers, their platform and their targets, with a
// proxy on each link that can be harmed.

#ifndef TESTS_SOAK_WORLD_H
#define TESTS_SOAK_WORLD_H

#include "../router/documents.h"
#include "../router/router_process.h"
#include "../router/stand_ins.h"
#include "callers.h"

namespace soak
{

// A target behind its proxy; the list names the proxy's address.
struct Place
{
  std::unique_ptr<Target> target;
  std::unique_ptr<Proxy> proxy;
  bool is_leaving = false;
};

// A router behind the balancer, with its own link to the platform.
struct Host
{
  std::unique_ptr<Proxy> platform;
  std::unique_ptr<Router> router;
  std::atomic<int> incarnation{ 0 };
  std::atomic<int64_t> stop_begun{ 0 }; // SIGTERM, or 0
  std::atomic<bool> is_out{ false };    // the balancer sends it no callers
};

class World
{
public:
  World (int routers, int engines, int desks)
  {
    change_config ();
    for (int i = 0; i < engines; i++)
      add_target ("engines");
    for (int i = 0; i < desks; i++)
      add_target ("desk");
    int store = std::stoi (store_.address ().substr (10));
    for (int i = 0; i < routers; i++)
      {
        hosts.push_back (std::make_unique<Host> ());
        Host &host = *hosts.back ();
        host.platform = std::make_unique<Proxy> (store);
        host.router = std::make_unique<Router> (
            "r" + std::to_string (i), host.platform->address (),
            "[retry]\nratio = 0.2\nslack = 60\n[peer]\ndirectory_s = 1\n"
            "[log]\nlines_per_s = 2000\n");
      }
  }

  // Puts a newer configuration into the store; its organisation names it.
  void
  change_config ()
  {
    version_++;
    store_.put ("config", "main",
                document::config (version_, "v" + std::to_string (version_)));
    book.acknowledged (version_);
  }

  void
  add_target (const std::string &service)
  {
    Place place;
    place.target = new_target (service);
    place.proxy = std::make_unique<Proxy> (place.target->port ());
    list (place, "ready");
    places.push_back (std::move (place));
  }

  // Starts a new target at the address of the one at AT, which is gone.
  void
  reuse (size_t at, const std::string &service)
  {
    std::unique_ptr<Target> before = std::move (places[at].target);
    store_.remove ("servers", before->id ());
    places[at].target = new_target (service);
    places[at].proxy->lead_to (places[at].target->port ());
    places[at].is_leaving = false;
    list (places[at], "ready");
  }

  void
  list (const Place &place, const std::string &state)
  {
    store_.put ("servers", place.target->id (),
                place.target->entry (place.proxy->address (), state));
  }

  void
  unlist (const Place &place)
  {
    store_.remove ("servers", place.target->id ());
  }

  // The balancer's choice.
  Callers::Entry
  entry (int wanted)
  {
    int count = static_cast<int> (hosts.size ());
    for (int i = 0; i < count; i++)
      if (!hosts[(wanted + i) % count]->is_out)
        {
          wanted = (wanted + i) % count;
          break;
        }
    Host &host = *hosts[wanted];
    return { wanted, host.incarnation, host.router->callers () };
  }

  Store &
  store ()
  {
    return store_;
  }

  Book book;
  std::vector<Place> places;
  std::vector<std::unique_ptr<Host>> hosts;

private:
  std::unique_ptr<Target>
  new_target (const std::string &service)
  {
    return std::make_unique<Target> (book, "i-" + std::to_string (++targets_),
                                     service);
  }

  Store store_;
  int version_ = 0;
  int targets_ = 0;
};

}

#endif
