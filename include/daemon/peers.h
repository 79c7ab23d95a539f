/* The links to the other routers: dialling, accepting, heartbeats, and the
   hand-out of received frames.  Thread-safe.  */

#ifndef CS_DAEMON_PEERS_H
#define CS_DAEMON_PEERS_H

#include "daemon/link.h"
#include "daemon/members.h"
#include "daemon/settings.h"

typedef struct
{
  void *context;
  /* A frame of LINK's host; borrowed.  Heartbeats and hosts are handled here
     already.  */
  void (*frame) (void *context, cs_link_t *link, const cs_frame_t *frame);
  /* A dialled link is up, or the host is not reached any more.  */
  void (*connected) (void *context, cs_link_t *link);
  void (*lost) (void *context, uint64_t host);
  /* The peer has a newer release in force than REVISION of ours.  */
  void (*newer_release) (void *context, cs_link_t *link, uint64_t revision);
  /* The revision that heartbeats tell.  */
  uint64_t (*revision) (void *context);
} cs_peers_effects_t;

typedef struct cs_peers cs_peers_t;

/* Takes over LISTENER and starts the threads.  NULL when that fails.  */
cs_peers_t *cs_peers_create (const cs_settings_t *settings,
                             cs_members_t *members, cs_counters_t *counters,
                             int listener, const cs_peers_effects_t *effects);

/* Ends all links and waits for the threads.  */
void cs_peers_destroy (cs_peers_t *peers);

/* Makes a host's address known, so that it is dialled.  */
void cs_peers_learn (cs_peers_t *peers, const char *address);

/* Sends FRAME to HOST.  CS_ERR_CUT when no link to it is up.  */
int cs_peers_send (cs_peers_t *peers, uint64_t host, const cs_frame_t *frame);

/* Sends FRAME on every dialled link whose host is in the own region (NEAR) or
   in another one.  */
void cs_peers_broadcast (cs_peers_t *peers, bool near,
                         const cs_frame_t *frame);

/* Sends a heartbeat on all links now, as when leaving begins.  */
void cs_peers_heartbeat (cs_peers_t *peers);

#endif
