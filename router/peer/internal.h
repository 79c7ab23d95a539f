/* The mesh of routers, shared by the files of this folder.  */

#ifndef CS_ROUTER_PEER_INTERNAL_H
#define CS_ROUTER_PEER_INTERNAL_H

#include "cranberrystile/hub_plan.h"
#include "cranberrystile/load_table.h"
#include "cranberrystile/renewal.h"
#include "net/channel.h"
#include "net/listener.h"
#include "platform/store.h"
#include "router.pb-c.h"
#include "router/mesh.h"

typedef Cs__Router__Frame cs_router_frame_t;

typedef struct cs_link cs_link_t;
typedef struct cs_directory cs_directory_t;

/* Another router that is known, connected or not.  */
typedef struct
{
  cs_name_t name;
  struct sockaddr_in address;
  uint64_t id; /* hash of the name */
  uint64_t data_centre;
  cs_time_us_t out_until; /* could not be reached; tried again then */
  uint32_t failures;      /* in a row */
  uint32_t lists_without; /* lists of the platform in a row that lack it */
  cs_renewal_t renewal;   /* of its entry there */
} cs_member_t;

struct cs_mesh
{
  cs_router_t *router;
  cs_listener_t *listener;
  cs_directory_t *directory;
  cs_timer_t timer; /* to the next beat */
  uint64_t id;
  uint64_t data_centre;
  cs_member_t *members;
  size_t member_count;
  cs_hub_member_t *plan_members; /* scratch, as long as MEMBERS */
  bool *plan_dial;
  cs_hub_role_t role;
  cs_link_t *links;
  cs_load_t *sums; /* two a target: of this data centre, of the others */
  size_t sum_capacity;
  bool has_sums; /* of this beat */
};

/* Beats whose sending times are remembered: a beat is answered with the next
   one, so only a few are under way.  */
#define CS_BEATS_REMEMBERED 16

/* A connection to another router.  */
struct cs_link
{
  cs_mesh_t *mesh;
  cs_link_t *next;
  cs_channel_t *channel;
  cs_buf_t received; /* a frame that is not complete yet */
  bool dialled;      /* by this router */
  bool greeted;      /* the peer has said who it is */
  uint64_t id;       /* of the peer; of a dialled one known before */
  uint64_t data_centre;
  cs_time_us_t heard_at;

  /* What the peer last said of itself.  */
  uint64_t routing_version;
  uint64_t targets_revision;
  bool was_behind; /* at the beat before */

  uint32_t beat_number; /* of the last beat sent */
  uint32_t beat_heard;  /* number of the last beat received */
  cs_time_us_t beat_sent_at[CS_BEATS_REMEMBERED];

  /* Loads as exchanged: differences alone are sent.  */
  cs_load_table_t peer_own;    /* told by the peer */
  cs_load_table_t peer_others; /* told by a hub */
  bool has_others;
  cs_load_table_t sent_own;
  cs_load_table_t sent_others;
  size_t next_load; /* target from which the next beat goes on */
};

/* frames.c: a 4-byte big-endian length and a packed frame.  */

/* Appends FRAME.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_router_frame_pack (const cs_router_frame_t *frame, cs_buf_t *out);

/* Takes the first frame off BYTES.  Returns CS_OK with *FRAME NULL when it is
   not complete yet, or CS_ERR_BAD_FRAME.  *TAKEN counts its bytes.  */
int cs_router_frame_take (cs_str_t bytes, cs_router_frame_t **frame,
                          size_t *taken);

/* link.c */

/* Returns NULL when there is no descriptor or memory.  */
cs_link_t *cs_link_dial (cs_mesh_t *mesh, const cs_member_t *member);
void cs_link_accept (void *mesh, int fd);
void cs_link_close (cs_link_t *link);
void cs_link_send (cs_link_t *link, const cs_router_frame_t *frame);

/* members.c */

/* Adds or renews a member.  Returns it, valid until the next change of the
   members; NULL for the router itself, a bad address, or without memory.  */
cs_member_t *cs_mesh_add_member (cs_mesh_t *mesh, cs_str_t name,
                                 cs_str_t data_centre, cs_str_t address);
void cs_mesh_forget_member (cs_mesh_t *mesh, uint64_t id);

/* A dialled link to member ID ended, or stands.  */
void cs_mesh_link_lost (cs_mesh_t *mesh, uint64_t id, cs_time_us_t now);
void cs_mesh_link_greeted (cs_mesh_t *mesh, uint64_t id);

/* Around a whole list of the platform: members that it lacks for the second
   time are forgotten, unless they are connected.  */
void cs_mesh_list_begin (cs_mesh_t *mesh);
void cs_mesh_list_entry (cs_mesh_t *mesh, const cs_router_entry_t *entry,
                         uint64_t revision);
void cs_mesh_list_end (cs_mesh_t *mesh);

/* A member that is listed, but neither connected nor renewing its entry; NULL:
   none.  */
const cs_member_t *cs_mesh_find_gone (const cs_mesh_t *mesh);

/* news.c */
void cs_news_write_beat (cs_link_t *link, Cs__Router__Beat *beat,
                         cs_time_us_t now);
void cs_news_read_beat (cs_link_t *link, const Cs__Router__Beat *beat,
                        cs_time_us_t now);
void cs_news_read_routing (cs_link_t *link,
                           const Cs__Router__Routing *routing);
void cs_news_read_targets (cs_link_t *link, const Cs__Router__Targets *targets,
                           cs_time_us_t now);

/* Sends the peer what it lacks.  */
void cs_news_send (cs_link_t *link, cs_time_us_t now);

/* loads.c */

/* Sums up what links told, once for all beats of a round.  */
void cs_loads_sum_up (cs_mesh_t *mesh);

/* Fills the loads of BEAT for LINK, in memory that stays until the next
   call.  */
void cs_loads_write_beat (cs_link_t *link, Cs__Router__Beat *beat);
void cs_loads_read_beat (cs_link_t *link, const Cs__Router__Beat *beat);

/* Takes what the peers told into the fleet.  */
void cs_loads_apply (cs_mesh_t *mesh, cs_time_us_t now);

/* directory.c: the routers that the platform's store lists.  */
cs_directory_t *cs_directory_create (cs_mesh_t *mesh);
void cs_directory_destroy (cs_directory_t *directory);

/* Whether the list has been read after the other routers of a starting fleet
   had the time to announce themselves.  */
bool cs_directory_is_known (const cs_directory_t *directory);

/* Takes this router's entry back.  */
void cs_directory_leave (cs_directory_t *directory);

#endif
