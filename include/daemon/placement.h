/* Placement on a daemon: asks the owner of a pool for a target, and is the
   owner of the pools that fall to this host.  Thread-safe.

   docs/design/owners.md explains how ownership moves.  */

#ifndef CS_DAEMON_PLACEMENT_H
#define CS_DAEMON_PLACEMENT_H

#include "cranberrystile/counters.h"
#include "cranberrystile/owner.h"
#include "daemon/configuration.h"
#include "daemon/endpoints.h"
#include "daemon/members.h"
#include "daemon/peers.h"
#include "daemon/settings.h"

typedef struct
{
  cs_str_t offering;
  uint64_t organisation;
  uint32_t weight;
  uint64_t key;
  uint32_t context_tokens;
  bool batch;
  cs_avoid_list_t avoid;
  cs_time_us_t deadline; /* of the wait for a target */
} cs_place_request_t;

/* A call that was placed; to be ended by cs_placement_finish.  */
typedef struct
{
  uint64_t pool;
  uint64_t call;
  uint64_t target;
  cs_placement_reason_t why;
} cs_placed_t;

typedef struct cs_placement cs_placement_t;

cs_placement_t *cs_placement_create (const cs_settings_t *settings,
                                     cs_members_t *members,
                                     cs_configuration_t *configuration,
                                     cs_endpoints_t *endpoints,
                                     cs_counters_t *counters);

/* Gives it the means to send and starts its thread.  */
int cs_placement_start (cs_placement_t *placement, cs_peers_t *peers);

/* Ends the thread; no frame is sent from then on.  */
void cs_placement_stop (cs_placement_t *placement);
void cs_placement_destroy (cs_placement_t *placement);

/* Waits for a target until the deadline.  Returns 0 with *OUT, or an error
   with *RETRY_AFTER_S.  */
int cs_placement_ask (cs_placement_t *placement,
                      const cs_place_request_t *request, cs_placed_t *out,
                      uint32_t *retry_after_s);

/* Ends a call.  ERROR is how the target fared: 0 for a good answer.  */
void cs_placement_finish (cs_placement_t *placement, const cs_placed_t *placed,
                          int error);

/* Whether the pools of a release have been set up; asks before that find no
   target.  */
bool cs_placement_has_pools (cs_placement_t *placement);

/* The set or the state of targets, or of hosts, may have changed.  */
void cs_placement_refresh (cs_placement_t *placement);

/* HOST is gone: its calls are over, its asks are void.  */
void cs_placement_host_lost (cs_placement_t *placement, uint64_t host);

/* A link to HOST came up: what it owns is handed over to it again.  */
void cs_placement_host_connected (cs_placement_t *placement, uint64_t host);

/* A load report of a target of this region.  */
void cs_placement_report (cs_placement_t *placement, uint64_t target,
                          uint32_t running, cs_time_us_t taken);

/* A poll of TARGET failed, here or on a peer.  */
void cs_placement_poll_failed (cs_placement_t *placement, uint64_t target);
void cs_placement_poll_succeeded (cs_placement_t *placement, uint64_t target);

/* A new instance of TARGET has started: it is cold and ramps up.  */
void cs_placement_target_started (cs_placement_t *placement, uint64_t target);

/* Frames of peers, for the kinds that belong here.  */
void cs_placement_frame (cs_placement_t *placement, cs_link_t *link,
                         const cs_frame_t *frame);

/* Calls of this router that are in flight or waiting.  */
size_t cs_placement_in_flight (cs_placement_t *placement);

/* Appends to OUT an array of the pools that this host owns, with loads.  */
json_t *cs_placement_status (cs_placement_t *placement);

/* Where a chat with KEY would go, and why, as this host sees it.  */
json_t *cs_placement_explain (cs_placement_t *placement, cs_str_t offering,
                              uint64_t key);

/* Spare calls of each owned pool, for summaries to other regions.  */
typedef struct
{
  uint64_t offering; /* hash of its name */
  uint32_t spare;
  uint32_t targets;
} cs_pool_summary_t;
size_t cs_placement_summaries (cs_placement_t *placement,
                               cs_pool_summary_t *out, size_t size);

#endif
