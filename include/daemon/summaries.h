/* Tells other regions once a second what this host's pools can take
   over.  */

#ifndef CS_DAEMON_SUMMARIES_H
#define CS_DAEMON_SUMMARIES_H

#include "daemon/peers.h"
#include "daemon/placement.h"

typedef struct cs_summaries cs_summaries_t;

cs_summaries_t *cs_summaries_create (cs_placement_t *placement,
                                     cs_peers_t *peers);
void cs_summaries_destroy (cs_summaries_t *summaries);

#endif
