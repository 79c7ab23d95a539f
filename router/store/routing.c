/* Takes in the configuration: the newest version is in force, and an older one
   never replaces it.  */

#include "common/log.h"
#include "router/follower.h"

static void
ignore_begin (cs_router_t *router)
{
}

static void
ignore_end (cs_router_t *router, cs_time_us_t kept_until, cs_time_us_t now)
{
}

static void
on_object (cs_router_t *router, const cs_store_object_t *object,
           cs_time_us_t kept_until, cs_time_us_t now)
{
  cs_routing_t *routing = NULL;
  cs_buf_t reason = { 0 };
  if (!cs_store_is_routing (object))
    return;
  if (cs_store_read_routing (object->spec, &routing, &reason) != 0)
    {
      cs_log (CS_EV_ROUTING_REJECTED, "revision=%llu reason=\"%s\"",
              (unsigned long long)object->revision,
              reason.data == NULL ? "no memory" : reason.data);
      cs_buf_free (&reason);
      return;
    }
  if (router->routing != NULL && routing->version <= router->routing->version)
    {
      cs_routing_release (routing);
      return;
    }
  cs_log (CS_EV_ROUTING_IN_FORCE,
          "version=%llu revision=%llu routes=%zu services=%zu "
          "organisations=%zu keys=%zu",
          (unsigned long long)routing->version,
          (unsigned long long)object->revision, routing->route_count,
          routing->service_count, routing->organisation_count,
          routing->key_count);
  cs_routing_release (router->routing);
  router->routing = routing;
}

const cs_follower_handlers_t cs_follow_routing
    = { .on_list_begin = ignore_begin,
        .on_list_end = ignore_end,
        .on_object = on_object };
