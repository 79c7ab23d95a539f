/* Which routers of a data centre follow the platform for the others.

   Routers are ranked by a hash of their names, the same for all of them.  The
   first two of a data centre that can be reached are its hubs: they follow the
   platform and pass on what changes; the others rest as long as a hub's news
   is fresh.  Nothing has to be agreed: two routers that see different members
   only follow the platform both.  */

#ifndef CS_HUB_PLAN_H
#define CS_HUB_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Hubs of a data centre: one may be lost without a pause.  */
#define CS_HUBS_PER_DATA_CENTRE 2

typedef struct
{
  uint64_t id;          /* hash of the name; lower ranks first */
  uint64_t data_centre; /* hash of its name */
  bool is_unreachable;  /* could not be reached lately */
} cs_hub_member_t;

typedef struct
{
  size_t rank; /* reachable members of the data centre before this router */
  bool is_hub;
  bool is_first; /* the hub that speaks with other data centres */
} cs_hub_role_t;

/* Decides the role of SELF among the COUNT other MEMBERS, and sets DIAL[i] for
   those that SELF keeps a connection to: the hubs ranked before it, and, as a
   first hub, those first hubs of other data centres that rank before it.  */
void cs_hub_plan (const cs_hub_member_t *self, const cs_hub_member_t *members,
                  size_t count, cs_hub_role_t *role, bool *dial);

#endif
