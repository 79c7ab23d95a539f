/* Applies routing documents from the store.  The newest version is in use; an
   older one never replaces it.  */

#include "common/error.h"
#include "router/apply.h"
#include "router/follower.h"

static void
ignore_begin (cs_router_t *router)
{
}

static int
ignore_end (cs_router_t *router, cs_revision_t revision,
            cs_time_us_t kept_until, cs_time_us_t now)
{
  return CS_OK;
}

static int
on_object (cs_router_t *router, const cs_store_object_t *object,
           cs_time_us_t kept_until, cs_time_us_t now)
{
  if (cs_store_is_routing (object))
    cs_apply_routing (router, object->spec, object->revision);
  return CS_OK;
}

const cs_follower_handlers_t cs_routing_follower_handlers
    = { .on_list_begin = ignore_begin,
        .on_list_end = ignore_end,
        .on_object = on_object };
