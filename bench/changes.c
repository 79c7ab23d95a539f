/* Engines that come, go and fail, and the loss of the owner.  */

#include "state.h"

#include <stdlib.h>

static uint32_t
slots_of (const world_t *world)
{
  return world->setup.scenario == CASE_SURGE ? 12 : 512;
}

void
changes_set_believed (world_t *world)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].counted)
      count++;
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_pool_set_reported_targets (cs_owner_pool (world->owners[i]), count);
}

void
changes_tell_owners (world_t *world, const engine_t *engine,
                     cs_target_state_t state, bool joined)
{
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_pool_set_target (cs_owner_pool (world->owners[i]), engine->id,
                        slots_of (world), state, joined, world->now);
}

/* The routers see the connections of its calls end.  */
static void
cut_calls (world_t *world, uint32_t engine)
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
take_down (world_t *world, uint32_t i)
{
  engine_t *engine = &world->engines[i];
  cut_calls (world, i);
  engine->up = false;
  engine->counted = false;
  engine->epoch++;
  engine->running = 0;
}

/* How late the owner's view of engines is.  */
static cs_time_us_t
view_delay (world_t *world)
{
  double most = world->setup.scenario == CASE_DISAGREE ? 2e6 : 0.5e6;
  return (cs_time_us_t)(cs_random_unit (&world->random) * most);
}

void
changes_replace (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  double mean_s = 3600.0 / (0.1 * count);
  double pause = cs_random_exponential (&world->random, mean_s * 1e6);
  heap_push (&world->heap, world->now + (cs_time_us_t)pause + 1, EV_REPLACE,
             0);
  uint32_t i = (uint32_t)(cs_random_unit (&world->random) * count);
  if (!world->engines[i].up)
    return;
  take_down (world, i);
  cache_clear (world->engines[i].cache);
  heap_push (&world->heap, world->now + view_delay (world), EV_LEARN_GONE, i);
  heap_push (&world->heap, world->now + 5 * CS_US_PER_S, EV_BACK, i);
}

void
changes_flap (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  heap_push (&world->heap, world->now + 5 * CS_US_PER_S, EV_FLAP, 0);
  uint32_t i = (uint32_t)(cs_random_unit (&world->random) * count);
  if (!world->engines[i].up)
    return;
  /* Its process lives on, and so does its cache.  */
  take_down (world, i);
  heap_push (&world->heap, world->now + view_delay (world), EV_LEARN_GONE, i);
  heap_push (&world->heap, world->now + 3 * CS_US_PER_S, EV_BACK, i);
}

void
changes_back (world_t *world, uint32_t i)
{
  world->engines[i].up = true;
  heap_push (&world->heap, world->now + WORD_US, EV_COUNTS, i);
  heap_push (&world->heap, world->now + WORD_US + view_delay (world),
             EV_LEARN_BACK, i);
}

void
changes_fail (world_t *world)
{
  for (uint32_t i = 0; i < world->setup.size.engines; i += 3)
    {
      take_down (world, i);
      world->engines[i].up = true;
      world->engines[i].failing = true;
    }
  changes_set_believed (world);
}

/* ---- The owner is lost.  */

/* The old owner stops answering at once and its asks are void; the routers
   notice at different times within a second and hand over.  */
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
                          world->engines[i].id, slots_of (world),
                          CS_TARGET_LIVE, false, world->now);
  changes_set_believed (world);
  for (uint32_t i = 0; i < routers; i++)
    {
      ids[i] = i + 1;
      world->switched[i] = false;
      heap_push (&world->heap,
                 world->now
                     + (cs_time_us_t)(cs_random_unit (&world->random) * 1e6),
                 EV_SWITCH, i);
    }
  cs_owner_recover (world->owners[0], ids, routers, world->now);
  free (ids);
}

void
changes_switch (world_t *world, uint32_t router)
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
      else if (call->asked)
        world_ask (world, i);
    }
  cs_owner_handed_over (world->owners[0], router + 1, world->now);
}

void
changes_learn_gone (world_t *world, uint32_t i)
{
  if (world->engines[i].up)
    return;
  changes_tell_owners (world, &world->engines[i], CS_TARGET_EJECTED, false);
  changes_set_believed (world);
}

void
changes_learn_back (world_t *world, uint32_t i)
{
  if (!world->engines[i].up)
    return;
  bool cold = world->setup.scenario != CASE_FLAP;
  changes_tell_owners (world, &world->engines[i], CS_TARGET_LIVE, cold);
}
