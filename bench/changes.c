/* Engine failures, restarts and replacements, and the loss of the owner.  */

#include "state.h"

#include <stdlib.h>

/* With 12 slots per engine, slots are scarce in SCENARIO_SURGE: the default
   calm load is 12.1 calls per engine.  */
static uint32_t
slots_per_engine (const world_t *world)
{
  return world->setup.scenario == SCENARIO_SURGE ? 12 : 512;
}

void
changes_report_target_count (world_t *world)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].counted)
      count++;
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_pool_set_reported_targets (cs_owner_pool (world->owners[i]), count);
}

void
changes_update_owners (world_t *world, const engine_t *engine,
                       cs_target_state_t state, bool joined)
{
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_pool_set_target (cs_owner_pool (world->owners[i]), engine->id,
                        slots_per_engine (world), state, joined, world->now);
}

/* Ends the calls on ENGINE; their routers see the connections close.  */
static void
abort_calls (world_t *world, uint32_t engine)
{
  for (uint32_t i = 0; i < world->call_count; i++)
    {
      call_t *call = &world->calls[i];
      if (!call->used || !call->at_engine || call->engine != engine)
        continue;
      call->at_engine = false;
      world_send_release (world, i);
    }
}

static void
stop_engine (world_t *world, uint32_t i)
{
  engine_t *engine = &world->engines[i];
  abort_calls (world, i);
  engine->up = false;
  engine->counted = false;
  engine->epoch++;
  engine->running = 0;
}

/* Random delay until owners detect a change of an engine.  */
static cs_time_us_t
detection_delay (world_t *world)
{
  double max_delay = world->setup.scenario == SCENARIO_DISAGREE ? 2e6 : 0.5e6;
  return (cs_time_us_t)(cs_random_unit (&world->random) * max_delay);
}

/* Replaces a random engine; in an hour, a tenth of the engines on average.  */
void
changes_replace_engine (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  double mean_s = 3600.0 / (0.1 * count);
  double interval = cs_random_exponential (&world->random, mean_s * 1e6);
  heap_push (&world->heap, world->now + (cs_time_us_t)interval + 1, EV_REPLACE,
             0);
  uint32_t i = (uint32_t)(cs_random_unit (&world->random) * count);
  if (!world->engines[i].up)
    return;
  stop_engine (world, i);
  cache_clear (world->engines[i].cache);
  heap_push (&world->heap, world->now + detection_delay (world),
             EV_LOSS_DETECTED, i);
  heap_push (&world->heap, world->now + 5 * CS_US_PER_S, EV_ENGINE_UP, i);
}

void
changes_flap_engine (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  heap_push (&world->heap, world->now + 5 * CS_US_PER_S, EV_FLAP, 0);
  uint32_t i = (uint32_t)(cs_random_unit (&world->random) * count);
  if (!world->engines[i].up)
    return;
  /* The engine's process keeps running, so its cache is kept.  */
  stop_engine (world, i);
  heap_push (&world->heap, world->now + detection_delay (world),
             EV_LOSS_DETECTED, i);
  heap_push (&world->heap, world->now + 3 * CS_US_PER_S, EV_ENGINE_UP, i);
}

void
changes_engine_up (world_t *world, uint32_t i)
{
  world->engines[i].up = true;
  heap_push (&world->heap, world->now + JOIN_REPORT_US, EV_ENGINE_COUNTED, i);
  heap_push (&world->heap,
             world->now + JOIN_REPORT_US + detection_delay (world),
             EV_RETURN_DETECTED, i);
}

void
changes_engines_fail (world_t *world)
{
  for (uint32_t i = 0; i < world->setup.size.engines; i += 3)
    {
      stop_engine (world, i);
      world->engines[i].up = true;
      world->engines[i].failing = true;
    }
  changes_report_target_count (world);
}

/* ---- Loss of the owner.  */

/* Replaces the owner by a new one.  The routers switch to it at different
   times within a second; until then they keep using the old owner.  On the
   switch they hand over their granted calls, and request placement again for
   the others.  */
void
changes_owner_lost (world_t *world)
{
  uint32_t routers = world->setup.size.routers;
  uint64_t *ids = calloc (routers, sizeof *ids);
  world->old_owner = world->owners[0];
  world->owners[0] = world_create_owner (world, world->setup.seed + 1);
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].up)
      cs_pool_set_target (cs_owner_pool (world->owners[0]),
                          world->engines[i].id, slots_per_engine (world),
                          CS_TARGET_LIVE, false, world->now);
  changes_report_target_count (world);
  for (uint32_t i = 0; i < routers; i++)
    {
      ids[i] = i + 1;
      world->switched[i] = false;
      heap_push (&world->heap,
                 world->now
                     + (cs_time_us_t)(cs_random_unit (&world->random) * 1e6),
                 EV_ROUTER_SWITCH, i);
    }
  cs_owner_recover (world->owners[0], ids, routers, world->now);
  free (ids);
}

void
changes_switch_router (world_t *world, uint32_t router)
{
  cs_pool_t *pool = cs_owner_pool (world->owners[0]);
  world->switched[router] = true;
  cs_pool_exclude_router_from_mean (cs_owner_pool (world->old_owner),
                                    router + 1);
  for (uint32_t i = 0; i < world->call_count; i++)
    {
      const call_t *call = &world->calls[i];
      if (!call->used || call->router != router)
        continue;
      if (call->granted)
        cs_pool_adopt (pool, router + 1, call->serial << 24 | i,
                       world->chats[call->chat].organisation + 1,
                       world->engines[call->engine].id, world->now);
      else if (call->requested)
        world_request_placement (world, i);
    }
  cs_owner_handed_over (world->owners[0], router + 1, world->now);
}

void
changes_loss_detected (world_t *world, uint32_t i)
{
  if (world->engines[i].up)
    return;
  changes_update_owners (world, &world->engines[i], CS_TARGET_EJECTED, false);
  changes_report_target_count (world);
}

void
changes_return_detected (world_t *world, uint32_t i)
{
  if (!world->engines[i].up)
    return;
  bool cold = world->setup.scenario != SCENARIO_FLAP;
  changes_update_owners (world, &world->engines[i], CS_TARGET_LIVE, cold);
}
