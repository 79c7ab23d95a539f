/* The registry of targets, with the state that this router keeps for each.
   Not thread-safe.  */

#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"
#include "cranberrystile/cold_limit.h"
#include "cranberrystile/eject.h"
#include "cranberrystile/named_limit.h"
#include "cranberrystile/outcomes.h"
#include "cranberrystile/pace.h"
#include "cranberrystile/revision.h"
#include "cranberrystile/slowness.h"

/* A target's entry in the platform's list.  The strings are borrowed.  */
typedef struct
{
  cs_str_t id;
  cs_str_t service;
  cs_str_t data_centre;
  struct sockaddr_in address;
  uint64_t started_ms; /* wall clock; a later start is a new incarnation */
  uint32_t slots;
  bool states_cold; /* COLD_MS is set */
  uint32_t cold_ms; /* it is cold for this much longer; 0: it isn't */
  uint64_t version; /* hash of the service and its software's version */
  bool from_peer;   /* in another router's list, not the platform's */
  bool draining;
  cs_revision_t revision; /* of the platform's store, at this entry */
} cs_target_entry_t;

/* Longest pause that a target can ask for.  A clock that is wrong in seconds
   must not keep requests from it for good.  */
#define CS_TARGET_MAX_PAUSE_US (24 * 60 * 60 * CS_US_PER_S)

/* Load that the target last reported with a response.  */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t own_in_flight; /* this router's calls in flight at that time */
  cs_time_us_t at;
  bool valid;
} cs_target_load_t;

typedef struct cs_target
{
  cs_name_t id;
  cs_name_t service;
  cs_name_t data_centre;
  uint64_t hash;        /* of the id */
  uint64_t incarnation; /* hash of the id and the start */
  struct sockaddr_in address;
  uint64_t started_ms;
  uint64_t version; /* hash of the service and its software's version; 0: not
                       stated by a router of an earlier release */
  uint32_t slots;
  bool leaving;              /* permanent: it gets no new calls */
  cs_time_us_t kept_until;   /* unlisted, but retained until then because its
                                entry may have lapsed in an outage of the
                                platform; 0: listed */
  cs_time_us_t paused_until; /* the target refused a call of this router and
                                asked for none until then; 0: never */
  cs_time_us_t held_until;   /* not used before: it was gone before the store
                                was restored, whose copy lists it; 0: never */
  cs_named_limit_t named_limit;
  cs_cold_limit_t cold;
  cs_pace_t pace;
  double weight; /* in the choice of targets; below 1 with a limit or a pace */
  cs_target_load_t load;
  cs_slowness_t slowness;
  bool load_excess_logged;    /* a part of its load that was left out */
  uint32_t in_flight;         /* calls of this router */
  uint32_t peer_calls;        /* other routers' calls in flight, as reported */
  cs_time_us_t peer_calls_at; /* when they were reported; 0: never */
  cs_revision_t changed_revision; /* revision of its last change */
  cs_time_us_t joined_at;         /* when this incarnation was added */
  cs_eject_t eject;
  cs_outcomes_t outcomes; /* over all routers */
  uint32_t ended;         /* this router's calls, in total */
  uint32_t failed;
  uint32_t peers_ended; /* others' calls, as last reported */
  uint32_t peers_failed;
  cs_time_us_t last_received_at; /* last response byte; 0: none yet */
  uint32_t references;
  void *user_data; /* the program's, not freed: connections to the target */
} cs_target_t;

typedef struct cs_fleet cs_fleet_t;

/* Called when a target is removed; its calls in flight continue.  */
typedef void cs_fleet_removed_fn (void *context, cs_target_t *target);

/* Returns NULL if memory is exhausted.  */
cs_fleet_t *cs_fleet_create (cs_fleet_removed_fn *removed, void *context);

/* Removes all targets, with a callback for each, and frees the registry.  */
void cs_fleet_destroy (cs_fleet_t *fleet);

/* Adds or updates the target of ENTRY.  A new incarnation of a known id
   replaces the old one; an entry with an older start is ignored.  An
   incarnation that is added again after its removal is leaving and cold as it
   was then; one that was removed in an earlier era of the store is held.  Sets
   *ADDED if a new incarnation was added.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_fleet_put (cs_fleet_t *fleet, const cs_target_entry_t *entry,
                  cs_time_us_t now, bool *added);

/* The target itself says that it is leaving.  Returns whether that was not
   known.  */
bool cs_fleet_set_leaving (cs_fleet_t *fleet, cs_target_t *target);

/* Returns the target ID if its present incarnation is the one that started at
   STARTED_MS at ADDRESS, or NULL.  */
cs_target_t *cs_fleet_find_incarnation (const cs_fleet_t *fleet, cs_str_t id,
                                        uint64_t started_ms,
                                        const struct sockaddr_in *address);

/* Returns the target whose present incarnation has the hash INCARNATION, or
   NULL.  */
cs_target_t *cs_fleet_find_by_hash (const cs_fleet_t *fleet,
                                    uint64_t incarnation);

/* Returns a target of VERSION that isn't leaving, or NULL.  */
cs_target_t *cs_fleet_find_version (const cs_fleet_t *fleet, uint64_t version);

/* The entry ID was removed from the platform.  Entries of live targets that
   lapsed in an outage of the platform may be registered again until
   KEPT_UNTIL, so the target stays in use until then.  If that time has passed,
   the target is removed at once.  Returns whether ID was known.  */
bool cs_fleet_remove (cs_fleet_t *fleet, cs_str_t id, cs_time_us_t kept_until,
                      cs_time_us_t now);

/* Sets the time after which the store no longer lists a target that is gone,
   and for which a held target is not used.  Initially 0.  */
void cs_fleet_set_hold (cs_fleet_t *fleet, cs_time_us_t hold_us);

/* Records that the registry reflects REVISION of the platform's store.  Lower
   revisions are ignored.  */
void cs_fleet_set_revision (cs_fleet_t *fleet, cs_revision_t revision);
cs_revision_t cs_fleet_revision (const cs_fleet_t *fleet);

/* Number of past removals that are kept, for peers with an older list.  */
#define CS_FLEET_REMOVALS 128

/* Stores the ids removed after revision SINCE, newest first, and their number
   in *COUNT.  Returns false if some of them are no longer recorded, or SINCE
   is of an earlier era or before the last list, so that the full list has to
   be sent.  */
bool cs_fleet_removed_since (const cs_fleet_t *fleet, cs_revision_t since,
                             const cs_name_t *out[CS_FLEET_REMOVALS],
                             size_t *count);

/* Whether ID is unknown and was, or may have been, removed.  Once a removal
   record has been evicted, that is true for every unknown id.  */
bool cs_fleet_was_removed (const cs_fleet_t *fleet, cs_str_t id);

/* Bracket the processing of a full list: entries that were not put in between
   are removed as by cs_fleet_remove.  */
void cs_fleet_list_begin (cs_fleet_t *fleet);
void cs_fleet_list_end (cs_fleet_t *fleet, cs_time_us_t kept_until,
                        cs_time_us_t now);

/* Removes retained targets whose entry was not registered again in time.  */
void cs_fleet_remove_expired (cs_fleet_t *fleet, cs_time_us_t now);

/* All targets, in no particular order.  Borrowed until the next change.  */
cs_target_t *const *cs_fleet_targets (const cs_fleet_t *fleet, size_t *count);

/* References keep a target allocated after its removal.  */
cs_target_t *cs_target_reference (cs_target_t *target);
void cs_target_release (cs_target_t *target);

/* Applies a later ENTRY of the same incarnation, which may have been moved to
   another data centre.  */
void cs_target_update_data_centre (cs_target_t *target,
                                   const cs_target_entry_t *entry);

/* Estimated number of calls at the target: this router's own, plus those of
   other routers as last reported by the target or by the routers.  */
uint32_t cs_target_estimated_calls (const cs_target_t *target);

#endif
