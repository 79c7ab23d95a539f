#include "state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "peer.pb-c.h"

const char *
scenario_name (scenario_t scenario)
{
  static const char *const names[SCENARIO_COUNT]
      = { "calm",     "burst",      "surge", "flap",
          "disagree", "owner lost", "fail",  "half cache" };
  return names[scenario];
}

bool
world_uses_single_owner (const world_t *world)
{
  return world->setup.algorithm == CS_PLACE_BOUNDED;
}

bool
world_is_measured (const world_t *world)
{
  return world->now >= world->measure_from;
}

/* Returns the owner that ROUTER sends its requests to.  */
static cs_owner_t *
owner_of (const world_t *world, uint32_t router)
{
  if (!world_uses_single_owner (world))
    return world->owners[router];
  if (world->old_owner != NULL && !world->switched[router])
    return world->old_owner;
  return world->owners[0];
}

/* Counts a message between ROUTER and the owner, which is router 0.  */
static void
count_control_bytes (world_t *world, uint32_t router, size_t bytes)
{
  if (!world_is_measured (world) || !world_uses_single_owner (world)
      || router == 0)
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
  /* Squaring makes the first few organisations much larger than the others:
     the first has sqrt (1 / ORGANISATIONS) of the chats.  */
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

/* Only recent chats return: the 60 most recent per engine are active, which
   are those of a few minutes.  */
static uint32_t
returning_chat (world_t *world)
{
  uint32_t window = world->setup.size.engines * 60;
  if (window > world->chat_count)
    window = world->chat_count;
  uint32_t steps_back = (uint32_t)(cs_random_unit (&world->random) * window);
  return world->chat_count - 1 - steps_back;
}

static bool
in_burst (const world_t *world)
{
  scenario_t scenario = world->setup.scenario;
  cs_time_us_t burst_start = world->measure_from + 10 * CS_US_PER_S;
  bool bursts = scenario == SCENARIO_BURST || scenario == SCENARIO_DISAGREE
                || scenario == SCENARIO_OWNER_LOST;
  return bursts && world->now >= burst_start
         && world->now < burst_start + BURST_S * CS_US_PER_S;
}

static double
arrival_rate (const world_t *world)
{
  double calm_rate
      = world->setup.load * world->setup.size.engines / SERVICE_MEAN_S;
  if (in_burst (world))
    return calm_rate * BURST_FACTOR;
  /* With R for the calm rate, the surge sends 3 R in total.  handle_arrival
     replaces two thirds, 2 R, by new chats of organisation 0, which sends
     sqrt (1 / ORGANISATIONS) = 0.32 R while calm.  At first it thus sends
     2 R + 0.32 R = 2.32 R, 7.3 times its calm rate.  Its new chats also return
     among the other arrivals: after about 35 s, they are 91% of the active
     chats, and it sends 2 R + 0.1 * 0.32 R + 0.9 * 0.91 R = 2.85 R, 9 times
     its calm rate.  The 12 slots per engine serve 12 / 12.1 = 0.99 R with the
     default load, so it sends 2.3 and later 2.9 times what all slots serve. */
  if (world->setup.scenario == SCENARIO_SURGE && world_is_measured (world))
    return calm_rate * 3;
  return calm_rate;
}

void
world_request_placement (world_t *world, uint32_t i)
{
  call_t *call = &world->calls[i];
  call->requested = true;
  call->granted = false;
  call->serial = ++world->serial;
  cs_time_us_t delay = 0;
  if (world_uses_single_owner (world) && call->router != 0)
    delay = world->setup.size.hop_us;
  heap_push (&world->heap, world->now + delay, EV_REQUEST, i);
}

static void
handle_arrival (world_t *world)
{
  double rate = arrival_rate (world);
  double interval = cs_random_exponential (&world->random, 1e6 / rate);
  heap_push (&world->heap, world->now + (cs_time_us_t)interval + 1, EV_ARRIVAL,
             0);
  uint32_t i = new_call (world);
  call_t *call = &world->calls[i];
  memset (call, 0, sizeof *call);
  call->used = true;
  bool surge
      = world->setup.scenario == SCENARIO_SURGE && world_is_measured (world);
  bool is_new_chat = world->chat_count < 100
                     || (!in_burst (world)
                         && cs_random_unit (&world->random) < NEW_CHAT_SHARE);
  call->chat = is_new_chat ? new_chat (world) : returning_chat (world);
  if (surge && cs_random_unit (&world->random) < 2.0 / 3)
    {
      call->chat = new_chat (world);
      world->chats[call->chat].organisation = 0;
    }
  call->router = (uint32_t)(cs_random_unit (&world->random)
                            * world->setup.size.routers);
  call->arrived = world->now;
  if (world_is_measured (world))
    world->result->first_attempts++;
  cs_retry_budget_first_attempt (&world->budgets[call->router]);
  world_request_placement (world, i);
}

/* ---- Placement.  */

/* Returns the key by which the calls of a chat are placed.  */
static uint64_t
chat_key (uint32_t chat)
{
  return cs_hash_pair (chat + 1, 77);
}

static void
handle_placement_request (world_t *world, uint32_t i)
{
  const call_t *call = &world->calls[i];
  const chat_t *chat = &world->chats[call->chat];
  cs_queue_item_t item = { 0 };
  item.ask.router = call->router + 1;
  item.ask.call = call->serial << 24 | i;
  item.ask.organisation = chat->organisation + 1;
  item.ask.key = chat_key (call->chat);
  item.ask.context_tokens = chat->tokens;
  item.ask.avoid = call->avoid;
  item.weight = 1;
  item.enqueued = world->now;
  item.deadline = call->arrived + MAX_WAIT_US;
  Cs__Peer__Ask message = CS__PEER__ASK__INIT;
  message.pool = 1;
  message.call = item.ask.call;
  message.organisation = message.key = 1;
  message.context_tokens = chat->tokens;
  message.weight = 1;
  message.wait_ms = 10000;
  count_control_bytes (world, call->router,
                       cs__peer__ask__get_packed_size (&message) + 2
                           + FRAME_HEAD_BYTES);
  uint64_t cpu = cs_clock_cpu_us ();
  cs_owner_ask (owner_of (world, call->router), &item, world->now);
  world->total_placement_cpu_us += cs_clock_cpu_us () - cpu;
  world->placement_count++;
}

static uint32_t
engine_index (const world_t *world, uint64_t id)
{
  (void)world;
  return (uint32_t)(id - 1);
}

static call_t *
find_call (world_t *world, const cs_placement_request_t *request)
{
  call_t *call = &world->calls[request->call & 0xffffff];
  return call->used && call->serial == request->call >> 24 ? call : NULL;
}

static void
count_refused (world_t *world, const call_t *call)
{
  if (!world_is_measured (world))
    return;
  world->result->refused++;
  if (world->chats[call->chat].organisation != 0)
    world->result->refused_others++;
}

static void
on_granted (void *context, const cs_placement_request_t *request,
            const cs_pool_grant_t *grant)
{
  world_t *world = context;
  call_t *call = find_call (world, request);
  if (call == NULL)
    return;
  Cs__Peer__Grant message = CS__PEER__GRANT__INIT;
  message.call = request->call;
  message.target = 1;
  count_control_bytes (world, call->router,
                       cs__peer__grant__get_packed_size (&message) + 2
                           + FRAME_HEAD_BYTES);
  call->granted = true;
  call->engine = engine_index (world, grant->target);
  call->epoch = world->engines[call->engine].epoch;
  cs_time_us_t delay = world->setup.size.hop_us;
  if (world_uses_single_owner (world) && call->router != 0)
    delay *= 2;
  heap_push (&world->heap, world->now + delay, EV_ENGINE_START,
             (uint32_t)(call - world->calls));
}

static void
on_refused (void *context, const cs_placement_request_t *request, int error,
            uint32_t retry_after_s)
{
  world_t *world = context;
  call_t *call = find_call (world, request);
  if (call == NULL)
    return;
  count_refused (world, call);
  free_call (world, (uint32_t)(call - world->calls));
}

/* ---- Engines.  */

void
world_count_running (const world_t *world, uint32_t *total, uint32_t *count)
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

/* Counts a placement on ENGINE, and checks the cap against the true counts. */
static void
record_placement (world_t *world, const engine_t *engine)
{
  uint32_t total, count;
  if (!world_is_measured (world) || !engine->counted)
    return;
  world_count_running (world, &total, &count);
  double mean = (double)total / count;
  uint32_t cap = (uint32_t)ceil (world->setup.cap_factor * mean - 1e-9);
  world->result->placements++;
  if (engine->running <= cap)
    return;
  world->result->violations++;
  if (engine->running - cap > world->result->max_violation)
    world->result->max_violation = engine->running - cap;
}

static void
add_wait (world_t *world, const call_t *call)
{
  /* Organisation 0 is the one that surges.  */
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
look_up_caches (world_t *world, const call_t *call, engine_t *engine)
{
  chat_t *chat = &world->chats[call->chat];
  uint32_t before = chat->tokens;
  uint32_t after = before == 0 ? first_tokens (world) : before + TURN_TOKENS;
  uint32_t reused_tokens = cache_use (engine->cache, call->chat, after);
  uint32_t shared_tokens = cache_use (world->shared_cache, call->chat, after);
  chat->tokens = after;
  if (!world_is_measured (world))
    return;
  world->reusable_tokens += before;
  world->reused_tokens += reused_tokens;
  world->shared_cache_tokens += shared_tokens;
}

void
world_send_release (world_t *world, uint32_t i)
{
  cs_time_us_t delay = world->setup.size.hop_us;
  if (world_uses_single_owner (world) && world->calls[i].router != 0)
    delay *= 2;
  heap_push (&world->heap, world->now + delay, EV_RELEASE, i);
}

/* Releases a failed call at the owner, and retries it if the retry budget
   allows.  */
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
  call->attempts++;
  if (call->attempts >= MAX_ATTEMPTS
      || !cs_retry_budget_take (&world->budgets[call->router]))
    {
      count_refused (world, call);
      free_call (world, i);
      return;
    }
  if (world_is_measured (world))
    world->result->retries++;
  world_request_placement (world, i);
}

static void
handle_engine_start (world_t *world, uint32_t i)
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
  record_placement (world, engine);
  add_wait (world, call);
  look_up_caches (world, call, engine);
  double service
      = cs_random_exponential (&world->random, SERVICE_MEAN_S * 1e6);
  call->ends_at = world->now + (cs_time_us_t)service;
  heap_push (&world->heap, call->ends_at, EV_ENGINE_END, i);
}

static void
handle_engine_end (world_t *world, uint32_t i, cs_time_us_t at)
{
  call_t *call = &world->calls[i];
  engine_t *engine = &world->engines[call->engine];
  /* Calls on an engine that went down have been aborted already.  */
  if (!call->at_engine || call->ends_at != at)
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
  count_control_bytes (world, call->router,
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
  cs_owner_callbacks_t callbacks = { world, on_granted, on_refused };
  policy.pool.placement_algorithm = world->setup.algorithm;
  policy.pool.cap_factor = world->setup.cap_factor;
  if (world->setup.short_factor > 0)
    policy.pool.short_factor = world->setup.short_factor;
  if (world->setup.long_share > 0)
    policy.pool.long_share = world->setup.long_share;
  if (world->setup.ranks > 0)
    policy.pool.spill_ranks = world->setup.ranks;
  policy.pool.settle_us = 5 * world->setup.size.hop_us;
  cs_owner_t *owner = cs_owner_create (&policy, seed, &callbacks);
  if (owner == NULL)
    abort ();
  return owner;
}

/* ---- Periodic events.  */

static void
handle_sample (world_t *world)
{
  uint32_t total, count;
  uint32_t max_running = 0;
  heap_push (&world->heap, world->now + CS_US_PER_S, EV_SAMPLE, 0);
  world_count_running (world, &total, &count);
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    if (world->engines[i].counted && world->engines[i].running > max_running)
      max_running = world->engines[i].running;
  /* Reinstate the engines whose ejection has expired.  */
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    {
      engine_t *engine = &world->engines[i];
      if (engine->eject.ejected_until != 0
          && !cs_eject_is_ejected (&engine->eject, world->now))
        changes_update_owners (world, engine, CS_TARGET_LIVE, false);
    }
  if (world_is_measured (world) && total > 0)
    world->skew_samples[world->skew_sample_count++]
        = max_running / ((double)total / count);
  if (world_is_measured (world) && world_uses_single_owner (world))
    for (uint32_t i = 0; i < world->setup.size.routers; i++)
      {
        Cs__Peer__Heartbeat heartbeat = CS__PEER__HEARTBEAT__INIT;
        heartbeat.revision = 100000;
        /* Each pair of routers has two connections, one dialled by each side.
           On each, a heartbeat is sent and replied to.  */
        world->bytes[i]
            += 4.0 * HEARTBEATS_PER_S * (world->setup.size.routers - 1)
               * (double)(cs__peer__heartbeat__get_packed_size (&heartbeat) + 2
                          + FRAME_HEAD_BYTES);
      }
}

static void
handle_load_reports (world_t *world)
{
  heap_push (&world->heap, world->now + world->setup.load_report_interval_us,
             EV_LOAD_REPORT, 0);
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
    case EV_REQUEST:
      handle_placement_request (world, i);
      break;
    case EV_ENGINE_START:
      handle_engine_start (world, i);
      break;
    case EV_ENGINE_END:
      handle_engine_end (world, i, event->at);
      break;
    case EV_RELEASE:
      handle_release (world, i);
      break;
    case EV_SAMPLE:
      handle_sample (world);
      break;
    case EV_LOAD_REPORT:
      handle_load_reports (world);
      break;
    case EV_TICK:
      handle_tick (world);
      break;
    case EV_REPLACE:
      changes_replace_engine (world);
      break;
    case EV_FLAP:
      changes_flap_engine (world);
      break;
    case EV_LOSS_DETECTED:
      changes_loss_detected (world, i);
      break;
    case EV_RETURN_DETECTED:
      changes_return_detected (world, i);
      break;
    case EV_ENGINE_UP:
      changes_engine_up (world, i);
      break;
    case EV_ENGINE_COUNTED:
      world->engines[i].counted = true;
      changes_report_target_count (world);
      break;
    case EV_ENGINES_FAIL:
      changes_engines_fail (world);
      break;
    case EV_OWNER_LOST:
      changes_owner_lost (world);
      break;
    case EV_ROUTER_SWITCH:
      changes_switch_router (world, i);
      break;
    default:
      break;
    }
}

/* ---- Start and end of a run.  */

static void
create_engines (world_t *world)
{
  uint32_t count = world->setup.size.engines;
  /* SCENARIO_HALF_CACHE caches half of the active chats, which are 60 per
     engine with about 7000 tokens each.  */
  uint64_t capacity
      = world->setup.scenario == SCENARIO_HALF_CACHE ? 30 * 7000 : 0;
  world->engines = calloc (count, sizeof *world->engines);
  world->shared_cache = cache_create (capacity * count);
  for (uint32_t i = 0; i < count; i++)
    {
      world->engines[i].id = i + 1;
      world->engines[i].up = true;
      world->engines[i].counted = true;
      world->engines[i].cache = cache_create (capacity);
    }
}

static void
init_world (world_t *world)
{
  const fleet_size_t *size = &world->setup.size;
  cs_time_us_t duration = size->seconds * CS_US_PER_S;
  world->random.seed = world->setup.seed;
  world->now = CS_US_PER_S;
  world->measure_from = world->now + duration;
  world->end_at = world->measure_from + duration;
  create_engines (world);
  world->owner_count = world_uses_single_owner (world) ? 1 : size->routers;
  world->owners = calloc (world->owner_count, sizeof *world->owners);
  world->switched = calloc (size->routers, sizeof *world->switched);
  world->budgets = calloc (size->routers, sizeof *world->budgets);
  world->bytes = calloc (size->routers, sizeof *world->bytes);
  world->skew_samples
      = calloc (size->seconds + 16, sizeof *world->skew_samples);
  for (uint32_t i = 0; i < world->owner_count; i++)
    world->owners[i]
        = world_create_owner (world, world->setup.seed * 1000 + i);
  for (uint32_t i = 0; i < size->routers; i++)
    cs_retry_budget_init (&world->budgets[i], 0.1, 3, 20);
  for (uint32_t i = 0; i < size->engines; i++)
    changes_update_owners (world, &world->engines[i], CS_TARGET_LIVE, false);
  changes_report_target_count (world);
  heap_push (&world->heap, world->now, EV_ARRIVAL, 0);
  heap_push (&world->heap, world->now, EV_SAMPLE, 0);
  heap_push (&world->heap, world->now, EV_TICK, 0);
  heap_push (&world->heap, world->now, EV_REPLACE, 0);
  if (!world_uses_single_owner (world))
    heap_push (&world->heap, world->now, EV_LOAD_REPORT, 0);
  if (world->setup.scenario == SCENARIO_FLAP
      || world->setup.scenario == SCENARIO_DISAGREE)
    heap_push (&world->heap, world->measure_from, EV_FLAP, 0);
  if (world->setup.scenario == SCENARIO_ENGINES_FAIL)
    heap_push (&world->heap, world->measure_from + 10 * CS_US_PER_S,
               EV_ENGINES_FAIL, 0);
  if (world->setup.scenario == SCENARIO_OWNER_LOST
      && world_uses_single_owner (world))
    heap_push (&world->heap, world->measure_from + 15 * CS_US_PER_S,
               EV_OWNER_LOST, 0);
}

static void
free_world (world_t *world)
{
  for (uint32_t i = 0; i < world->setup.size.engines; i++)
    cache_destroy (world->engines[i].cache);
  for (uint32_t i = 0; i < world->owner_count; i++)
    cs_owner_destroy (world->owners[i]);
  cs_owner_destroy (world->old_owner);
  cache_destroy (world->shared_cache);
  heap_free (&world->heap);
  free (world->engines);
  free (world->owners);
  free (world->switched);
  free (world->budgets);
  free (world->bytes);
  free (world->skew_samples);
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
  init_world (&world);
  while (heap_pop (&world.heap, &event) && event.at < world.end_at)
    {
      world.now = event.at;
      handle_event (&world, &event);
    }
  summary_fill (&world);
  free_world (&world);
}
