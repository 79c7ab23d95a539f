/* Follows the evacuations in the store.  Only the names of the objects
   count.  */

#include "router/evacuations.h"
#include "router/follower.h"

static void
on_list_begin (cs_router_t *router)
{
  cs_evacuations_list_begin (router->evacuations);
}

static int
on_list_end (cs_router_t *router, cs_revision_t revision,
             cs_time_us_t kept_until, cs_time_us_t now)
{
  return cs_router_evacuations_end_list (router, revision, now);
}

static int
on_object (cs_router_t *router, const cs_store_object_t *object,
           cs_time_us_t kept_until, cs_time_us_t now)
{
  /* No data centre has such a name.  */
  if (object->name.len > CS_NAME_MAX)
    {
      router->counters.names_too_long++;
      return CS_OK;
    }
  if (object->is_change)
    return cs_router_evacuations_change (router, object->name,
                                         !object->deleted, object->revision);
  return cs_evacuations_list_add (router->evacuations, object->name);
}

const cs_follower_handlers_t cs_evacuation_follower_handlers
    = { .on_list_begin = on_list_begin,
        .on_list_end = on_list_end,
        .on_object = on_object };
