// Members that a router reads from a peer because it has no list of routers.

#include <arpa/inet.h>

#include <cstdlib>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/hash.h"
#include "router/peer/internal.h"
}

namespace
{

struct Listed
{
  std::string name;
  uint32_t port;
};

// A frame of members with the address 10.0.0.1.
std::string
pack_members (std::vector<Listed> listed)
{
  std::vector<Cs__Router__Member> members (listed.size ());
  std::vector<Cs__Router__Member *> pointers;
  for (size_t i = 0; i < listed.size (); i++)
    {
      cs__router__member__init (&members[i]);
      members[i].name = &listed[i].name[0];
      members[i].address = htonl (0x0a000001);
      members[i].port = listed[i].port;
      pointers.push_back (&members[i]);
    }
  Cs__Router__Members list = CS__ROUTER__MEMBERS__INIT;
  list.members = pointers.data ();
  list.n_members = pointers.size ();
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  frame.body_case = CS__ROUTER__FRAME__BODY_MEMBERS;
  frame.members = &list;
  cs_buf_t out = {};
  cs_router_frame_pack (&frame, &out);
  std::string text (out.data, out.len);
  cs_buf_free (&out);
  return text;
}

class Members : public testing::Test
{
protected:
  Members () { mesh.id = cs_hash (cs_str ("r1"), 0); }

  ~Members () override
  {
    free (mesh.members);
    free (mesh.plan_members);
    free (mesh.plan_dial);
  }

  void
  read (const std::string &text)
  {
    cs_router_frame_t *frame = nullptr;
    size_t consumed;
    cs_router_frame_parse ({ text.data (), text.size () }, &frame, &consumed);
    if (frame == nullptr)
      return;
    if (frame->body_case == CS__ROUTER__FRAME__BODY_MEMBERS)
      cs_members_read (&mesh, frame->members);
    cs__router__frame__free_unpacked (frame, nullptr);
  }

  cs_mesh_t mesh = {};
};

// One that can't be dialled, or that has an invalid name, must not make the
// whole list unreadable.
TEST_F (Members, AnOddOneDoesNotSpoilTheOthers)
{
  read (pack_members ({ { "r2", 7000 },
                        { "", 7000 },
                        { "r3", 0 },
                        { "r4", 70000 },
                        { std::string (1000, 'x'), 7000 },
                        { "r5", 7001 } }));
  ASSERT_EQ (mesh.member_count, 2U);
  EXPECT_STREQ (mesh.members[0].name.text, "r2");
  EXPECT_STREQ (mesh.members[1].name.text, "r5");
  EXPECT_EQ (ntohs (mesh.members[1].address.sin_port), 7001);
}

// What a peer lists may be older than what this router was told.
TEST_F (Members, KnownOnesAndTheReaderItselfAreNotReplaced)
{
  read (pack_members ({ { "r2", 7000 } }));
  read (pack_members ({ { "r1", 7001 }, { "r2", 7001 } }));
  ASSERT_EQ (mesh.member_count, 1U);
  EXPECT_EQ (ntohs (mesh.members[0].address.sin_port), 7000);
}

TEST_F (Members, SurviveCorruptFrames)
{
  cs_random_t random = { 31, 0 };
  const std::string good
      = pack_members ({ { "r2", 7000 }, { "r3", 7001 }, { "r4", 7002 } });
  for (int i = 0; i < 10000; i++)
    {
      std::string bad = good;
      for (uint64_t changes = 1 + cs_random_u64 (&random) % 4; changes > 0;
           changes--)
        bad[cs_random_u64 (&random) % bad.size ()]
            = static_cast<char> (cs_random_u64 (&random));
      bad.shrink_to_fit ();
      read (bad);
      for (size_t at = 0; at < mesh.member_count; at++)
        EXPECT_NE (mesh.members[at].address.sin_port, 0);
      mesh.member_count = 0;
    }
}

}
