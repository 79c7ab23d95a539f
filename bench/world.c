#include "state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "peer.pb-c.h"

const char *
case_name (case_t scenario)
{
  static const char *const names[CASE_COUNT]
      = { "calm",     "burst",      "surge", "flap",
          "disagree", "owner lost", "fail",  "half cache" };
  return names[scenario];
}

bool
world_is_ours (const world_t *world)
{
  return world->setup.way == CS_PLACE_BOUNDED;
}

bool
world_is_measured (const world_t *world)
{
  return world->now >= world->warm;
}

/* Which owner a router's asks go to.  */
static cs_owner_t *
owner_of (const world_t *world, uint32_t router)
{
  if (!world_is_ours (world))
    return world->owners[router];
  if (world->old_owner != NULL && !world->switched[router])
    return world->old_owner;
  return world->owners[0];
}

/* The owner is the router of index 0.  */
static void
count_bytes (world_t *world, uint32_t router, size_t bytes)
{
  if (!world_is_measured (world) || !world_is_ours (world) || router == 0)
    return;
  world->bytes[router] += (double)bytes;
  world->bytes[0] += (double)bytes;
}

static uint32_t
new_call (world_t *world)
{
  if (world->free_count > 0)
    return world->free_calls[--world->free_count];
  if (world->call_count == world->call_capacity)
    {
      world->call_capacity
          = world->call_capacity == 0 ? 4096 : world->call_capacity * 2;
      world->calls = realloc (world->calls,
                              world->call_capacity * sizeof *world->calls);
      world->free_calls = realloc (
          world->free_calls, world->call_capacity * sizeof *world->free_calls);
      if (world->calls == NULL || world->free_calls == NULL)
        abort ();
    }
  return world->call_count++;
}

static void
free_call (world_t *world, uint32_t i)
{
  world->calls[i].used = false;
  world->free_calls[world->free_count++] = i;
}

/* ---- Chats and arrivals.  */

static uint32_t
new_chat (world_t *world)
{
  if (world->chat_count == world->chat_capacity)
    {
      world->chat_capacity
          = world->chat_capacity == 0 ? 4096 : world->chat_capacity * 2;
      world->chats = realloc (world->chats,
                              world->chat_capacity * sizeof *world->chats);
      if (world->chats == NULL)
        abort ();
    }
  chat_t *chat = &world->chats[world->chat_count];
  chat->tokens = 0;
  /* A few organisations are large.  */
  double u = cs_random_unit (&world->random);
  chat->organisation = (uint32_t)(u * u * ORGANISATIONS);
  return world->chat_count++;
}

/* Length of a chat's first prompt: log-normal, median 1500 tokens.  */
static uint32_t
first_tokens (world_t *world)
{
  double u = cs_random_unit (&world->random) + 1e-12;
  double v = cs_random_unit (&world->random);
  double normal = sqrt (-2 * log (u)) * cos (2 * M_PI * v);
  double tokens = 1500 * exp (1.1 * normal);
  return tokens > 100000 ? 100000 : (uint32_t)tokens + 1;
}

/* Recent chats return more often: the share that is still active is a few
   minutes' worth of arrivals.  */
static uint32_t
returning_chat (world_t *world)
{
  uint32_t window = world->setup.size.engines * 60;
  if (window > world->chat_count)
    window = world->chat_count;
  uint32_t back = (uint32_t)(cs_random_unit (&world->random) * window);
  return world->chat_count - 1 - back;
}

static bool
in_burst (const world_t *world)
{
  case_t scenario = world->setup.scenario;
  cs_time_us_t begin = world->warm + 10 * CS_US_PER_S;
  bool bursts = scenario == CASE_BURST || scenario == CASE_DISAGREE
                || scenario == CASE_OWNER;
  return bursts && world->now >= begin
         && world->now < begin + BURST_S * CS_US_PER_S;
}

static double
arrival_rate (const world_t *world)
{
  double calm = world->setup.load * world->setup.size.engines / SERVICE_MEAN_S;
  if (in_burst (world))
    return calm * BURST_FACTOR;
  /* Organisation 0 alone sends half again as much as all slots serve.  */
  if (world->setup.scenario == CASE_SURGE && world_is_measured (world))
    return calm * 3;
  return calm;
}

void
world_ask (world_t *world, uint32_t i)
{
  call_t *call = &world->calls[i];
  call->asked = true;
  call->granted = false;
  call->serial = ++world->serial;
  cs_time_us_t delay = 0;
  if (world_is_ours (world) && call->router != 0)
    delay = world->setup.size.hop_us;
  heap_push (&world->heap, world->now + delay, EV_ASK, i);
}

static void
handle_arrival (world_t *world)
{
  double rate = arrival_rate (world);
  double pause = cs_random_exponential (&world->random, 1e6 / rate);
  heap_push (&world->heap, world->now + (cs_time_us_t)pause + 1, EV_ARRIVAL,
             0);
  uint32_t i = new_call (world);
  call_t *call = &world->calls[i];
  memset (call, 0, sizeof *call);
  call->used = true;
  bool surge
      = world->setup.scenario == CASE_SURGE && world_is_measured (world);
  bool fresh = world->chat_count < 100
               || (!in_burst (world)
                   && cs_random_unit (&world->random) < NEW_CHAT_SHARE);
  call->chat = fresh ? new_chat (world) : returning_chat (world);
  if (surge && cs_random_unit (&world->random) < 2.0 / 3)
    {
      call->chat = new_chat (world);
      world->chats[call->chat].organisation = 0;
    }
  call->router = (uint32_t)(cs_random_unit (&world->random)
                            * world->setup.size.routers);
  call->arrived = world->now;
  if (world_is_measured (world))
    world->result->first_tries++;
  cs_retry_budget_first_attempt (&world->budgets[call->router]);
  world_ask (world, i);
}

/* ---- Placement.  */

static uint64_t
key_of_chat (uint32_t chat)
{
  return cs_hash_pair (chat + 1, 77);
}

static void
handle_ask (world_t *world, uint32_t i)
{
  const call_t *call = &world->calls[i];
  const chat_t *chat = &world->chats[call->chat];
  cs_queue_item_t item = { 0 };
  item.ask.router = call->router + 1;
  item.ask.call = call->serial << 24 | i;
  item.ask.organisation = chat->organisation + 1;
  item.ask.key = key_of_chat (call->chat);
  item.ask.context_tokens = chat->tokens;
  item.ask.avoid = call->avoid;
  item.weight = 1;
  item.enqueued = world->now;
  item.deadline = call->arrived + WAIT_MOST_US;
  Cs__Peer__Ask message = CS__PEER__ASK__INIT;
  message.pool = 1;
  message.call = item.ask.call;
  message.organisation = message.key = 1;
  message.context_tokens = chat->tokens;
  message.weight = 1;
  message.wait_ms = 10000;
  count_bytes (world, call->router,
               cs__peer__ask__get_packed_size (&message) + 2
                   + FRAME_HEAD_BYTES);
  uint64_t cpu = cs_clock_cpu_us ();
  cs_owner_ask (owner_of (world, call->router), &item, world->now);
  world->place_cpu_us += cs_clock_cpu_us () - cpu;
  world->place_count++;
}

static uint32_t
engine_index (const world_t *world, uint64_t id)
{
  (void)world;
  return (uint32_t)(id - 1);
}

static call_t *
call_of (world_t *world, const cs_placement_request_t *ask)
{
  call_t *call = &world->calls[ask->call & 0xffffff];
  return call->used && call->serial == ask->call >> 24 ? call : NULL;
}

static void
count_refused (world_t *world, const call_t *call)
{
  if (!world_is_measured (world))
    return;
  world->result->refused++;
  if (world->chats[call->chat].organisation != 0)
    world->result->refused_calm++;
}

static void
on_granted (void *context, const cs_placement_request_t *ask,
            const cs_pool_grant_t *grant)
{
  world_t *world = context;
  call_t *call = call_of (world, ask);
  if (call == NULL)
    return;
  Cs__Peer__Grant message = CS__PEER__GRANT__INIT;
  message.call = ask->call;
  message.target = 1;
  count_bytes (world, call->router,
               cs__peer__grant__get_packed_size (&message) + 2
                   + FRAME_HEAD_BYTES);
  call->granted = true;
  call->engine = engine_index (world, grant->target);
  call->epoch = world->engines[call->engine].epoch;
  cs_time_us_t delay = world->setup.size.hop_us;
  if (world_is_ours (world) && call->router != 0)
    delay *= 2;
  heap_push (&world->heap, world->now + delay, EV_CALL,
             (uint32_t)(call - world->calls));
}

static void
on_refused (void *context, const cs_placement_request_t *ask, int error,
            uint32_t retry_after_s)
{
  world_t *world = context;
  call_t *call = call_of (world, ask);
  if (call == NULL)
    return;
  count_refused (world, call);
  free_call (world, (uint32_t)(call - world->calls));
}

/* ---- Engines.  */

void
world_true_counts (const world_t *world, uint32_t *total, uint32_t *count)
{
  *total = 0;
  *count = 0;
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].counted)
      {
        *total += world->engines[i].running;
        (*count)++;
      }
}

/* Judges a placement just made on ENGINE by the true counts.  */
static void
check_cap (world_t *world, const engine_t *engine)
{
  uint32_t total, count;
  if (!world_is_measured (world) || !engine->counted)
    return;
  world_true_counts (world, &total, &count);
  double mean = (double)total / count;
  uint32_t cap = (uint32_t)ceil (world->setup.cap_factor * mean - 1e-9);
  world->result->placements++;
  if (engine->running <= cap)
    return;
  world->result->violations++;
  if (engine->running - cap > world->result->violation_worst)
    world->result->violation_worst = engine->running - cap;
}

static void
add_wait (world_t *world, const call_t *call)
{
  /* The surging organisation is 0; the others are calm.  */
  if (!world_is_measured (world) || world->chats[call->chat].organisation == 0)
    return;
  if (world->wait_count == world->wait_capacity)
    {
      world->wait_capacity
          = world->wait_capacity == 0 ? 4096 : world->wait_capacity * 2;
      world->waits = realloc (world->waits,
                              world->wait_capacity * sizeof *world->waits);
      if (world->waits == NULL)
        abort ();
    }
  world->waits[world->wait_count++]
      = (double)(world->now - call->arrived) / 1000.0;
}

static void
use_caches (world_t *world, const call_t *call, engine_t *engine)
{
  chat_t *chat = &world->chats[call->chat];
  uint32_t before = chat->tokens;
  uint32_t after = before == 0 ? first_tokens (world) : before + TURN_TOKENS;
  uint32_t found = cache_use (engine->cache, call->chat, after);
  uint32_t best = cache_use (world->best_cache, call->chat, after);
  chat->tokens = after;
  if (!world_is_measured (world))
    return;
  world->could += before;
  world->found += found;
  world->best_found += best;
}

void
world_send_release (world_t *world, uint32_t i)
{
  cs_time_us_t delay = world->setup.size.hop_us;
  if (world_is_ours (world) && world->calls[i].router != 0)
    delay *= 2;
  heap_push (&world->heap, world->now + delay, EV_RELEASE, i);
}

/* The call failed: tell the owner, and try again if the budget allows.  */
static void
fail_call (world_t *world, uint32_t i)
{
  call_t *call = &world->calls[i];
  engine_t *engine = &world->engines[call->engine];
  cs_eject_policy_t policy = cs_eject_policy_default ();
  cs_owner_t *owner = owner_of (world, call->router);
  uint32_t ejected = 0;
  for (uint32_t k = 0; k < world->setup.size.engines; k++)
    if (cs_eject_is_ejected (&world->engines[k].eject, world->now))
      ejected++;
  cs_owner_release (owner, call->router + 1, call->serial << 24 | i,
                    world->now);
  if (engine->failing
      && cs_eject_failure (&engine->eject, &policy, ejected,
                           world->setup.size.engines, world->now))
    cs_pool_set_target (cs_owner_pool (owner), engine->id, 1,
                        CS_TARGET_EJECTED, false, world->now);
  cs_avoid_list_add (&call->avoid, engine->id);
  call->tries++;
  if (call->tries >= TRIES_MOST
      || !cs_retry_budget_take (&world->budgets[call->router]))
    {
      count_refused (world, call);
      free_call (world, i);
      return;
    }
  if (world_is_measured (world))
    world->result->extra_tries++;
  world_ask (world, i);
}

static void
handle_call (world_t *world, uint32_t i)
{
  call_t *call = &world->calls[i];
  engine_t *engine = &world->engines[call->engine];
  if (!engine->up || engine->failing || engine->epoch != call->epoch)
    {
      fail_call (world, i);
      return;
    }
  engine->running++;
  call->at_engine = true;
  check_cap (world, engine);
  add_wait (world, call);
  use_caches (world, call, engine);
  double service
      = cs_random_exponential (&world->random, SERVICE_MEAN_S * 1e6);
  call->ends = world->now + (cs_time_us_t)service;
  heap_push (&world->heap, call->ends, EV_END, i);
}

static void
handle_end (world_t *world, uint32_t i, cs_time_us_t at)
{
  call_t *call = &world->calls[i];
  engine_t *engine = &world->engines[call->engine];
  /* A call on an engine that went away ended with it.  */
  if (!call->at_engine || call->ends != at)
    return;
  call->at_engine = false;
  engine->running--;
  world_send_release (world, i);
}

static void
handle_release (world_t *world, uint32_t i)
{
  const call_t *call = &world->calls[i];
  Cs__Peer__Finish message = CS__PEER__FINISH__INIT;
  message.pool = message.target = 1;
  message.call = call->serial;
  count_bytes (world, call->router,
               cs__peer__finish__get_packed_size (&message) + 2
                   + FRAME_HEAD_BYTES);
  cs_owner_release (owner_of (world, call->router), call->router + 1,
                    call->serial << 24 | i, world->now);
  free_call (world, i);
}

cs_owner_t *
world_create_owner (world_t *world, uint64_t seed)
{
  cs_owner_policy_t policy = cs_owner_policy_default ();
  cs_owner_callbacks_t effects = { world, on_granted, on_refused };
  policy.pool.way = world->setup.way;
  policy.pool.cap_factor = world->setup.cap_factor;
  if (world->setup.short_factor > 0)
    policy.pool.short_factor = world->setup.short_factor;
  if (world->setup.long_share > 0)
    policy.pool.long_share = world->setup.long_share;
  if (world->setup.ranks > 0)
    policy.pool.spill_ranks = world->setup.ranks;
  policy.pool.settle_us = 5 * world->setup.size.hop_us;
  cs_owner_t *owner = cs_owner_create (&policy, seed, &effects);
  if (owner == NULL)
    abort ();
  return owner;
}

/* ---- Time passing.  */

static void
handle_sample (world_t *world)
{
  uint32_t total, count;
  uint32_t most = 0;
  heap_push (&world->heap, world->now + CS_US_PER_S, EV_SAMPLE, 0);
  world_true_counts (world, &total, &count);
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].counted && world->engines[i].running > most)
      most = world->engines[i].running;
  /* Ejections end by time.  */
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    {
      engine_t *engine = &world->engines[i];
      if (engine->eject.ejected_until != 0
          && !cs_eject_is_ejected (&engine->eject, world->now))
        changes_tell_owners (world, engine, CS_TARGET_LIVE, false);
    }
  if (world_is_measured (world) && total > 0)
    world->samples[world->sample_count++] = most / ((double)total / count);
  if (world_is_measured (world) && world_is_ours (world))
    for (uint32_t i = 0; i < world->setup.size.routers; i++)
      {
        Cs__Peer__Heartbeat beat = CS__PEER__HEARTBEAT__INIT;
        beat.revision = 100000;
        /* One sent and one answered a link, on the dialled and on the
           accepted one.  */
        world->bytes[i]
            += 4.0 * HEARTBEATS_PER_S * (world->setup.size.routers - 1)
               * (double)(cs__peer__heartbeat__get_packed_size (&beat) + 2
                          + FRAME_HEAD_BYTES);
      }
}

static void
handle_refresh (world_t *world)
{
  heap_push (&world->heap, world->now + world->setup.lag_us, EV_REFRESH, 0);
  for (uint32_t r = 0; r < world->owner_count; r++)
    for (uint32_t i = 0; i < world->setup.size.engines; i++)
      cs_pool_apply_load_report (cs_owner_pool (world->owners[r]),
                                 world->engines[i].id,
                                 world->engines[i].running, world->now);
}

static void
handle_tick (world_t *world)
{
  heap_push (&world->heap, world->now + TICK_US, EV_TICK, 0);
  for (uint32_t i = 0; i < world->owner_count; i++)
    if (cs_owner_queued (world->owners[i]) > 0)
      cs_owner_tick (world->owners[i], world->now);
  if (world->old_owner != NULL && cs_owner_queued (world->old_owner) > 0)
    cs_owner_tick (world->old_owner, world->now);
}

static void
handle_event (world_t *world, const event_t *event)
{
  uint32_t i = event->index;
  switch (event->kind)
    {
    case EV_ARRIVAL:
      handle_arrival (world);
      break;
    case EV_ASK:
      handle_ask (world, i);
      break;
    case EV_CALL:
      handle_call (world, i);
      break;
    case EV_END:
      handle_end (world, i, event->at);
      break;
    case EV_RELEASE:
      handle_release (world, i);
      break;
    case EV_SAMPLE:
      handle_sample (world);
      break;
    case EV_REFRESH:
      handle_refresh (world);
      break;
    case EV_TICK:
      handle_tick (world);
      break;
    case EV_REPLACE:
      changes_replace (world);
      break;
    case EV_FLAP:
      changes_flap (world);
      break;
    case EV_LEARN_GONE:
      changes_learn_gone (world, i);
      break;
    case EV_LEARN_BACK:
      changes_learn_back (world, i);
      break;
    case EV_BACK:
      changes_back (world, i);
      break;
    case EV_COUNTS:
      world->engines[i].counted = true;
      changes_set_believed (world);
      break;
    case EV_FAIL:
      changes_fail (world);
      break;
    case EV_OWNER_LOST:
      changes_owner_lost (world);
      break;
    case EV_SWITCH:
      changes_switch (world, i);
      break;
    default:
      break;
    }
}

/* ---- Beginning and end of a run.  */

static void
create_engines (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  /* Half of the chats that return: 60 an engine are active, each with some
     7000 tokens.  */
  uint64_t capacity = world->setup.scenario == CASE_CACHE ? 30 * 7000 : 0;
  world->engines = calloc (count, sizeof *world->engines);
  world->best_cache = cache_create (capacity * count);
  for (uint32_t i = 0; i < count; i++)
    {
      world->engines[i].id = i + 1;
      world->engines[i].up = true;
      world->engines[i].counted = true;
      world->engines[i].cache = cache_create (capacity);
    }
}

static void
begin (world_t *world)
{
  const size_row_t *size = &world->setup.size;
  cs_time_us_t half = size->seconds * CS_US_PER_S;
  world->random.seed = world->setup.seed;
  world->now = CS_US_PER_S;
  world->warm = world->now + half;
  world->end = world->warm + half;
  create_engines (world);
  world->owner_count = world_is_ours (world) ? 1 : size->routers;
  world->owners = calloc (world->owner_count, sizeof *world->owners);
  world->switched = calloc (size->routers, sizeof *world->switched);
  world->budgets = calloc (size->routers, sizeof *world->budgets);
  world->bytes = calloc (size->routers, sizeof *world->bytes);
  world->samples = calloc (size->seconds + 16, sizeof *world->samples);
  for (uint32_t i = 0; i < world->owner_count; i++)
    world->owners[i]
        = world_create_owner (world, world->setup.seed * 1000 + i);
  for (uint32_t i = 0; i < size->routers; i++)
    cs_retry_budget_init (&world->budgets[i], 0.1, 3, 20);
  for (uint32_t i = 0; i < size->engines; i++)
    changes_tell_owners (world, &world->engines[i], CS_TARGET_LIVE, false);
  changes_set_believed (world);
  heap_push (&world->heap, world->now, EV_ARRIVAL, 0);
  heap_push (&world->heap, world->now, EV_SAMPLE, 0);
  heap_push (&world->heap, world->now, EV_TICK, 0);
  heap_push (&world->heap, world->now, EV_REPLACE, 0);
  if (!world_is_ours (world))
    heap_push (&world->heap, world->now, EV_REFRESH, 0);
  if (world->setup.scenario == CASE_FLAP
      || world->setup.scenario == CASE_DISAGREE)
    heap_push (&world->heap, world->warm, EV_FLAP, 0);
  if (world->setup.scenario == CASE_FAIL)
    heap_push (&world->heap, world->warm + 10 * CS_US_PER_S, EV_FAIL, 0);
  if (world->setup.scenario == CASE_OWNER && world_is_ours (world))
    heap_push (&world->heap, world->warm + 15 * CS_US_PER_S, EV_OWNER_LOST, 0);
}

static void
finish (world_t *world)
{
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    cache_destroy (world->engines[i].cache);
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_owner_destroy (world->owners[i]);
  cs_owner_destroy (world->old_owner);
  cache_destroy (world->best_cache);
  heap_free (&world->heap);
  free (world->engines);
  free (world->owners);
  free (world->switched);
  free (world->budgets);
  free (world->bytes);
  free (world->samples);
  free (world->waits);
  free (world->chats);
  free (world->calls);
  free (world->free_calls);
}

void
world_run (const setup_t *setup, result_t *result)
{
  world_t world;
  event_t event;
  memset (&world, 0, sizeof world);
  memset (result, 0, sizeof *result);
  world.setup = *setup;
  world.result = result;
  begin (&world);
  while (heap_pop (&world.heap, &event) && event.at < world.end)
    {
      world.now = event.at;
      handle_event (&world, &event);
    }
  summary_fill (&world);
  finish (&world);
}
