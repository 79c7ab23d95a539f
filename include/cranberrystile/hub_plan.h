/* Selects the hubs of a data centre: the routers that watch the platform on
   behalf of the others.

   All routers rank each other by their capacity, and those of equal capacity
   by the same hash of their names.  The two highest ranked reachable routers
   of a data centre are its hubs: they watch the platform and relay its
   changes.  The others do not contact the platform as long as the data from a
   hub is fresh.  No consensus is needed: routers that see different members at
   worst both watch the platform.  */

#ifndef CS_HUB_PLAN_H
#define CS_HUB_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Two, so that the loss of one hub does not interrupt updates.  */
#define CS_HUBS_PER_DATA_CENTRE 2

typedef struct
{
  uint64_t id;          /* hash of the name */
  uint32_t capacity;    /* relative, to serve peers */
  uint64_t data_centre; /* hash of the data centre's name */
  bool is_unreachable;  /* could not be reached recently */
  bool is_absent;       /* should have opened a connection to this router, and
                           hasn't for some time */
} cs_hub_member_t;

typedef struct
{
  size_t rank; /* number of reachable routers of the data centre that rank
                  before this one */
  bool is_hub;
  bool is_preferred_hub; /* a hub even if all members were reachable */
  bool is_first; /* the highest ranked hub, which also connects to the first
                    hubs of other data centres */
} cs_hub_role_t;

/* Whether A ranks before B, regardless of their data centres and of whether
   they can be reached.  */
bool cs_hub_ranks_before (const cs_hub_member_t *a, const cs_hub_member_t *b);

/* Determines the role of SELF among the COUNT other MEMBERS, and sets DIAL[i]
   to whether SELF opens a connection to MEMBERS[i].  It connects to the hubs
   of its data centre that rank before it and, if it is the first hub, to the
   first hubs of other data centres that rank before it.  A hub also connects
   to absent routers that would otherwise connect to it: one that restarts
   while the platform is away knows no peer.  */
void cs_hub_plan (const cs_hub_member_t *self, const cs_hub_member_t *members,
                  size_t count, cs_hub_role_t *role, bool *dial);

#endif
