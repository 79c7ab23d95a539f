/* What other data centres can take over, from their routers' summaries, and
   the choice of a host to hand a request to.  Thread-safe.  */

#ifndef CS_DAEMON_CELLS_H
#define CS_DAEMON_CELLS_H

#include "daemon/endpoint.h"
#include "daemon/members.h"
#include "peer.pb-c.h"

typedef struct cs_cells cs_cells_t;

cs_cells_t *cs_cells_create (cs_members_t *members);
void cs_cells_destroy (cs_cells_t *cells);

void cs_cells_hear (cs_cells_t *cells, cs_str_t data_centre,
                    const Cs__Peer__Summary *summary, cs_time_us_t now);

/* A reference to an endpoint for a live host of the data centre with the most
   spare calls for OFFERING, or NULL when none has any.  */
cs_endpoint_t *cs_cells_choose (cs_cells_t *cells, cs_str_t offering,
                                uint64_t key, cs_time_us_t now);

/* Proof, as 64 hex digits and a zero, that a router of the fleet has handed on
   the request with this id.  */
void cs_cells_hop_proof (cs_str_t fleet_key, cs_str_t request_id,
                         char out[65]);

#endif
