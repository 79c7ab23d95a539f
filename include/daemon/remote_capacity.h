/* Spare capacity of the data centres of other regions, from the summaries that
   their routers send, and the choice of a remote host to forward a request to.
   Thread-safe.  */

#ifndef CS_DAEMON_REMOTE_CAPACITY_H
#define CS_DAEMON_REMOTE_CAPACITY_H

#include "daemon/endpoint.h"
#include "daemon/members.h"
#include "peer.pb-c.h"

typedef struct cs_remote_capacity cs_remote_capacity_t;

/* Returns NULL if memory is exhausted.  MEMBERS is borrowed and must outlive
   the result.  */
cs_remote_capacity_t *cs_remote_capacity_create (cs_members_t *members);
void cs_remote_capacity_destroy (cs_remote_capacity_t *remote);

/* Records a summary from a router of DATA_CENTRE.  */
void cs_remote_capacity_update (cs_remote_capacity_t *remote,
                                cs_str_t data_centre,
                                const Cs__Peer__Summary *summary,
                                cs_time_us_t now);

/* Chooses the live host that ranks first for KEY in the data centre with the
   most spare capacity for OFFERING.  Returns a new reference to its endpoint,
   or NULL if there is none or memory is exhausted.  */
cs_endpoint_t *cs_remote_capacity_choose (cs_remote_capacity_t *remote,
                                          cs_str_t offering, uint64_t key,
                                          cs_time_us_t now);

/* Writes the proof that a router of the fleet has forwarded the request
   REQUEST_ID: HMAC-SHA256 with FLEET_KEY, as 64 hex digits and a NUL.  */
void cs_hop_proof (cs_str_t fleet_key, cs_str_t request_id, char out[65]);

#endif
