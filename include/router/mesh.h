/* The connections among routers, over which they exchange changes of the
   platform's store and the numbers of calls in flight.

   A member is another router that this one knows, from the platform's list or
   from a connection.  The hubs of a data centre are its two highest ranked
   reachable routers; they watch the platform's store and relay its changes to
   the others.  The highest ranked one is the first hub, which also connects to
   the first hubs of other data centres.  include/cranberrystile/hub_plan.h
   selects them; docs/design/sharing.md explains the design.  */

#ifndef CS_ROUTER_MESH_H
#define CS_ROUTER_MESH_H

#include "cranberrystile/stream_table.h"
#include "router/router.h"
#include "router/stream_versions.h"

/* A router without peers has no mesh: all functions but cs_mesh_create accept
   NULL.  */

/* Starts listening for peers and registers this router in the platform's
   store.  Returns NULL when the address is in use or memory runs out.  */
cs_mesh_t *cs_mesh_create (cs_router_t *router);
void cs_mesh_destroy (cs_mesh_t *mesh);

/* Whether this router needn't watch the platform's store now, because the hubs
   relay its changes and the state that they last confirmed is fresh.  */
bool cs_mesh_can_skip_watch (const cs_mesh_t *mesh,
                             const cs_sync_state_t *sync_state,
                             cs_time_us_t now);

/* Whether this router, which started a short time ago, waits for its hubs to
   send their state instead of reading the store's lists.  */
bool cs_mesh_waits_for_hub (const cs_mesh_t *mesh,
                            const cs_sync_state_t *sync_state,
                            cs_time_us_t now);

/* Whether this router has a hub that tells it when the platform can be reached
   again.  */
bool cs_mesh_has_hub (const cs_mesh_t *mesh);

/* Returns the number of other known routers, reachable or not.  Until the list
   of routers has been read, returns a large number, so that this router
   doesn't use the other routers' share of a common budget.  */
size_t cs_mesh_count_members (const cs_mesh_t *mesh);

/* Returns the number of routers that share the limits of targets, with this
   one: fewer than there are while the first ones register.  Until the list of
   routers has been read, returns a large number.  */
double cs_mesh_count_routers (const cs_mesh_t *mesh);

/* Returns a number that changes with the members; 0 until the list of routers
   has been read so often that it shows the others of a starting fleet.  */
uint64_t cs_mesh_membership (const cs_mesh_t *mesh);

/* Returns the rank of this router, from 0, among the known routers, reachable
   or not, for the target with the hash INCARNATION.  Stores their number, with
   this one, in *ROUTERS; 0 if cs_mesh_membership is 0.  */
size_t cs_mesh_rank (const cs_mesh_t *mesh, uint64_t incarnation,
                     size_t *routers);

/* Whether this router is the first hub of its data centre; false until it has
   read the list of routers.  */
bool cs_mesh_is_first_hub (const cs_mesh_t *mesh);

/* Whether this router is one of the hubs of its data centre; a preferred one
   would be if all other routers could be reached.  */
bool cs_mesh_is_hub (const cs_mesh_t *mesh);
bool cs_mesh_is_preferred_hub (const cs_mesh_t *mesh);

/* Whether this router did not start for the first time.  If so, stores the
   time since its start in *AGE_US.  */
bool cs_mesh_has_restarted (const cs_mesh_t *mesh, cs_time_us_t now,
                            cs_time_us_t *age_us);

/* Whether the platform's list of routers had no entry of an earlier start of
   this one; false until it has been read.  */
bool cs_mesh_is_new (const cs_mesh_t *mesh);

/* Called when the routing or the list of targets has changed: a first hub
   sends the change to its peers immediately.  */
void cs_mesh_push_changes (cs_mesh_t *mesh);

/* Reports to all routers that TARGET says that it is leaving.  */
void cs_mesh_announce_leaving (cs_mesh_t *mesh, const cs_target_t *target);

/* Reports to all routers what TARGET says of its limit.  HOPS routers have
   passed that on.  */
void cs_mesh_announce_limit (cs_mesh_t *mesh, const cs_target_t *target,
                             uint32_t hops);

/* Reports to all routers that TARGET is cold.  HOPS routers have passed that
   on.  */
void cs_mesh_announce_cold (cs_mesh_t *mesh, cs_target_t *target,
                            uint32_t hops);

/* Report to all routers that a target crashed, that a request with a part was
   answered, or that a part is blocked.  HOPS routers have passed the report
   on; those beyond a number that no sound mesh needs are dropped.  */
void cs_mesh_announce_crash (cs_mesh_t *mesh, const cs_crash_t *crash,
                             uint32_t hops);
void cs_mesh_announce_served (cs_mesh_t *mesh, const cs_part_time_t *served,
                              uint32_t hops);
void cs_mesh_announce_blocked (cs_mesh_t *mesh, const cs_part_time_t *blocked);

/* Streams of this router, for its hub to save.  */
typedef struct
{
  const cs_stream_table_t *table;
  uint64_t number; /* of the latest record */
  const uint64_t *ended;
  size_t ended_count;
} cs_stream_changes_t;

/* Sends the hub what it has not been sent of CHANGES.  Returns false if there
   is no hub that saves streams, or this router is the first one itself.  */
bool cs_mesh_pass_streams (cs_mesh_t *mesh,
                           const cs_stream_changes_t *changes);

/* Call when a save of the streams begins, and when it has succeeded: members
   are told which of theirs it contains.  */
void cs_mesh_streams_saving (cs_mesh_t *mesh);
void cs_mesh_streams_saved (cs_mesh_t *mesh);

/* Asks some peers for the version of a stream.  */
void cs_mesh_ask_version (cs_mesh_t *mesh, const cs_version_lookup_t *lookup);

/* Whether all routers can be reached, directly or through the hubs, and none
   had a newer list of targets than this one after SINCE.  */
bool cs_mesh_has_latest_targets (const cs_mesh_t *mesh, cs_time_us_t since);

/* Removes this router's entry from the platform's store, before shutdown.  */
void cs_mesh_leave (cs_mesh_t *mesh);

#endif
