/* Data structures and functions of the router mesh, private to router/peer.
   router/mesh.h defines the terms member, hub and first hub.  */

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
#include "router/peer/directory.h"
#include "router/peer/notices.h"

typedef Cs__Router__Frame cs_router_frame_t;

typedef struct cs_link cs_link_t;
typedef struct cs_version_question cs_version_question_t;

/* Another known router, connected or not.  */
typedef struct
{
  cs_name_t name;
  struct sockaddr_in address;
  uint64_t id; /* hash of the name */
  uint64_t data_centre;
  uint32_t capacity;        /* relative, to serve peers; 0: not stated */
  cs_time_us_t retry_at;    /* not dialled before this time after a failure */
  uint32_t failures;        /* consecutive */
  cs_time_us_t accepted_at; /* when a link that it dialled was last open, or it
                               became known; 0: just now */
  uint32_t lists_absent; /* consecutive platform lists without this member */
  cs_renewal_t renewal;  /* renewals of its entry in the platform's store */
} cs_member_t;

/* A complete list of targets as a compressed frame.  After a loss of power all
   members of a data centre ask for the same one.  */
typedef struct
{
  cs_buf_t frame; /* empty: none yet */
  cs_revision_t revision;
  cs_time_us_t made_at;
} cs_packed_list_t;

struct cs_mesh
{
  cs_router_t *router;
  cs_time_us_t started_at;
  cs_listener_t *listener;
  cs_directory_t *directory;
  cs_timer_t timer; /* fires when the next heartbeat is due */
  uint64_t id;
  uint64_t data_centre;
  cs_member_t *members;
  size_t member_count;
  uint64_t member_changes;       /* members added or removed */
  cs_hub_member_t *plan_members; /* scratch array, as long as MEMBERS */
  bool *plan_dial;               /* likewise; whether to dial each member */
  cs_hub_role_t role;
  cs_link_t *links;
  cs_packed_list_t packed_list;
  cs_notices_t leaving; /* that they are leaving */
  cs_notices_t limits;  /* a limit, or that there is none any more */
  cs_cold_notices_t cold;
  cs_crash_notices_t *crash_notices; /* NULL until there are any */
  cs_timer_t notice_timer;           /* fires when notices are to be sent */
  bool notice_due;                   /* notice_timer is set */
  bool reaches_all;                  /* as the heartbeats state */
  cs_version_question_t *questions;  /* of peers, that are searched for */
  size_t question_count;
  cs_load_t *sums; /* two per target: of this router's data centre, and of
                     the other data centres */
  size_t sums_capacity;
  size_t sums_count; /* of targets in SUMS; 0: they are out of date */
};

/* Number of heartbeats whose send times are kept.  A heartbeat is echoed by
   the peer's next one, so only a few are in flight.  */
#define CS_HEARTBEAT_HISTORY 16

/* A connection to another router.  */
struct cs_link
{
  cs_mesh_t *mesh;
  cs_link_t *next;
  cs_channel_t *channel;
  cs_buf_t received;      /* incomplete frame */
  bool dialled;           /* by this router */
  bool hello_received;    /* the peer's Hello, which names it, has arrived */
  uint64_t id;            /* of the peer; known before its Hello if dialled */
  uint32_t capacity;      /* of the peer, from its Hello */
  bool reads_compressed;  /* the peer does */
  bool saves_streams;     /* likewise */
  bool finds_versions;    /* likewise */
  bool reads_evacuations; /* likewise */
  bool reads_versions;    /* likewise */
  uint32_t max_crash_parts; /* that the peer reads of a crash */
  bool reaches_all; /* the peer is a first hub that reaches all routers */
  uint64_t data_centre;
  cs_time_us_t last_received_at;

  /* The versions that the peer has, as last reported by it or sent to it.  */
  uint64_t routing_version;
  cs_revision_t targets_revision;
  cs_revision_t evacuations_revision;
  uint32_t evacuations_kept_sent; /* of cs_evacuations_kept_total */
  bool was_behind;                /* at the previous heartbeat */
  cs_time_us_t targets_known_at;  /* the earliest time at which the peer can
                                     have written its latest heartbeat */

  /* Positions in the mesh's notices.  */
  uint64_t leaving_sent;
  uint64_t limits_sent;
  uint64_t cold_sent;
  uint64_t crash_notices_sent;
  /* Numbers of streams: sent to the peer for it to save; and received from it,
     of those in the save in progress, and in the last one that succeeded.  */
  uint64_t streams_sent;
  uint64_t streams_received;
  uint64_t streams_saving;
  uint64_t streams_saved;

  uint64_t versions_sent;    /* state of cs_stream_versions_to_tell */
  bool blocked_sent;         /* the list of blocked parts */
  uint32_t last_sent_number; /* of heartbeats */
  uint32_t last_received_number;
  cs_time_us_t heartbeat_sent_at[CS_HEARTBEAT_HISTORY];

  /* Loads as last exchanged; only changes are sent.  */
  cs_load_table_t peer_own;    /* the peer's own load */
  cs_load_table_t peer_others; /* load of all routers except this one,
                                  if the peer is a hub */
  bool has_others;
  cs_load_table_t sent_own;
  cs_load_table_t sent_others;
  size_t next_load; /* index of the target with which the next heartbeat
                       starts */
};

/* known_versions.c */

/* Sends the versions of the targets to the peer of LINK if it has not been
   told them.  */
void cs_known_versions_send (cs_link_t *link, cs_time_us_t now);
void cs_known_versions_read (cs_link_t *link,
                             const Cs__Router__Versions *message,
                             cs_time_us_t now);

/* frames.c: a frame is a 4-byte big-endian length and a packed message.  */

/* Appends FRAME to OUT.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_router_frame_pack (const cs_router_frame_t *frame, cs_buf_t *out);

/* Likewise, for peers that read compressed frames.  */
int cs_router_frame_pack_compressed (const cs_router_frame_t *frame,
                                     cs_buf_t *out);

/* Parses the first frame in BYTES and sets *CONSUMED to its length.  Returns
   CS_OK with *FRAME NULL if it is incomplete, or CS_ERR_BAD_FRAME.  The caller
   frees *FRAME with cs__router__frame__free_unpacked.  */
int cs_router_frame_parse (cs_str_t bytes, cs_router_frame_t **frame,
                           size_t *consumed);

/* link.c */

/* Opens a link to MEMBER and adds it to MESH.  Returns NULL when file
   descriptors or memory run out.  */
cs_link_t *cs_link_dial (cs_mesh_t *mesh, const cs_member_t *member);

/* Listener callback: takes ownership of the accepted connection FD.  MESH is a
   cs_mesh_t.  */
void cs_link_accept (void *mesh, int fd);

/* Closes LINK, removes it from its mesh and frees it.  */
void cs_link_close (cs_link_t *link);

/* Queues the packed frame BYTES for the peer.  It is dropped if too much is
   queued already or memory runs out; the heartbeats then show which state the
   peer lacks.  */
void cs_link_send_bytes (cs_link_t *link, cs_str_t bytes);

/* Likewise, for a frame that isn't packed yet.  */
void cs_link_send (cs_link_t *link, const cs_router_frame_t *frame);

/* mesh.c */

/* Recomputes this router's role, then opens and closes links as the role
   requires.  */
void cs_mesh_update_links (cs_mesh_t *mesh, cs_time_us_t now);

/* Does nothing before the peer's Hello.  */
void cs_link_send_heartbeat (cs_link_t *link, cs_time_us_t now);

/* members.c */

/* Adds or updates a member.  The returned pointer is valid until members are
   next added or removed; NULL for this router itself, an invalid address, or
   when memory runs out.  */
cs_member_t *cs_mesh_add_member (cs_mesh_t *mesh,
                                 const cs_router_entry_t *entry);
void cs_mesh_remove_member (cs_mesh_t *mesh, uint64_t id);

/* Sends the peer of LINK all members.  */
void cs_members_send (cs_link_t *link);

/* Adds those of a peer's members that aren't known yet and can be dialled.  */
void cs_members_read (cs_mesh_t *mesh, const Cs__Router__Members *members);

/* Record that a dialled link to member ID was lost, or that a link to it is
   established.  */
void cs_mesh_on_link_lost (cs_mesh_t *mesh, uint64_t id, cs_time_us_t now);
void cs_mesh_on_link_established (cs_mesh_t *mesh, uint64_t id);

/* Called for a complete list of the platform, in this order.  Members that are
   missing from two consecutive lists are removed, unless they are
   connected.  */
void cs_mesh_list_begin (cs_mesh_t *mesh);
void cs_mesh_list_entry (cs_mesh_t *mesh, const cs_router_entry_t *entry,
                         cs_revision_t revision);
void cs_mesh_list_end (cs_mesh_t *mesh);

/* Returns a listed member that is neither connected nor renewing its entry, or
   NULL.  */
const cs_member_t *cs_mesh_find_expired_member (const cs_mesh_t *mesh);

/* sync.c */

/* Time since the platform last confirmed the state to this router, rounded up.
   Meaningless if it never did.  */
uint32_t cs_sync_age_ms (const cs_sync_state_t *sync_state, cs_time_us_t now);

/* Records that the platform confirmed the state that this router holds, AGE
   milliseconds before WRITTEN_AT.  */
void cs_sync_record_confirmation (cs_sync_state_t *sync_state, uint32_t age,
                                  cs_time_us_t written_at);

/* A revision that a peer states.  One that states no era, such as a router of
   an earlier version, is taken to be in this router's.  */
cs_revision_t cs_sync_peer_revision (const cs_router_t *router, uint64_t era,
                                     uint64_t number);
void cs_sync_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                             cs_time_us_t now);
void cs_sync_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                             cs_time_us_t now);
void cs_sync_read_routing (cs_link_t *link,
                           const Cs__Router__Routing *routing);
void cs_sync_read_targets (cs_link_t *link, const Cs__Router__Targets *targets,
                           cs_time_us_t now);

/* Sends the peer the routing and the target changes that it lacks.  */
void cs_sync_send_missing (cs_link_t *link, cs_time_us_t now);

/* evacuation_sync.c: the same for evacuations.  */
void cs_evacuation_sync_fill_heartbeat (const cs_router_t *router,
                                        Cs__Router__Beat *beat,
                                        cs_time_us_t now);

/* WRITTEN_AT is the earliest time at which the peer can have written BEAT.  */
void cs_evacuation_sync_read_heartbeat (cs_link_t *link,
                                        const Cs__Router__Beat *beat,
                                        cs_time_us_t written_at);
void cs_sync_read_evacuations (cs_link_t *link,
                               const Cs__Router__Evacuations *evacuations,
                               cs_time_us_t now);

/* Whether the peer lacks what this router knows.  */
bool cs_evacuation_sync_is_behind (const cs_link_t *link, cs_time_us_t now);
void cs_evacuation_sync_send (cs_link_t *link, cs_time_us_t now);

/* loads.c */

/* Recomputes the sums of the loads that peers reported, once per heartbeat
   interval.  */
void cs_loads_update_sums (cs_mesh_t *mesh);

/* Call when the heartbeats of an interval have been sent: the sums don't
   follow later changes of the fleet.  */
void cs_loads_discard_sums (cs_mesh_t *mesh);

/* Fills in the loads of BEAT for LINK; none if there are no current sums. They
   are in static memory, valid until the next call.  */
void cs_loads_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat);
void cs_loads_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat);

/* Updates the fleet's targets with the load that peers reported.  */
void cs_loads_apply (cs_mesh_t *mesh, cs_time_us_t now);

/* Returns the link to the best-ranked hub of this data centre that reports the
   other routers' load, or NULL.  */
cs_link_t *cs_loads_find_hub (const cs_mesh_t *mesh);

/* streams.c */
void cs_streams_read (cs_link_t *link, const Cs__Router__Streams *streams,
                      cs_time_us_t now);
void cs_streams_read_saved (cs_link_t *link,
                            const Cs__Router__StreamsSaved *saved,
                            cs_time_us_t now);

/* version_questions.c */
void cs_version_questions_read (cs_link_t *link,
                                const Cs__Router__FindVersion *asked,
                                cs_time_us_t now);

/* Ends the searches for the peer of LINK.  */
void cs_version_questions_end (cs_link_t *link);

/* Updates what the next heartbeats say of the routers that are reached.  */
void cs_mesh_update_reach (cs_mesh_t *mesh, cs_time_us_t now);

/* notices.c: spreads what targets say of themselves over all routers.  A
   router passes a notice on if it did not know it, so each link carries each
   notice once in either direction.  */

/* Fills in the notices of BEAT that LINK has not sent; none before the peer
   has a list of targets.  They are in static memory, valid until the next
   call.
 */
void cs_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                                cs_time_us_t now);
void cs_notices_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                                cs_time_us_t now);

/* Whether another notice may be added now, if there are to be at most
   MAX_PER_S a second.  */
bool cs_notice_is_within_rate (cs_notice_rate_t *rate, uint32_t max_per_s,
                               cs_time_us_t now);

/* Ages of what heartbeats report, in milliseconds.  */
uint32_t cs_notice_age_ms (cs_time_us_t at, cs_time_us_t now);
cs_time_us_t cs_notice_time (uint32_t age_ms, cs_time_us_t now);
void cs_notices_free (cs_mesh_t *mesh);

/* Sends extra heartbeats soon, which carry the notices.  */
void cs_mesh_send_notices (cs_mesh_t *mesh);

/* crash_notices.c: spreads what is known of parts under which targets crash,
   in the same way.  */
bool cs_crash_notices_are_due (const cs_link_t *link);
void cs_crash_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                                      cs_time_us_t now);
void cs_crash_notices_read_heartbeat (cs_link_t *link,
                                      const Cs__Router__Beat *beat,
                                      cs_time_us_t now);

#endif
