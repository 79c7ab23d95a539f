/* Updates the fleet from the target entries in the store.  */

#include "common/error.h"
#include "common/log.h"
#include "router/apply.h"
#include "router/follower.h"
#include "router/stream_versions.h"

static void
on_list_begin (cs_router_t *router)
{
  cs_fleet_list_begin (router->fleet);
}

static int
on_list_end (cs_router_t *router, cs_revision_t revision,
             cs_time_us_t kept_until, cs_time_us_t now)
{
  cs_fleet_set_revision (router->fleet, revision);
  cs_fleet_list_end (router->fleet, kept_until, now);
  router->fleet_synced = true;
  return CS_OK;
}

static int
on_object (cs_router_t *router, const cs_store_object_t *object,
           cs_time_us_t kept_until, cs_time_us_t now)
{
  cs_target_entry_t entry;
  /* Until a list has ended, changes before those of its objects may be
     missing.  */
  if (object->is_change)
    cs_fleet_set_revision (router->fleet, object->revision);
  if (object->deleted)
    {
      bool known
          = cs_fleet_remove (router->fleet, object->name, kept_until, now);
      if (!known)
        cs_stream_versions_missed (router->stream_versions, now);
      if (known && kept_until > now)
        cs_log (CS_EV_TARGET_MISSING, "target=%.*s revision=%llu",
                CS_STR_ARG (object->name),
                (unsigned long long)object->revision.number);
      return CS_OK;
    }
  /* Entries of other writers that don't describe a target are skipped without
     a log line, which would recur with each list.  */
  int rc = cs_store_read_target (object, &entry);
  if (rc == 0)
    cs_apply_target (router, &entry, "platform");
  else if (rc == CS_ERR_TOO_LARGE)
    router->counters.names_too_long++;
  return CS_OK;
}

const cs_follower_handlers_t cs_target_follower_handlers
    = { .on_list_begin = on_list_begin,
        .on_list_end = on_list_end,
        .on_object = on_object };
