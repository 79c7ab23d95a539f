/* The targets that are known, by service, with what this router knows of each.
   Not thread-safe.  */

#ifndef CS_FLEET_H
#define CS_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"
#include "cranberrystile/eject.h"
#include "cranberrystile/outcomes.h"

/* What a target says of itself in the platform's list.  The strings are
   borrowed.  */
typedef struct
{
  cs_str_t id;
  cs_str_t service;
  cs_str_t data_centre;
  struct sockaddr_in address;
  uint64_t started_ms; /* wall clock; a later start is another incarnation */
  uint32_t slots;
  uint32_t cold_ms; /* still slow for this long after its start */
  bool draining;
  uint64_t revision; /* of the platform's store that holds this entry */
} cs_target_entry_t;

/* Load as the target last told it with an answer.  */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t own; /* calls of this router in flight at that time */
  cs_time_us_t at;
  bool known;
} cs_target_load_t;

typedef struct cs_target
{
  cs_name_t id;
  cs_name_t service;
  cs_name_t data_centre;
  uint64_t hash; /* of the id */
  struct sockaddr_in address;
  uint64_t started_ms;
  uint32_t slots;
  bool leaving;            /* for good: it gets no new call */
  cs_time_us_t kept_until; /* not listed, but may have lapsed while the
                              platform was away; 0: listed */
  cs_target_load_t load;
  uint32_t in_flight;         /* calls of this router */
  uint32_t peer_calls;        /* calls of other routers, as they told */
  cs_time_us_t peer_calls_at; /* when they were told; 0: not yet */
  uint64_t changed;           /* revision of its last change */
  cs_time_us_t joined_at;     /* this incarnation became known */
  cs_eject_t eject;
  cs_outcomes_t outcomes; /* of all routers */
  uint32_t ended;         /* calls of this router, in all */
  uint32_t failed;
  uint32_t peers_ended; /* calls of others, as they last told */
  uint32_t peers_failed;
  cs_time_us_t heard_at; /* last answer byte; 0: none yet */
  uint32_t references;
  void *user; /* of the program: its connections to the target */
} cs_target_t;

typedef struct cs_fleet cs_fleet_t;

/* Told when a target is no longer known; in-flight calls go on.  */
typedef void cs_fleet_gone_fn (void *context, cs_target_t *target);

cs_fleet_t *cs_fleet_create (cs_fleet_gone_fn *gone, void *context);
void cs_fleet_destroy (cs_fleet_t *fleet);

/* Takes in an entry at NOW.  A newer start under a known id replaces the
   incarnation before; an older one is ignored.  *ADDED tells whether a new
   incarnation came.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_fleet_put (cs_fleet_t *fleet, const cs_target_entry_t *entry,
                  cs_time_us_t now, bool *added);

/* The entry ID has been removed.  Until KEPT_UNTIL entries of live targets may
   come back that lapsed while the platform was away, so the target stays in
   use until then; when that is past it gets no new calls from now on.  Returns
   whether it was known.  */
bool cs_fleet_remove (cs_fleet_t *fleet, cs_str_t id, cs_time_us_t kept_until,
                      cs_time_us_t now);

/* The list is known as it was at REVISION of the platform's store.  It never
   goes back.  */
void cs_fleet_set_revision (cs_fleet_t *fleet, uint64_t revision);
uint64_t cs_fleet_revision (const cs_fleet_t *fleet);

/* Removals that are remembered for those who know an older list.  */
#define CS_FLEET_REMOVALS 128

/* The ids removed after revision SINCE, newest first; *COUNT of them.  Returns
   false when some are no longer remembered, so that only the whole list
   helps.  */
bool cs_fleet_removed_since (const cs_fleet_t *fleet, uint64_t since,
                             const cs_name_t *out[CS_FLEET_REMOVALS],
                             size_t *count);

/* Whether the target ID is not known, and was or may have been until it was
   removed: once a removal is no longer remembered, that holds for any.  */
bool cs_fleet_was_removed (const cs_fleet_t *fleet, cs_str_t id);

/* Before a whole list is taken in, and after: what the list did not name is
   removed as above.  */
void cs_fleet_list_begin (cs_fleet_t *fleet);
void cs_fleet_list_end (cs_fleet_t *fleet, cs_time_us_t kept_until,
                        cs_time_us_t now);

/* Drops the targets that did not come back in their time.  */
void cs_fleet_drop_missing (cs_fleet_t *fleet, cs_time_us_t now);

/* All targets, in no order.  */
cs_target_t *const *cs_fleet_targets (const cs_fleet_t *fleet, size_t *count);

/* Keeps a target that is in use beyond its time in the fleet.  */
cs_target_t *cs_target_reference (cs_target_t *target);
void cs_target_release (cs_target_t *target);

/* Calls expected to be at the target now: this router's own, and those of
   others as last told, by the target with an answer or by other routers.  */
uint32_t cs_target_estimate (const cs_target_t *target);

#endif
