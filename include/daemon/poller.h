/* Polls targets for their load and lifecycle state.  Each target of the region
   is polled by one router, chosen by rendezvous hashing, which reports changes
   to the other routers.  A report states the load or the instance and
   lifecycle state of a target, or that it is unreachable; its frame is
   TargetWord.  */

#ifndef CS_DAEMON_POLLER_H
#define CS_DAEMON_POLLER_H

#include "daemon/placement.h"

typedef struct cs_poller cs_poller_t;

/* Starts the polling threads.  The arguments are borrowed and must outlive the
   result.  Returns NULL if memory is exhausted.  If a thread cannot be
   created, those that started before it do all polls.  */
cs_poller_t *cs_poller_create (const cs_settings_t *settings,
                               cs_members_t *members,
                               cs_endpoints_t *endpoints,
                               cs_placement_t *placement, cs_peers_t *peers,
                               cs_counters_t *counters);

/* Joins the threads.  */
void cs_poller_destroy (cs_poller_t *poller);

/* Applies the report of a peer on a target.  */
void cs_poller_apply_peer_report (cs_poller_t *poller,
                                  const Cs__Peer__TargetWord *report);

/* Applies a report of another source, such as the list of the platform, that
   INSTANCE of ENDPOINT is live or LEAVING.  A change is reported to the peers.
   */
void cs_poller_report_instance (cs_poller_t *poller, cs_endpoint_t *endpoint,
                                cs_str_t instance, bool leaving);

#endif
