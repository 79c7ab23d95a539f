// Bytes of a wave of targets that turn cold together, without a network.

#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "router/apply.h"
#include "router/peer/internal.h"
}

namespace
{

const size_t WAVE = 750;

// A router with two links to peers that have its list of targets, none of
// which is cold.
struct Hub
{
  Hub ()
  {
    service.name = cs_str ("engines");
    service.cold_per_s = 18;
    routing.services = &service;
    routing.service_count = 1;
    router.loop = cs_loop_create ();
    router.routing = &routing;
    router.fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    strcpy (router.settings.platform, "127.0.0.1:1");
    router.mesh = &mesh;
    mesh.router = &router;
    mesh.directory = cs_directory_create (&mesh);
    mesh.notice_due = true;
    cs_timer_init (&mesh.notice_timer, router.loop, nullptr, nullptr);
    put (2998, 1, 0);
    router.fleet_synced = true;
    for (cs_link_t &link : links)
      {
        link.mesh = &mesh;
        link.id = 1 + (&link - links);
        link.targets_revision = { 1, 1 };
      }
  }

  ~Hub ()
  {
    cs_notices_free (&mesh);
    cs_directory_destroy (mesh.directory);
    cs_fleet_destroy (router.fleet);
    cs_loop_destroy (router.loop);
  }

  void
  put (size_t count, uint64_t revision, uint32_t cold_ms)
  {
    for (size_t i = 0; i < count; i++)
      {
        std::string id = "engine-" + std::to_string (10000 + i);
        cs_target_entry_t entry = {};
        entry.id = cs_str (id.c_str ());
        entry.service = service.name;
        entry.data_centre = cs_str ("data-centre-a");
        entry.states_cold = true;
        entry.cold_ms = cold_ms;
        entry.revision = { 1, revision };
        cs_fleet_set_revision (router.fleet, entry.revision);
        cs_apply_target (&router, &entry, "platform");
      }
  }

  // PEER reads the notices of the next heartbeat.  Returns their number.
  size_t
  notify (cs_link_t *link, Hub *peer, size_t *bytes)
  {
    Cs__Router__Beat beat = CS__ROUTER__BEAT__INIT;
    cs_notices_fill_heartbeat (link, &beat, cs_clock_now ());
    cs_notices_read_heartbeat (&peer->links[0], &beat, cs_clock_now ());
    *bytes = cs__router__beat__get_packed_size (&beat);
    return beat.n_cold;
  }

  cs_router_t router = {};
  cs_mesh_t mesh = {};
  cs_link_t links[2] = {};
  cs_service_t service = {};
  cs_routing_t routing = {};
};

// Each link carried the whole entries of the targets, 38 KB here, as well as
// notices of the first 200. A new link got those of the latest 256.
TEST (ColdWave, CostsALinkLittleAndReachesAll)
{
  int ends[2];
  size_t bytes;
  cs_channel_handlers_t none = {};
  char buffer[1 << 17];
  Hub hub;
  Hub member;
  hub.put (WAVE, 2, 60000);
  ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
  cs_link_t *link = &hub.links[0];
  link->channel = cs_channel_adopt (hub.router.loop, ends[0], &none, nullptr);
  cs_sync_send_missing (link, 1);
  EXPECT_EQ (hub.notify (link, &member, &bytes), WAVE);
  EXPECT_LE (read (ends[1], buffer, sizeof buffer) + bytes, 20U * 1000);
  cs_channel_close (link->channel);
  close (ends[1]);
  EXPECT_EQ (hub.notify (link, &member, &bytes), 0U) << "sent again";
  link->cold_sent = 0; // as that of a new link
  EXPECT_EQ (hub.notify (link, &member, &bytes), WAVE);
  // The member's other hub may not know of them.
  EXPECT_EQ (member.notify (&member.links[0], &hub, &bytes), 0U);
  EXPECT_EQ (member.notify (&member.links[1], &hub, &bytes), WAVE);
}

}
