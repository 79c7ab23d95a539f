/* Placement of calls on targets: requests grants from the owners of pools, and
   issues them for the pools that this host owns.  Thread-safe.

   A pool consists of the targets of one offering in a region.  Its owner is
   one host of the region, chosen by rendezvous hashing.  A router sends a
   grant request (the frame Ask) to the owner, which responds with a grant, the
   target to use, or with a refusal.  When the owner changes, each router sends
   the new one a hand-over: the list of its calls in flight in the pool.

   docs/design/owners.md explains how ownership changes.  */

#ifndef CS_DAEMON_PLACEMENT_H
#define CS_DAEMON_PLACEMENT_H

#include "cranberrystile/counters.h"
#include "cranberrystile/owner.h"
#include "daemon/configuration.h"
#include "daemon/endpoints.h"
#include "daemon/members.h"
#include "daemon/peers.h"
#include "daemon/settings.h"

/* A request for a grant.  */
typedef struct
{
  cs_str_t offering;
  uint64_t organisation;
  uint32_t weight;         /* of the organisation; 0 counts as 1 */
  uint64_t key;            /* chat key */
  uint32_t context_tokens; /* tokens that a cached context would save */
  bool batch;
  cs_avoid_list_t avoid; /* targets that failed this call */
  cs_time_us_t deadline; /* of the wait for a grant */
} cs_grant_request_t;

/* A call that was granted a target.  End it by cs_placement_finish.  */
typedef struct
{
  uint64_t pool;
  uint64_t call;
  uint64_t target;
  cs_placement_reason_t why;
} cs_placed_call_t;

typedef struct cs_placement cs_placement_t;

/* Returns NULL if memory is exhausted.  The arguments are borrowed and must
   outlive the placement.  */
cs_placement_t *cs_placement_create (const cs_settings_t *settings,
                                     cs_members_t *members,
                                     cs_configuration_t *configuration,
                                     cs_endpoints_t *endpoints,
                                     cs_counters_t *counters);

/* Starts the placement thread; frames are sent by PEERS, which is borrowed.
   Returns 0, or CS_ERR_NO_MEMORY if the thread can't be created.  */
int cs_placement_start (cs_placement_t *placement, cs_peers_t *peers);

/* Stops the thread.  No frames are sent after that.  */
void cs_placement_stop (cs_placement_t *placement);
void cs_placement_destroy (cs_placement_t *placement);

/* Blocks until a target is granted or the deadline of REQUEST has passed.
   Returns 0 and sets *OUT, or returns an error such as CS_ERR_OVERLOADED,
   CS_ERR_NO_TARGET or CS_ERR_DEADLINE.  *RETRY_AFTER_S is the time in seconds
   after which a refused caller may try again, at least 1.  */
int cs_placement_request_grant (cs_placement_t *placement,
                                const cs_grant_request_t *request,
                                cs_placed_call_t *out,
                                uint32_t *retry_after_s);

/* Ends a call.  ERROR is the result at the target, 0 for success; failures of
   the target count towards its ejection.  */
void cs_placement_finish (cs_placement_t *placement,
                          const cs_placed_call_t *placed_call, int error);

/* Returns whether the pools of a release have been set up; requests before
   that find no target.  */
bool cs_placement_has_pools (cs_placement_t *placement);

/* Updates pools, targets and owners soon, on the placement thread.  Call it
   when the set or the state of targets or hosts may have changed.  */
void cs_placement_refresh (cs_placement_t *placement);

/* Ends the calls of HOST, which is lost, and discards its requests.  */
void cs_placement_host_lost (cs_placement_t *placement, uint64_t host);

/* Hands the calls of this router over again to HOST, in the pools that it
   owns.  Call it when a link to HOST is up.  */
void cs_placement_host_connected (cs_placement_t *placement, uint64_t host);

/* Applies a load report of a target of the local region: RUNNING calls at time
   TAKEN.  */
void cs_placement_apply_load_report (cs_placement_t *placement,
                                     uint64_t target, uint32_t running,
                                     cs_time_us_t taken);

/* Reports the result of a poll of TARGET, by this router or a peer.  A target
   whose polls fail is ejected.  */
void cs_placement_poll_failed (cs_placement_t *placement, uint64_t target);
void cs_placement_poll_succeeded (cs_placement_t *placement, uint64_t target);

/* Reports that a new instance of TARGET has started.  Its cache is empty, so
   its weight is ramped up.  */
void cs_placement_target_started (cs_placement_t *placement, uint64_t target);

/* Handles the frames of the placement protocol and ignores others.  */
void cs_placement_handle_frame (cs_placement_t *placement, cs_link_t *link,
                                const cs_frame_t *frame);

/* Returns the number of calls of this router that are in flight or wait for a
   grant.  */
size_t cs_placement_in_flight (cs_placement_t *placement);

/* Returns a new array of the pools that this host owns, with the loads of
   their targets.  */
json_t *cs_placement_status (cs_placement_t *placement);

/* Returns a new object with the owner of the pool of OFFERING and, if that is
   this host, the ranked targets for KEY.  NULL if the pool or its owner is
   unknown.  */
json_t *cs_placement_explain (cs_placement_t *placement, cs_str_t offering,
                              uint64_t key);

/* Spare capacity of a pool, for summaries to other regions.  */
typedef struct
{
  uint64_t offering; /* hash of its name */
  uint32_t spare;    /* free slots at live targets */
  uint32_t targets;
} cs_pool_summary_t;

/* Writes the summaries of at most SIZE pools that this host owns and returns
   their number.  */
size_t cs_placement_summaries (cs_placement_t *placement,
                               cs_pool_summary_t *out, size_t size);

#endif
