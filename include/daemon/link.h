/* A link: one authenticated connection to a peer, another router of the fleet.
   Reference-counted and thread-safe; reading is done by one thread only.  */

#ifndef CS_DAEMON_LINK_H
#define CS_DAEMON_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/counters.h"
#include "cranberrystile/hosts.h"
#include "daemon/frame.h"

typedef struct cs_link cs_link_t;

/* Time without a received frame after which the dialling end closes a link and
   dials again.  */
#define CS_LINK_TIMEOUT_US CS_HOST_TIMEOUT_US

/* Both take ownership of FD and run the handshake, which exchanges the
   identities of the hosts and authenticates both ends by FLEET_KEY.  Return a
   new reference, or NULL on failure; *REJECTED is set if the peer sent a bad
   frame or failed authentication.  */
cs_link_t *cs_link_dial (int fd, cs_str_t fleet_key, const cs_host_t *self,
                         cs_counters_t *counters, bool *rejected);
cs_link_t *cs_link_accept (int fd, cs_str_t fleet_key, const cs_host_t *self,
                           cs_counters_t *counters, bool *rejected);

cs_link_t *cs_link_ref (cs_link_t *link);
void cs_link_unref (cs_link_t *link);

/* Returns the host at the other end, borrowed.  */
const cs_host_t *cs_link_host (const cs_link_t *link);

/* Returns whether this end dialled the link.  Broadcasts are sent on dialled
   links only.  */
bool cs_link_is_dialled (const cs_link_t *link);

/* Sends FRAME.  Returns 0, an error of cs_frame_pack, or CS_ERR_CUT if sending
   fails, which closes the link.  Waits at most one second for a peer that
   doesn't read.  */
int cs_link_send (cs_link_t *link, const cs_frame_t *frame);

/* Blocks until a frame is received or the link is closed.  Returns as
   cs_frame_read; free the frame by cs_frame_free.  */
int cs_link_read (cs_link_t *link, cs_frame_t **frame);

/* Shuts the connection down.  May be called from any thread and repeatedly. */
void cs_link_close (cs_link_t *link);

/* Returns when the last frame was received.  */
cs_time_us_t cs_link_last_received (const cs_link_t *link);

#endif
