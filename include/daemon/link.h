/* One authenticated connection to another router.  Reference-counted and
   thread-safe; reading is done by one thread only.  */

#ifndef CS_DAEMON_LINK_H
#define CS_DAEMON_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/counters.h"
#include "cranberrystile/hosts.h"
#include "daemon/frame.h"

typedef struct cs_link cs_link_t;

/* Silence after which the dialling side closes a link and dials anew.  */
#define CS_LINK_TIMEOUT_US CS_HOST_TIMEOUT_US

/* Both take over FD, prove knowledge of FLEET_KEY to the other end and have it
   proved, and tell each other who they are.  NULL when that fails; *REJECTED
   is set when the other end answered wrongly.  The caller owns the one
   reference.  */
cs_link_t *cs_link_dial (int fd, cs_str_t fleet_key, const cs_host_t *self,
                         cs_counters_t *counters, bool *rejected);
cs_link_t *cs_link_accept (int fd, cs_str_t fleet_key, const cs_host_t *self,
                           cs_counters_t *counters, bool *rejected);

cs_link_t *cs_link_ref (cs_link_t *link);
void cs_link_unref (cs_link_t *link);

/* The other end.  Borrowed.  */
const cs_host_t *cs_link_host (const cs_link_t *link);

/* Whether this end dialled.  Asks go out on dialled links only.  */
bool cs_link_is_dialled (const cs_link_t *link);

/* Sends FRAME whole, or closes the link and returns CS_ERR_CUT.  Waits at most
   a second for a peer that does not read.  */
int cs_link_send (cs_link_t *link, const cs_frame_t *frame);

/* Reads the next frame; blocks until one comes or the link closes.  */
int cs_link_read (cs_link_t *link, cs_frame_t **frame);

/* Ends reading and writing; safe to call from any thread, more than once.  */
void cs_link_close (cs_link_t *link);
cs_time_us_t cs_link_heard (const cs_link_t *link);

#endif
