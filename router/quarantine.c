#include "router/quarantine.h"

#include "common/log.h"
#include "router/blocked_parts.h"
#include "router/mesh.h"

static void
on_blocked (void *context, uint64_t part, bool is_blocked, uint32_t crashes)
{
  cs_router_t *router = context;
  cs_part_time_t blocked = { part, cs_loop_now (router->loop) };
  if (!is_blocked)
    {
      cs_log (CS_EV_PART_UNBLOCKED, "part=%llx", (unsigned long long)part);
      return;
    }
  cs_log (CS_EV_PART_BLOCKED, "part=%llx crashes=%u", (unsigned long long)part,
          crashes);
  cs_mesh_announce_blocked (router->mesh, &blocked);
}

cs_quarantine_t *
cs_router_quarantine_create (cs_router_t *router)
{
  cs_quarantine_policy_t policy = cs_quarantine_policy_default ();
  return cs_quarantine_create (&policy, on_blocked, router);
}

static void
announce_part (void *context, const cs_part_time_t *served)
{
  const cs_router_t *router = context;
  cs_mesh_announce_served (router->mesh, served, 0);
}

/* Tells peers which of the causes of CRASH this router has answered.  */
static void
announce_served (cs_router_t *router, const cs_crash_t *crash,
                 cs_time_us_t now)
{
  cs_quarantine_list_served (router->quarantine, crash, now, announce_part,
                             router);
}

static cs_crash_result_t
add_crash (cs_router_t *router, const cs_crash_t *crash, uint32_t hops,
           cs_time_us_t now)
{
  cs_crash_result_t result
      = cs_quarantine_add_crash (router->quarantine, crash, now);
  if (result == CS_CRASH_KNOWN)
    return result;
  cs_mesh_announce_crash (router->mesh, crash, hops);
  announce_served (router, crash, now);
  return result;
}

static void
save_list (cs_router_t *router, const cs_id_list_t *list, bool is_own,
           cs_time_us_t now)
{
  for (uint32_t i = 0; i < list->count; i++)
    {
      cs_part_time_t blocked = { list->ids[i], now };
      if (cs_quarantine_is_blocked (router->quarantine, blocked.part, now))
        cs_blocked_parts_save (router->blocked_parts, &blocked, is_own);
    }
}

/* Saves what CRASH has blocked.  The router that saw the crash may be unable
   to, or know of fewer crashes; so hubs save what they have learnt from
   peers.  */
static void
save_blocked (cs_router_t *router, const cs_crash_t *crash, bool is_own,
              cs_time_us_t now)
{
  if (!is_own && !cs_mesh_is_hub (router->mesh))
    return;
  save_list (router, &crash->causes.requests, is_own, now);
  save_list (router, &crash->causes.parts, is_own, now);
}

static void
remove_blocked (cs_router_t *router, const cs_id_list_t *list,
                cs_time_us_t now)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (cs_quarantine_is_blocked (router->quarantine, list->ids[i], now))
      cs_blocked_parts_remove (router->blocked_parts, list->ids[i]);
}

void
cs_router_crash_seen (cs_router_t *router, cs_crash_t *crash, cs_time_us_t now)
{
  uint32_t left_out
      = cs_quarantine_drop_answered (router->quarantine, crash, now);
  router->counters.parts_not_reported += left_out;
  if (left_out > 0)
    cs_log (CS_EV_PARTS_NOT_REPORTED, "parts=%u max=%d", left_out,
            CS_CRASH_PARTS_MAX);
  if (add_crash (router, crash, 0, now) == CS_CRASH_BLOCKED)
    save_blocked (router, crash, true, now);
}

void
cs_router_crash_reported (cs_router_t *router, const cs_crash_t *crash,
                          uint32_t hops, cs_time_us_t now)
{
  if (add_crash (router, crash, hops, now) == CS_CRASH_BLOCKED)
    save_blocked (router, crash, false, now);
}

/* Returns whether that was new.  */
static bool
add_block (cs_router_t *router, const cs_part_time_t *blocked,
           cs_time_us_t now)
{
  uint64_t part = blocked->part;
  cs_crash_t crash = { .causes.parts = { &part, 1, 0 } };
  if (cs_quarantine_block (router->quarantine, blocked, now))
    return true;
  announce_served (router, &crash, now);
  return false;
}

void
cs_router_block_reported (cs_router_t *router, const cs_part_time_t *blocked,
                          cs_time_us_t now)
{
  if (add_block (router, blocked, now) && cs_mesh_is_hub (router->mesh))
    cs_blocked_parts_save (router->blocked_parts, blocked, false);
}

void
cs_router_block_read (cs_router_t *router, const cs_part_time_t *blocked,
                      cs_time_us_t now)
{
  (void)add_block (router, blocked, now);
}

void
cs_router_served (cs_router_t *router, const cs_causes_t *causes,
                  cs_time_us_t now)
{
  remove_blocked (router, &causes->requests, now);
  remove_blocked (router, &causes->parts, now);
  cs_quarantine_served (router->quarantine, causes, now, announce_part,
                        router);
}
