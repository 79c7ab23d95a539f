// Bytes and work of a wave of targets that turn cold together, at a hub.

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "router/apply.h"
#include "router/cold.h"
#include "router/peer/internal.h"
}

namespace
{

const size_t TARGETS = 2998;
const size_t WAVE = 750;
const uint32_t COLD_MS = 3000;

// A router with the targets, whose entries state that they aren't cold, and
// links to peers that know them.  Nothing runs its loop.
class Hub
{
public:
  explicit Hub (size_t link_count) : links (link_count)
  {
    service.name = cs_str ("engines");
    service.cold_per_s = 18;
    routing.version = 1;
    routing.services = &service;
    routing.service_count = 1;
    router.loop = cs_loop_create ();
    router.routing = &routing;
    router.fleet = cs_fleet_create ([] (void *, cs_target_t *) {}, nullptr);
    strcpy (router.settings.platform, "127.0.0.1:1");
    strcpy (router.settings.name, "r1");
    router.mesh = &mesh;
    mesh.router = &router;
    mesh.role.is_first = true;
    cs_timer_init (&mesh.notice_timer, router.loop, nullptr, nullptr);
    mesh.notice_due = true;
    mesh.directory = cs_directory_create (&mesh);
    for (size_t i = 0; i < TARGETS; i++)
      put (i, 1, 0);
    router.fleet_synced = true;
    for (size_t i = 0; i < link_count; i++)
      open_link (i);
  }

  ~Hub ()
  {
    while (mesh.links != nullptr)
      {
        cs_link_t *link = mesh.links;
        mesh.links = link->next;
        cs_channel_close (link->channel);
      }
    for (int peer : peers)
      close (peer);
    cs_directory_destroy (mesh.directory);
    cs_notices_free (&mesh);
    cs_fleet_destroy (router.fleet);
    cs_loop_destroy (router.loop);
  }

  void
  open_link (size_t at)
  {
    int ends[2];
    ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    cs_link_t &link = links[at];
    link.mesh = &mesh;
    link.id = at + 1;
    link.hello_received = true;
    link.blocked_sent = true;
    link.routing_version = 1;
    link.targets_revision = cs_fleet_revision (router.fleet);
    link.channel = cs_channel_adopt (router.loop, ends[0], &handlers, &link);
    link.next = mesh.links;
    mesh.links = &link;
    peers.push_back (ends[1]);
  }

  void
  put (size_t index, uint64_t revision, uint32_t cold_ms)
  {
    std::string id = "engine-" + std::to_string (10000 + index);
    cs_target_entry_t entry = {};
    entry.id = cs_str (id.c_str ());
    entry.service = cs_str ("engines");
    entry.data_centre = cs_str ("data-centre-a");
    entry.started_ms = 1700000000000;
    entry.slots = 48;
    entry.version = 7;
    entry.states_cold = true;
    entry.cold_ms = cold_ms;
    entry.revision = { 1, revision };
    cs_fleet_set_revision (router.fleet, entry.revision);
    cs_apply_target (&router, &entry, "platform");
  }

  void
  turn_cold (uint64_t revision)
  {
    for (size_t i = 0; i < WAVE; i++)
      put (i * 4 % TARGETS, revision, COLD_MS);
  }

  // What a hub sends after changes of the store, and with the next heartbeat.
  void
  send ()
  {
    cs_time_us_t now = cs_clock_now ();
    cs_mesh_push_changes (&mesh);
    for (cs_link_t &link : links)
      cs_link_send_heartbeat (&link, now);
  }

  // Returns what the peer of link AT has been sent.
  std::string
  sent (size_t at)
  {
    std::string bytes (1 << 20, '\0');
    ssize_t len = read (peers[at], &bytes[0], bytes.size ());
    EXPECT_EQ (cs_channel_queued (links[at].channel), 0U);
    bytes.resize (len > 0 ? len : 0);
    return bytes;
  }

  // Reads frames of the peer of the first link.
  void
  read_frames (const std::string &bytes)
  {
    cs_str_t rest = { bytes.data (), bytes.size () };
    cs_router_frame_t *frame;
    size_t used;
    while (cs_router_frame_parse (rest, &frame, &used) == 0
           && frame != nullptr)
      {
        if (frame->body_case == CS__ROUTER__FRAME__BODY_TARGETS)
          cs_sync_read_targets (&links[0], frame->targets, cs_clock_now ());
        else
          cs_notices_read_heartbeat (&links[0], frame->beat, cs_clock_now ());
        cs__router__frame__free_unpacked (frame, nullptr);
        rest = { rest.data + used, rest.len - used };
      }
  }

  size_t
  count_cold ()
  {
    size_t count;
    size_t cold = 0;
    cs_target_t *const *targets = cs_fleet_targets (router.fleet, &count);
    for (size_t i = 0; i < count; i++)
      cold += cs_cold_is_in_force (&targets[i]->cold, cs_clock_now ());
    return cold;
  }

  cs_router_t router = {};
  cs_mesh_t mesh = {};
  std::vector<cs_link_t> links;
  std::vector<int> peers;

private:
  cs_service_t service = {};
  cs_routing_t routing = {};
  cs_channel_handlers_t handlers = {};
};

// Each link carried the whole entries of the targets, 48 KB here, as well as
// notices of the first 200.
TEST (ColdWave, CostsALinkLittleAndReachesAll)
{
  Hub hub (50);
  Hub member (2);
  hub.turn_cold (2);
  hub.send ();
  std::string sent = hub.sent (0);
  EXPECT_LE (sent.size (), 20U * 1000);
  EXPECT_EQ (hub.sent (49).size (), sent.size ());
  member.read_frames (sent);
  EXPECT_EQ (member.count_cold (), WAVE);
  hub.send ();
  EXPECT_LT (hub.sent (0).size (), 100U) << "sent again";

  // The member's other hub may not know it yet; the first one does.
  member.send ();
  EXPECT_LT (member.sent (0).size (), 100U);
  EXPECT_GT (member.sent (1).size (), 8000U);
}

// A new link carried notices of the latest 256 targets only.
TEST (ColdWave, IsLearntByARouterThatWasAway)
{
  Hub hub (2);
  Hub member (1);
  hub.turn_cold (2);
  hub.send ();
  cs_link_t back = hub.links[0];
  back.cold_sent = 0;
  Cs__Router__Beat beat = CS__ROUTER__BEAT__INIT;
  cs_notices_fill_heartbeat (&back, &beat, cs_clock_now ());
  cs_notices_read_heartbeat (&member.links[0], &beat, cs_clock_now ());
  EXPECT_EQ (member.count_cold (), WAVE);
}

}
