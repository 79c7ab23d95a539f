/* The links to the other routers: dials and accepts them, sends heartbeats,
   and dispatches received frames.  Thread-safe.  */

#ifndef CS_DAEMON_PEERS_H
#define CS_DAEMON_PEERS_H

#include "daemon/link.h"
#include "daemon/members.h"
#include "daemon/settings.h"

/* Called from several threads.  */
typedef struct
{
  void *context;
  /* FRAME, borrowed, was received on LINK.  Not called for heartbeats and
     lists of hosts, which are handled internally.  */
  void (*frame) (void *context, cs_link_t *link, const cs_frame_t *frame);
  /* A dialled link was established, or has ended.  */
  void (*connected) (void *context, cs_link_t *link);
  void (*lost) (void *context, uint64_t host);
  /* The peer has release REVISION in force, which is newer than the local
     one.  */
  void (*newer_release) (void *context, cs_link_t *link, uint64_t revision);
  /* Returns the local revision, which heartbeats report.  */
  uint64_t (*revision) (void *context);
} cs_peers_callbacks_t;

typedef struct cs_peers cs_peers_t;

/* Starts the threads and accepts links on LISTENER, which cs_peers_destroy
   closes.  SETTINGS, MEMBERS and COUNTERS are borrowed and must outlive the
   result.  Returns NULL on failure.  */
cs_peers_t *cs_peers_create (const cs_settings_t *settings,
                             cs_members_t *members, cs_counters_t *counters,
                             int listener,
                             const cs_peers_callbacks_t *callbacks);

/* Closes all links and joins the threads.  */
void cs_peers_destroy (cs_peers_t *peers);

/* Dials ADDRESS until there has been no link for a minute.  Does nothing for
   the local address and those that are known.  */
void cs_peers_add_address (cs_peers_t *peers, const char *address);

/* Sends FRAME to HOST.  Returns 0, or CS_ERR_CUT if there is no link to it. */
int cs_peers_send (cs_peers_t *peers, uint64_t host, const cs_frame_t *frame);

/* Sends FRAME on all dialled links to hosts of the local region if IN_REGION
   is true, or to hosts of other regions if it is false.  */
void cs_peers_broadcast (cs_peers_t *peers, bool in_region,
                         const cs_frame_t *frame);

/* Sends a heartbeat on all dialled links at once, for example when this host
   starts to leave.  */
void cs_peers_send_heartbeats (cs_peers_t *peers);

#endif
