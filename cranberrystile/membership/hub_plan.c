#include "cranberrystile/hub_plan.h"

bool
cs_hub_ranks_before (const cs_hub_member_t *a, const cs_hub_member_t *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return a->id < b->id;
}

/* Returns the number of routers of MEMBER's data centre that rank before
   MEMBER, unreachable ones only if ALL is true.  SELF is one of the routers
   that are counted.  */
static size_t
rank_of (const cs_hub_member_t *member, const cs_hub_member_t *self,
         const cs_hub_member_t *members, size_t count, bool all)
{
  size_t rank = 0;
  if (self->data_centre == member->data_centre
      && cs_hub_ranks_before (self, member))
    rank++;
  for (size_t i = 0; i < count; i++)
    if ((all || !members[i].is_unreachable)
        && members[i].data_centre == member->data_centre
        && cs_hub_ranks_before (&members[i], member))
      rank++;
  return rank;
}

void
cs_hub_plan (const cs_hub_member_t *self, const cs_hub_member_t *members,
             size_t count, cs_hub_role_t *role, bool *dial)
{
  role->rank = rank_of (self, self, members, count, false);
  role->is_preferred_hub
      = rank_of (self, self, members, count, true) < CS_HUBS_PER_DATA_CENTRE;
  role->is_hub = role->rank < CS_HUBS_PER_DATA_CENTRE;
  role->is_first = role->rank == 0;
  for (size_t i = 0; i < count; i++)
    {
      const cs_hub_member_t *member = &members[i];
      bool before = cs_hub_ranks_before (member, self);
      if (member->data_centre != self->data_centre)
        dial[i] = role->is_first && (before || member->is_absent)
                  && rank_of (member, self, members, count, false) == 0;
      else if (before)
        dial[i] = rank_of (member, self, members, count, false)
                  < CS_HUBS_PER_DATA_CENTRE;
      else
        dial[i] = role->is_hub && member->is_absent;
    }
}
