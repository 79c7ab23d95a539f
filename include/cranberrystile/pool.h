/* The owner's table of one pool: the targets of one offering in one region,
   with the exact number of calls that each one carries.

   One live router of the region owns a pool (see cranberrystile/hosts.h).
   Every router asks the owner before it sends a call, so the cap on a target's
   load is judged on exact counts instead of lagged views.

   Not thread-safe; the caller serialises access.  */

#ifndef CS_POOL_H
#define CS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/str.h"
#include "cranberrystile/avoid_list.h"

/* How a target for a call is chosen.  The product uses CS_PLACE_BOUNDED for
   models and CS_PLACE_LEAST_LOADED for plain services, which have no cache to
   reuse; the others are baselines for measurements.  */
typedef enum
{
  CS_PLACE_BOUNDED,
  CS_PLACE_RENDEZVOUS,
  CS_PLACE_LEAST_LOADED,
  CS_PLACE_TWO_CHOICES,
  CS_PLACE_ROUND_ROBIN
} cs_placement_algorithm_t;

typedef struct
{
  cs_placement_algorithm_t way;
  double cap_factor;    /* a load stays <= ceil (cap_factor * mean) */
  double short_factor;  /* cap_factor for a chat with no context */
  double long_share;    /* cap_factor applies whole to a chat whose context is
                           this many times the pool's mean, or longer */
  uint32_t spill_ranks; /* ranked targets considered after the first */
  cs_time_us_t settle_us; /* a grant counts in the mean after this time */
  cs_time_us_t ramp_us;   /* a joining target reaches full weight */
  uint32_t spill_entries; /* chats remembered at their spill target */
  cs_time_us_t spill_ttl_us;
  double surge_headroom; /* share of slots kept from surging callers */
} cs_pool_policy_t;

/* The values that docs/design/placement.md argues for.  */
cs_pool_policy_t cs_pool_policy_default (void);

typedef enum
{
  CS_TARGET_LIVE,
  CS_TARGET_EJECTED, /* failing; gets no calls but keeps its rank */
  CS_TARGET_LEAVING  /* gets no calls; running calls go on */
} cs_target_state_t;

/* Why a target was chosen.  */
typedef enum
{
  CS_REASON_FIRST_RANKED, /* first in rank, under its threshold */
  CS_REASON_SPILL_KEPT,   /* where the chat was spilled to before */
  CS_REASON_SPILL,        /* least loaded of the next ranked */
  CS_REASON_LEAST_LOADED, /* least loaded of all */
  CS_REASON_BASELINE
} cs_placement_reason_t;

typedef struct
{
  uint64_t router; /* id of the router that asks */
  uint64_t call;   /* unique among the calls of that router */
  uint64_t organisation;
  uint64_t key;            /* chat key */
  uint32_t context_tokens; /* tokens that a warm cache would save */
  cs_avoid_list_t avoid;   /* used only if no other is live */
} cs_placement_request_t;

typedef struct
{
  uint64_t target;
  cs_placement_reason_t why;
} cs_pool_grant_t;

typedef struct
{
  uint64_t id;
  cs_target_state_t state;
  uint32_t slots;
  uint32_t load;     /* calls granted and not released, and foreign calls */
  uint32_t external; /* running calls that no permit of ours explains */
} cs_pool_target_t;

typedef struct cs_pool cs_pool_t;

cs_pool_t *cs_pool_create (const cs_pool_policy_t *policy, uint64_t seed);
void cs_pool_destroy (cs_pool_t *pool);
void cs_pool_set_policy (cs_pool_t *pool, const cs_pool_policy_t *policy);

/* Adds target ID or updates its slots and state.  JOINED says that the target
   started just now and is cold; it then ramps up.  */
int cs_pool_set_target (cs_pool_t *pool, uint64_t id, uint32_t slots,
                        cs_target_state_t state, bool joined,
                        cs_time_us_t now);

/* Removes target ID; its calls still count until they are released.  */
void cs_pool_remove_target (cs_pool_t *pool, uint64_t id);

/* Tells how many targets any router of the region believes to be live.
   The mean is taken over the larger of this and the own number, so that a
   target which the owner has not heard of yet cannot raise the cap.  */
void cs_pool_set_reported_targets (cs_pool_t *pool, uint32_t count);

/* Takes a load report of a target: RUNNING calls at time TAKEN.  Calls that no
   permit explains are counted as external until the next report.  */
void cs_pool_apply_load_report (cs_pool_t *pool, uint64_t id, uint32_t running,
                                cs_time_us_t taken);

/* Chooses a target and counts the call on it.  Returns 0, CS_ERR_OVERLOADED
   when no target is under its cap just now, or CS_ERR_NO_TARGET.  */
int cs_pool_place (cs_pool_t *pool, const cs_placement_request_t *ask,
                   cs_time_us_t now, cs_pool_grant_t *grant);

/* Counts a call that a router placed before this owner took over.  */
int cs_pool_adopt (cs_pool_t *pool, uint64_t router, uint64_t call,
                   uint64_t organisation, uint64_t target, cs_time_us_t now);

/* Ends a call.  Unknown calls are ignored; returns whether it was known.  */
bool cs_pool_release (cs_pool_t *pool, uint64_t router, uint64_t call,
                      cs_time_us_t now);

/* Forgets all calls of a router that is gone; returns how many.  */
size_t cs_pool_drop_router (cs_pool_t *pool, uint64_t router,
                            cs_time_us_t now);

/* ROUTER asks another owner now and tells that one how its calls end: they
   still count on their targets, but not in the mean any more.  */
void cs_pool_exclude_router_from_mean (cs_pool_t *pool, uint64_t router);

/* Present cap on a target's load, judged by what this owner can be sure of. */
uint32_t cs_pool_cap (cs_pool_t *pool, cs_time_us_t now);

/* Has a new owner, which has not seen calls end yet, expect as many releases
   to be under way as short calls would send.  */
void cs_pool_assume_releases (cs_pool_t *pool, cs_time_us_t now);

/* Calls ended per second, smoothed.  */
double cs_pool_release_rate (const cs_pool_t *pool, cs_time_us_t now);

/* Calls that the live targets could still take if there were no cap.  */
uint32_t cs_pool_free_slots (const cs_pool_t *pool);

/* Calls in flight of the whole pool, and of one organisation.  */
uint32_t cs_pool_in_flight (const cs_pool_t *pool);
uint32_t cs_pool_in_flight_of (const cs_pool_t *pool, uint64_t organisation);

/* Borrowed array of the targets, valid until the next change.  */
const cs_pool_target_t *cs_pool_targets (const cs_pool_t *pool, size_t *count);

/* Writes the ranked targets for KEY into IDS, best first; for reports.  */
size_t cs_pool_explain (cs_pool_t *pool, uint64_t key, cs_time_us_t now,
                        uint64_t *ids, size_t size);

const char *cs_placement_reason_name (cs_placement_reason_t why);

#endif
