#include "view.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/hash.h"
#include "cranberrystile/load_shedder.h"
#include "cranberrystile/rank.h"

#define MAX_TARGETS 1024

struct view
{
  strategy_t strategy;
  cs_fleet_t *fleet;
  cs_chooser_t *chooser;
  cs_load_shedder_t load_shedder;
  cs_random_t random;
  cs_target_t *targets[MAX_TARGETS]; /* by engine index; NULL: unknown */
  view_engine_fn *engine;
  void *context;
};

static const char *const strategy_names[STRATEGY_COUNT]
    = { "router", "least-loaded", "two-choices", "rendezvous", "clairvoyant" };

const char *
strategy_name (strategy_t strategy)
{
  return strategy_names[strategy];
}

static void
on_gone (void *context, cs_target_t *target)
{
  view_t *view = context;
  uint32_t at = (uint32_t)target->started_ms;
  cs_target_release (view->targets[at]);
  view->targets[at] = NULL;
}

view_t *
view_create (strategy_t strategy, const cs_choice_policy_t *policy,
             uint64_t seed, view_engine_fn *engine, void *context)
{
  view_t *view = calloc (1, sizeof *view);
  if (view == NULL)
    return NULL;
  view->strategy = strategy;
  view->random.seed = seed;
  view->engine = engine;
  view->context = context;
  view->fleet = cs_fleet_create (on_gone, view);
  view->chooser = cs_chooser_create (policy, seed);
  if (view->fleet != NULL && view->chooser != NULL)
    return view;
  view_destroy (view);
  return NULL;
}

void
view_destroy (view_t *view)
{
  if (view == NULL)
    return;
  cs_fleet_destroy (view->fleet);
  cs_chooser_destroy (view->chooser);
  free (view);
}

static cs_str_t
write_id (uint32_t at, char text[16])
{
  snprintf (text, 16, "engine-%u", at);
  return cs_str (text);
}

void
view_add (view_t *view, uint32_t at, uint32_t slots, cs_time_us_t now)
{
  char text[16];
  bool added;
  size_t count;
  /* started_ms holds the engine's index.  */
  cs_target_entry_t entry = { .id = write_id (at, text),
                              .service = cs_str ("engines"),
                              .data_centre = cs_str ("a"),
                              .started_ms = at,
                              .slots = slots };
  if (at >= MAX_TARGETS || view->targets[at] != NULL
      || cs_fleet_put (view->fleet, &entry, now, &added) != 0)
    return;
  cs_target_t *const *all = cs_fleet_targets (view->fleet, &count);
  view->targets[at] = cs_target_reference (all[count - 1]);
}

void
view_remove (view_t *view, uint32_t at, cs_time_us_t now)
{
  char text[16];
  cs_fleet_remove (view->fleet, write_id (at, text), 0, now);
}

/* Cost of sending a request to a target; strategies choose the lowest.  */
typedef double cost_fn (const view_t *view, const cs_target_t *target,
                        const cs_prompt_context_t *context);

static double
cost_load (const view_t *view, const cs_target_t *target,
           const cs_prompt_context_t *context)
{
  return cs_target_estimated_calls (target);
}

static double
cost_first_token (const view_t *view, const cs_target_t *target,
                  const cs_prompt_context_t *context)
{
  const engine_t *engine
      = view->engine (view->context, (uint32_t)target->started_ms);
  return engine == NULL
             ? 1e18
             : (double)engine_predict_first_token_us (engine, context);
}

static bool
is_avoided (const cs_target_t *target, const uint32_t *avoid, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (avoid[i] == target->started_ms)
      return true;
  return false;
}

/* Collects all targets that aren't to be avoided.  */
static size_t
collect (const view_t *view, const uint32_t *avoid, uint32_t avoid_count,
         cs_target_t *out[MAX_TARGETS])
{
  size_t count;
  size_t found = 0;
  cs_target_t *const *all = cs_fleet_targets (view->fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (!is_avoided (all[i], avoid, avoid_count))
      out[found++] = all[i];
  return found;
}

static cs_target_t *
cheapest (const view_t *view, cs_target_t *const *targets, size_t count,
          const cs_prompt_context_t *context, cost_fn *cost)
{
  cs_target_t *best = targets[0];
  for (size_t i = 1; i < count; i++)
    if (cost (view, targets[i], context) < cost (view, best, context))
      best = targets[i];
  return best;
}

static cs_target_t *
best_ranked (cs_target_t *const *targets, size_t count,
             const cs_prompt_context_t *context)
{
  cs_rank_member_t members[MAX_TARGETS];
  for (size_t i = 0; i < count; i++)
    members[i] = (cs_rank_member_t){ targets[i]->hash, 1.0 };
  return targets[cs_rank_first (cs_prompt_context_key (context), members,
                                count)];
}

static cs_target_t *
choose_by_baseline (view_t *view, const cs_prompt_context_t *context,
                    const uint32_t *avoid, uint32_t avoid_count)
{
  cs_target_t *targets[MAX_TARGETS];
  cs_target_t *drawn[2];
  size_t count = collect (view, avoid, avoid_count, targets);
  if (count == 0)
    return NULL;
  switch (view->strategy)
    {
    case STRATEGY_LEAST_LOADED:
      return cheapest (view, targets, count, context, cost_load);
    case STRATEGY_TWO_CHOICES:
      for (int i = 0; i < 2; i++)
        drawn[i] = targets[cs_random_u64 (&view->random) % count];
      return cheapest (view, drawn, 2, context, cost_load);
    case STRATEGY_RENDEZVOUS:
      return best_ranked (targets, count, context);
    default:
      return cheapest (view, targets, count, context, cost_first_token);
    }
}

uint32_t
view_choose (view_t *view, const engine_request_t *request,
             const uint32_t *avoid, uint32_t avoid_count, cs_time_us_t now,
             uint32_t *source)
{
  cs_choice_t choice = { 0 };
  *source = UINT32_MAX;
  if (view->strategy != STRATEGY_ROUTER)
    {
      const cs_target_t *target
          = choose_by_baseline (view, &request->context, avoid, avoid_count);
      return target == NULL ? UINT32_MAX : (uint32_t)target->started_ms;
    }
  cs_choice_request_t choice_request = { .service = cs_str ("engines"),
                                         .data_centre = cs_str ("a"),
                                         .context = &request->context,
                                         .can_fetch = true };
  for (uint32_t i = 0; i < avoid_count && i < CS_CHOICE_MAX_AVOIDED; i++)
    if (view->targets[avoid[i]] != NULL)
      choice_request.avoid[choice_request.avoid_count++]
          = view->targets[avoid[i]];
  if (cs_chooser_choose (view->chooser, view->fleet, &choice_request, now,
                         &choice)
      != 0)
    return UINT32_MAX;
  cs_load_shedder_record (&view->load_shedder, request->priority, now);
  if (!cs_load_shedder_admits (&view->load_shedder, request->priority, &choice,
                               now))
    return UINT32_MAX;
  if (choice.source != NULL)
    *source = (uint32_t)choice.source->started_ms;
  return (uint32_t)choice.target->started_ms;
}

void
view_call_started (view_t *view, uint32_t at)
{
  if (view->targets[at] != NULL)
    view->targets[at]->in_flight++;
}

void
view_call_ended (view_t *view, uint32_t at)
{
  if (view->targets[at] != NULL && view->targets[at]->in_flight > 0)
    view->targets[at]->in_flight--;
}

void
view_update_load (view_t *view, uint32_t at, uint32_t running,
                  uint32_t waiting, cs_time_us_t now)
{
  cs_target_t *target = view->targets[at];
  if (target == NULL)
    return;
  target->load = (cs_target_load_t){ .running = running,
                                     .waiting = waiting,
                                     .slots = target->slots,
                                     .own_in_flight = target->in_flight,
                                     .at = now,
                                     .valid = true };
}

void
view_first_token (view_t *view, cs_time_us_t sent_at, bool late,
                  cs_time_us_t now)
{
  (void)cs_slot_limit_record (&view->load_shedder.slot_limit, sent_at, late,
                              now);
}

uint32_t
view_in_flight (const view_t *view, uint32_t at)
{
  return view->targets[at] == NULL ? 0 : view->targets[at]->in_flight;
}

void
view_update_peer_calls (view_t *view, uint32_t at, uint32_t calls,
                        cs_time_us_t now)
{
  if (view->targets[at] == NULL)
    return;
  view->targets[at]->peer_calls = calls;
  view->targets[at]->peer_calls_at = now;
}
