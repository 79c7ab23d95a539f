/* The targets of one pool and their calls in flight, kept by the router that
   owns the pool.  A pool is the set of targets that serve one offering in one
   region.

   Each pool is owned by one live router of the region (see
   cranberrystile/hosts.h).  Every router requests a grant from the owner
   before it sends a call to a target, so the cap on a target's load is applied
   to exact counts of calls in flight and not to delayed views.

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

/* Placement algorithms.  The daemon uses CS_PLACE_BOUNDED for models and
   CS_PLACE_LEAST_LOADED for plain services, which have no cache to reuse; the
   others are baselines for benchmarks.  */
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
  cs_placement_algorithm_t placement_algorithm;
  double cap_factor;      /* maximum load is ceil (cap_factor * mean) */
  double short_factor;    /* the factor for chats without context */
  double long_share;      /* cap_factor applies in full to chats whose context
                             is at least this multiple of the pool's mean; the
                             factor of shorter ones is interpolated */
  uint32_t spill_ranks;   /* ranked targets considered after the first */
  cs_time_us_t settle_us; /* age at which a granted call is included in the
                             mean */
  cs_time_us_t ramp_us;   /* time in which a joining target gains its full
                             weight */
  uint32_t spill_entries; /* size of the table of spilled chats */
  cs_time_us_t spill_ttl_us;
  double surge_headroom; /* share of each target's slots withheld from
                            organisations that use more than an equal share
                            of all slots */
} cs_pool_policy_t;

/* Returns the defaults; docs/design/placement.md gives the reasons.  */
cs_pool_policy_t cs_pool_policy_default (void);

typedef enum
{
  CS_TARGET_LIVE,
  CS_TARGET_EJECTED, /* failing; receives no calls but keeps its rank */
  CS_TARGET_LEAVING  /* receives no new calls; running calls continue */
} cs_target_state_t;

/* Why a target was chosen.  The values are sent to other routers.  */
typedef enum
{
  CS_REASON_FIRST_RANKED, /* ranked first and below its threshold */
  CS_REASON_SPILL_KEPT,   /* the chat was spilled to this target before */
  CS_REASON_SPILL,        /* the least loaded of the next ranked targets */
  CS_REASON_LEAST_LOADED, /* the least loaded of all targets */
  CS_REASON_BASELINE      /* by an algorithm other than CS_PLACE_BOUNDED */
} cs_placement_reason_t;

typedef struct
{
  uint64_t router; /* id of the requesting router */
  uint64_t call;   /* unique among the calls of that router */
  uint64_t organisation;
  uint64_t key;            /* chat key */
  uint32_t context_tokens; /* tokens that a cached context would save */
  cs_avoid_list_t avoid;   /* used only if no other target is live */
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
  uint32_t load;     /* calls granted and not released, plus EXTERNAL */
  uint32_t external; /* running calls that this owner did not grant */
} cs_pool_target_t;

typedef struct cs_pool cs_pool_t;

/* Creates a pool without targets; SEED seeds the random choices.  Returns NULL
   if memory is exhausted.  */
cs_pool_t *cs_pool_create (const cs_pool_policy_t *policy, uint64_t seed);
void cs_pool_destroy (cs_pool_t *pool);

/* Replaces the policy.  The spill table keeps its size and expiry time.  */
void cs_pool_set_policy (cs_pool_t *pool, const cs_pool_policy_t *policy);

/* Adds target ID or updates its slots and state.  JOINED marks a target that
   has just started with an empty cache; its weight is ramped up.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_pool_set_target (cs_pool_t *pool, uint64_t id, uint32_t slots,
                        cs_target_state_t state, bool joined,
                        cs_time_us_t now);

/* Removes target ID; its calls stay in the pool's count until they are
   released.  */
void cs_pool_remove_target (cs_pool_t *pool, uint64_t id);

/* Sets the largest number of live targets that any router of the region
   reports.  The mean is taken over the larger of this and the number known
   here, so that a target that is not known here yet cannot raise the cap.  */
void cs_pool_set_reported_targets (cs_pool_t *pool, uint32_t count);

/* Applies a load report of target ID: RUNNING calls at time TAKEN.  Calls in
   excess of those granted here count as external until the next report.  */
void cs_pool_apply_load_report (cs_pool_t *pool, uint64_t id, uint32_t running,
                                cs_time_us_t taken);

/* Chooses a target and adds the call to its load.  A request that is resent
   for a placed call gets the same target again.  Returns 0, CS_ERR_OVERLOADED
   if no live target has a free slot below its cap, CS_ERR_NO_TARGET if none is
   live, or CS_ERR_NO_MEMORY.  */
int cs_pool_place (cs_pool_t *pool, const cs_placement_request_t *request,
                   cs_time_us_t now, cs_pool_grant_t *grant);

/* Adds a call that was placed before this router became the owner.  Does
   nothing if the pool already has the call.  Returns 0 or CS_ERR_NO_MEMORY. */
int cs_pool_adopt (cs_pool_t *pool, uint64_t router, uint64_t call,
                   uint64_t organisation, uint64_t target, cs_time_us_t now);

/* Ends a call.  Returns false if the call is unknown.  */
bool cs_pool_release (cs_pool_t *pool, uint64_t router, uint64_t call,
                      cs_time_us_t now);

/* Ends all calls of a lost router and returns their number.  */
size_t cs_pool_drop_router (cs_pool_t *pool, uint64_t router,
                            cs_time_us_t now);

/* Excludes the present calls of ROUTER from the mean; they still count in the
   load of their targets.  For a router that now uses another owner and reports
   the end of its calls there.  */
void cs_pool_exclude_router_from_mean (cs_pool_t *pool, uint64_t router);

/* Returns the present cap on a target's load, derived from the lower bound of
   the pool's load.  */
uint32_t cs_pool_cap (cs_pool_t *pool, cs_time_us_t now);

/* Raises the release rate of a new owner, which has not seen calls end yet, to
   the rate of short calls, so that enough releases are expected in flight.  */
void cs_pool_assume_releases (cs_pool_t *pool, cs_time_us_t now);

/* Returns the smoothed number of calls that end per second.  */
double cs_pool_release_rate (const cs_pool_t *pool, cs_time_us_t now);

/* Returns the number of free slots at live targets, regardless of the cap.  */
uint32_t cs_pool_free_slots (const cs_pool_t *pool);

/* Return the calls in flight of the whole pool and of one organisation.  */
uint32_t cs_pool_in_flight (const cs_pool_t *pool);
uint32_t cs_pool_in_flight_of (const cs_pool_t *pool, uint64_t organisation);

/* Returns a borrowed array of the targets, valid until the next change.  */
const cs_pool_target_t *cs_pool_targets (const cs_pool_t *pool, size_t *count);

/* Writes at most SIZE (and at most 16) ids of the ranked targets for KEY into
   IDS, best first, and returns their number.  For diagnostics.  */
size_t cs_pool_explain (cs_pool_t *pool, uint64_t key, cs_time_us_t now,
                        uint64_t *ids, size_t size);

const char *cs_placement_reason_name (cs_placement_reason_t reason);

#endif
