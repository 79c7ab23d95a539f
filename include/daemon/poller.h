/* Polls targets for their load and life.  Each target of the region is
   polled by one router, found by rendezvous hashing, which tells the others
   what has changed.  */

#ifndef CS_DAEMON_POLLER_H
#define CS_DAEMON_POLLER_H

#include "daemon/placement.h"

typedef struct cs_poller cs_poller_t;

cs_poller_t *cs_poller_create (const cs_settings_t *settings,
                               cs_members_t *members,
                               cs_endpoints_t *endpoints,
                               cs_placement_t *placement, cs_peers_t *peers,
                               cs_counters_t *counters);
void cs_poller_destroy (cs_poller_t *poller);

/* A peer's word about a target.  */
void cs_poller_hear (cs_poller_t *poller, const Cs__Peer__TargetWord *word);

/* The word of another source, such as the platform's list, that INSTANCE of
   ENDPOINT leaves or lives.  Peers are told when it is news.  */
void cs_poller_word (cs_poller_t *poller, cs_endpoint_t *endpoint,
                     cs_str_t instance, bool leaving);

#endif
