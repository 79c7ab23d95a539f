/* Applies routing documents from the store.  The newest version is in use; an
   older one never replaces it.  */

#include "router/apply.h"
#include "router/follower.h"

static void
ignore_begin (cs_router_t *router)
{
}

static void
ignore_end (cs_router_t *router, cs_revision_t revision,
            cs_time_us_t kept_until, cs_time_us_t now)
{
}

static void
on_object (cs_router_t *router, const cs_store_object_t *object,
           cs_time_us_t kept_until, cs_time_us_t now)
{
  if (cs_store_is_routing (object))
    cs_apply_routing (router, object->spec, object->revision);
}

const cs_follower_handlers_t cs_routing_follower_handlers
    = { .on_list_begin = ignore_begin,
        .on_list_end = ignore_end,
        .on_object = on_object };
