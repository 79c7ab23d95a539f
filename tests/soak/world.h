// The fleet under test: router processes, their platform and their targets,
// with a fault-injecting proxy on each link.

#ifndef TESTS_SOAK_WORLD_H
#define TESTS_SOAK_WORLD_H

#include "../router/documents.h"
#include "../router/router_process.h"
#include "../router/stand_ins.h"
#include "callers.h"

namespace soak
{

// A target behind a proxy; its entry in the store has the proxy's address.
struct TargetSlot
{
  std::unique_ptr<Proxy> proxy;
  std::unique_ptr<Target> target; // refers to the proxy
  bool is_leaving = false;
};

// A router behind the load balancer, with its own link to the platform.
struct Host
{
  std::unique_ptr<Proxy> platform_link;
  std::unique_ptr<Router> router;
  std::atomic<int> incarnation{ 0 };
  std::atomic<int64_t> stop_started_ms{ 0 }; // time of SIGTERM, or 0
  // Set while the load balancer sends no requests to this router.
  std::atomic<bool> is_out_of_rotation{ false };
};

class Fleet
{
public:
  Fleet (int routers, int engines, int desks)
  {
    change_config ();
    for (int i = 0; i < engines; i++)
      add_target ("engines");
    for (int i = 0; i < desks; i++)
      add_target ("desk");
    int store_port = std::stoi (store_.address ().substr (10));
    for (int i = 0; i < routers; i++)
      {
        hosts.push_back (std::make_unique<Host> ());
        Host &host = *hosts.back ();
        host.platform_link = std::make_unique<Proxy> (store_port);
        host.router = std::make_unique<Router> (
            "r" + std::to_string (i), host.platform_link->address (),
            "evacuation_ms = " + std::to_string (kEvacuationMs)
                + "\n[retry]\nratio = 0.2\nslack = 60\n[peer]\ndirectory_s = "
                  "1\n"
                  "[log]\nlines_per_s = 2000\n",
            i % 4 == 3 ? "b" : "a");
      }
  }

  // Writes the next version of the configuration to the store; the name of its
  // organisation contains the version.
  void
  change_config ()
  {
    version_++;
    put_config ();
    history.record_version (version_);
  }

  // Adds a target, which is cold for COLD_MS.
  void
  add_target (const std::string &service, int cold_ms = 0)
  {
    TargetSlot slot;
    slot.target = make_target (service, cold_ms);
    slot.proxy = std::make_unique<Proxy> (slot.target->port ());
    slot.target->link = slot.proxy.get ();
    publish (slot, "ready");
    target_slots.push_back (std::move (slot));
  }

  // Replaces the target in slot INDEX by a new one at the same address, as
  // after a crash.
  void
  replace_target (size_t index, const std::string &service)
  {
    std::unique_ptr<Target> old_target
        = std::move (target_slots[index].target);
    store_.remove ("servers", old_target->id ());
    crashed_.push_back (old_target->id ());
    target_slots[index].target = make_target (service, kColdStartMs);
    target_slots[index].target->link = target_slots[index].proxy.get ();
    target_slots[index].proxy->set_backend (
        target_slots[index].target->port ());
    target_slots[index].is_leaving = false;
    publish (target_slots[index], "ready");
  }

  void
  publish (const TargetSlot &slot, const std::string &state)
  {
    store_.put ("servers", slot.target->id (),
                slot.target->entry (slot.proxy->address (), state));
  }

  void
  unpublish (const TargetSlot &slot)
  {
    store_.remove ("servers", slot.target->id ());
  }

  // Makes the target in slot INDEX cold for COLD_MS; its entry says so when it
  // is renewed.
  void
  turn_cold (size_t index, int cold_ms)
  {
    target_slots[index].target->turn_cold (cold_ms);
    record_cold (*target_slots[index].target, cold_ms);
  }

  void
  renew (size_t index)
  {
    if (!target_slots[index].is_leaving)
      publish (target_slots[index], "ready");
  }

  void
  evacuate (const std::string &zone)
  {
    evacuated_ = zone;
    store_.put ("evacuations", zone, "{}");
    history.add (Evacuation{ zone, wire::now_ms (), INT64_MAX });
  }

  void
  take_back (const std::string &zone)
  {
    evacuated_.clear ();
    history.evacuations.back ().to_ms = wire::now_ms ();
    store_.remove ("evacuations", zone);
  }

  // Restores the store from COPY.  The operator and the targets write again
  // what they wrote since.
  void
  restore_store (const Store::Copy &copy)
  {
    store_.restore (copy);
    put_config ();
    for (const char *zone : { "a", "b" })
      if (zone == evacuated_)
        store_.put ("evacuations", zone, "{}");
      else
        store_.remove ("evacuations", zone);
    for (const auto &slot : target_slots)
      publish (slot, slot.is_leaving ? "draining" : "ready");
    for (const auto &id : crashed_)
      store_.remove ("servers", id);
  }

  // Returns the router that the load balancer chooses: PREFERRED, or the next
  // one in rotation.
  Callers::Endpoint
  choose_router (int preferred)
  {
    int count = static_cast<int> (hosts.size ());
    for (int i = 0; i < count; i++)
      if (!hosts[(preferred + i) % count]->is_out_of_rotation)
        {
          preferred = (preferred + i) % count;
          break;
        }
    Host &host = *hosts[preferred];
    return { preferred, host.incarnation, host.router->callers () };
  }

  Store &
  store ()
  {
    return store_;
  }

  History history;
  std::vector<TargetSlot> target_slots;
  std::vector<std::unique_ptr<Host>> hosts;

private:
  // Targets are in two data centres by turns.
  std::unique_ptr<Target>
  make_target (const std::string &service, int cold_ms)
  {
    target_count_++;
    auto target = std::make_unique<Target> (
        history, "i-" + std::to_string (target_count_), service,
        target_count_ % 2 == 0 ? "b" : "a", cold_ms);
    record_cold (*target, cold_ms);
    return target;
  }

  // Only engines have a limit while they are cold.
  void
  record_cold (const Target &target, int cold_ms)
  {
    int64_t now = wire::now_ms ();
    if (target.service () == "engines" && cold_ms > 0)
      history.add (ColdPeriod{ target.id (), now, now + cold_ms });
  }

  void
  put_config ()
  {
    std::string config
        = document::config (version_, "v" + std::to_string (version_));
    std::string service = "{\"name\":\"engines\",";
    config.insert (config.find (service) + service.size (),
                   "\"cold_start_s\":" + std::to_string (kColdStartMs / 1000)
                       + ",\"cold_per_s\":" + std::to_string (kColdPerS)
                       + ",");
    store_.put ("config", "main", config);
  }

  Store store_;
  int version_ = 0;
  int target_count_ = 0;
  std::string evacuated_;            // data centre, or ""
  std::vector<std::string> crashed_; // ids of targets
};

}

#endif
