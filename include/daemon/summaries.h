/* Sends the spare capacity of the pools that this host owns to other regions,
   once a second.  */

#ifndef CS_DAEMON_SUMMARIES_H
#define CS_DAEMON_SUMMARIES_H

#include "daemon/peers.h"
#include "daemon/placement.h"

typedef struct cs_summaries cs_summaries_t;

/* Starts the thread.  Returns NULL on failure.  PLACEMENT and PEERS are
   borrowed and must outlive the result.  */
cs_summaries_t *cs_summaries_create (cs_placement_t *placement,
                                     cs_peers_t *peers);

/* Joins the thread.  */
void cs_summaries_destroy (cs_summaries_t *summaries);

#endif
