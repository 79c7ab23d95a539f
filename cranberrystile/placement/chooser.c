#include "cranberrystile/chooser.h"

#include <stdlib.h>

#include "common/error.h"
#include "common/hash.h"
#include "cranberrystile/popularity.h"
#include "cranberrystile/rank.h"
#include "cranberrystile/recent_contexts.h"
#include "cranberrystile/stale_load.h"
#include "cranberrystile/surge.h"
#include "placement/candidates.h"
#include "placement/plain_time.h"

/* A target that joined less than this ago may lack the contexts for which it
   is a home.  */
#define WARM_UP_US (20 * CS_US_PER_S)

/* Draws after which a target is taken whatever its weight.  */
#define MAX_DRAWS 16

/* What a call at a target with free slots adds to the expected time, relative
   to the usual work.  It decides between targets that are as fast, and is too
   small to outweigh a stated difference in speed.  */
#define FREE_SLOT_COST 1e-3

/* Users require that no target gets more calls than LIMIT_FACTOR times the
   mean of its service + LIMIT_EXTRA.  */
#define LIMIT_FACTOR 2
#define LIMIT_EXTRA 3

struct cs_chooser
{
  cs_choice_policy_t policy;
  cs_random_t random;
  candidates_t candidates; /* of the present choice */
  cs_recent_contexts_t recent;
  cs_popularity_t popularity;
  cs_surge_t surge;
};

cs_chooser_t *
cs_chooser_create (const cs_choice_policy_t *policy, uint64_t seed)
{
  cs_chooser_t *chooser = calloc (1, sizeof *chooser);
  if (chooser == NULL)
    return NULL;
  chooser->policy = *policy;
  chooser->random.seed = seed;
  return chooser;
}

void
cs_chooser_destroy (cs_chooser_t *chooser)
{
  if (chooser == NULL)
    return;
  candidates_free (&chooser->candidates);
  free (chooser);
}

/* Returns the estimated load of TARGET as that of one that names no limit.  */
static double
relative_load (const cs_target_t *target)
{
  return cs_target_estimated_calls (target) / target->weight;
}

/* Returns the penalty, in calls, for a target in another data centre.  */
static double
distance_penalty (const cs_chooser_t *chooser,
                  const cs_choice_request_t *request,
                  const cs_target_t *target)
{
  return candidates_is_local (request, target)
             ? 0
             : chooser->policy.remote_penalty;
}

/* Returns the penalty, in calls, for recent failures.  Without it a target
   that fails fast would look idle and attract all calls.  */
static double
failure_penalty (const cs_chooser_t *chooser,
                 const cs_choice_request_t *request, const cs_target_t *target,
                 cs_time_us_t now)
{
  double penalty = request->at_most_once
                       ? chooser->policy.failure_penalty_once
                       : chooser->policy.failure_penalty_repeatable;
  return penalty * cs_outcomes_failure_rate (&target->outcomes, now);
}

/* Returns the relative load of TARGET plus the penalties.  */
static double
effective_load (const cs_chooser_t *chooser,
                const cs_choice_request_t *request, const cs_target_t *target,
                cs_time_us_t now)
{
  return relative_load (target) + distance_penalty (chooser, request, target)
         + failure_penalty (chooser, request, target, now);
}

/* Returns the index of one of the COUNT targets other than EXCEPT, drawn by
   their weights.  There must be one; EXCEPT is COUNT for none.  */
static size_t
draw (cs_chooser_t *chooser, cs_target_t *const *targets, size_t count,
      size_t except)
{
  size_t choices = except < count ? count - 1 : count;
  size_t index = 0;
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      index = cs_random_u64 (&chooser->random) % choices;
      if (index >= except)
        index++;
      double weight = targets[index]->weight;
      if (weight >= 1 || cs_random_unit (&chooser->random) < weight)
        break;
    }
  return index;
}

/* Returns how long a request to TARGET is expected to take, for comparison.
   Of targets that are as fast, the one with fewer calls is preferred.  At
   engines, and where the SLOTS are unknown, the time is in proportion to the
   calls.  Elsewhere penalties count as calls that wait, since calls add no
   time while a slot is free.  */
static double
expected_time (const cs_chooser_t *chooser, const cs_choice_request_t *request,
               const cs_target_t *target, uint32_t slots, cs_time_us_t now)
{
  double calls = relative_load (target) + 1;
  double penalty = distance_penalty (chooser, request, target)
                   + failure_penalty (chooser, request, target, now);
  if (!request->is_plain || slots == 0)
    return (calls + penalty) * cs_slowness_now (&target->slowness, now);
  return plain_time_with (target, calls, slots, now).expected
         + calls * FREE_SLOT_COST + penalty / slots;
}

/* Whether one more call would be above the limit of TARGET.  */
static bool
is_at_limit (const cs_target_t *target, const cs_choice_service_t *service)
{
  return cs_target_estimated_calls (target) + 1
         > LIMIT_FACTOR * service->mean_calls + LIMIT_EXTRA;
}

/* Returns the one of A and B that is expected to take less time, A if equal;
   if one of them is at its limit, the other one.  If the slots of one are
   unknown, as it hasn't answered yet, it is assumed to have as many as the
   other.  */
static cs_target_t *
sooner_of (const cs_chooser_t *chooser, const cs_choice_request_t *request,
           const cs_choice_service_t *service, cs_target_t *a, cs_target_t *b,
           cs_time_us_t now)
{
  if (is_at_limit (a, service) != is_at_limit (b, service))
    return is_at_limit (a, service) ? b : a;
  uint32_t slots_a = plain_time_slots (a);
  uint32_t slots_b = plain_time_slots (b);
  slots_a = slots_a == 0 ? slots_b : slots_a;
  slots_b = slots_b == 0 ? slots_a : slots_b;
  return expected_time (chooser, request, b, slots_b, now)
                 < expected_time (chooser, request, a, slots_a, now)
             ? b
             : a;
}

/* Returns the better of two of the targets of SERVICE, drawn at random, or
   NULL if there is none: the less loaded one, or where one of them states how
   slow it is, the one that is expected to take less time.  All routers see the
   same slightly outdated loads; if each chose the best target, they would
   overload it together (Mitzenmacher, "How useful is old information?", 2000).
 */
static cs_target_t *
better_of_two (cs_chooser_t *chooser, const cs_choice_request_t *request,
               const cs_choice_service_t *service, cs_time_us_t now)
{
  cs_target_t *const *targets = chooser->candidates.targets;
  size_t count = service->count;
  if (count <= 1)
    return count == 0 ? NULL : targets[0];
  size_t first = draw (chooser, targets, count, count);
  size_t second = draw (chooser, targets, count, first);
  cs_target_t *a = targets[first];
  cs_target_t *b = targets[second];
  if (cs_slowness_is_stated (&a->slowness)
      || cs_slowness_is_stated (&b->slowness))
    return sooner_of (chooser, request, service, a, b, now);
  return effective_load (chooser, request, b, now)
                 < effective_load (chooser, request, a, now)
             ? b
             : a;
}

static bool
is_failing (const cs_chooser_t *chooser, const cs_choice_request_t *request,
            const cs_target_t *home, cs_time_us_t now)
{
  return request->at_most_once
         && cs_outcomes_failure_rate (&home->outcomes, now)
                >= chooser->policy.home_max_failure_rate;
}

/* Returns one of the COUNT > 0 homes, which are expected to have got ARRIVALS
   calls since their loads were reported.  */
static cs_target_t *
select_home (cs_chooser_t *chooser, const cs_choice_request_t *request,
             cs_target_t *const *homes, size_t count, double arrivals,
             cs_time_us_t now)
{
  double loads[CS_MAX_RANKED];
  for (size_t i = 0; i < count; i++)
    loads[i] = effective_load (chooser, request, homes[i], now);
  return homes[cs_stale_load_select (loads, count, arrivals,
                                     cs_random_unit (&chooser->random))];
}

/* Returns a home, or NULL if each one is above its limit or excluded for
   failures.  That is the highest ranked one unless it is above its limit or
   the context is spread.  A spread context uses all homes if it uses any: as
   the views lag, those above their limits now may be the first to be below. */
static cs_target_t *
find_available_home (cs_chooser_t *chooser, const cs_choice_request_t *request,
                     uint64_t key, const cs_choice_service_t *service,
                     cs_time_us_t now)
{
  const cs_choice_policy_t *policy = &chooser->policy;
  cs_recent_context_t *recent
      = cs_recent_contexts_find (&chooser->recent, key);
  cs_popularity_estimate_t popularity = { 0 };
  uint32_t ranked[CS_MAX_RANKED];
  cs_target_t *homes[CS_MAX_RANKED];
  double routers = 1 + (double)request->peers;
  double min_recent = cs_choice_min_surge (policy, service->count, routers);
  size_t usable = 0;
  bool surges = false;
  bool is_any_below = false;
  /* A retry is no sign of more callers.  */
  if (request->avoid_count == 0)
    {
      popularity = cs_popularity_record (&chooser->popularity, key, now);
      cs_surge_record_request (&chooser->surge, now);
      bool route_surges
          = cs_surge_record (&chooser->surge, request->route, min_recent, now);
      surges = cs_surge_record (&chooser->surge, request->organisation,
                                min_recent, now)
               || route_surges;
    }
  uint32_t needed
      = cs_choice_homes_needed (policy, service, popularity.share, surges);
  bool is_spread
      = surges || needed > policy->homes || now < recent->spread_until;
  size_t found = cs_rank (key, chooser->candidates.members, service->count,
                          ranked, needed);
  for (size_t i = 0; i < found; i++)
    {
      cs_target_t *home = chooser->candidates.targets[ranked[i]];
      if (is_failing (chooser, request, home, now))
        continue;
      bool is_full = relative_load (home) >= cs_choice_home_limit (
                         policy, home->slots, service->mean);
      if (i == 0 && !is_spread && !is_full)
        return home;
      if (i == 0 && is_full)
        recent->spread_until = now + policy->spread_us;
      is_any_below = is_any_below || !is_full;
      homes[usable++] = home;
    }
  if (!is_any_below)
    return NULL;
  double arrivals = 1
                    + popularity.rate_per_s * routers
                          * (double)policy->view_age_us / CS_US_PER_S;
  return select_home (chooser, request, homes, usable, arrivals, now);
}

static cs_target_t *
find_by_hash (const cs_fleet_t *fleet, uint64_t hash)
{
  size_t count;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &count);
  for (size_t i = 0; i < count; i++)
    if (targets[i]->hash == hash)
      return targets[i];
  return NULL;
}

/* Returns a target other than CHOSEN that probably holds the context KEY, or
   NULL: the target that this router last used for the context, or else the
   first home, or the second if CHOSEN is the first and joined recently.  */
static cs_target_t *
find_source (cs_chooser_t *chooser, const cs_fleet_t *fleet,
             const cs_choice_request_t *request, uint64_t key,
             const cs_target_t *chosen, cs_time_us_t now)
{
  const cs_recent_context_t *recent
      = cs_recent_contexts_find (&chooser->recent, key);
  uint32_t ranked[2];
  if (recent->target != 0)
    {
      cs_target_t *last = find_by_hash (fleet, recent->target);
      if (last != NULL && last != chosen
          && candidates_is_allowed (request, last)
          && !cs_eject_is_ejected (&last->eject, now))
        return last;
      if (last == chosen)
        return NULL;
    }
  candidates_t *candidates = &chooser->candidates;
  candidates_add_sources (candidates, fleet, request);
  size_t found
      = cs_rank (key, candidates->members, candidates->count, ranked, 2);
  if (found > 0 && candidates->targets[ranked[0]] != chosen)
    return candidates->targets[ranked[0]];
  if (found > 1 && now - chosen->joined_at < WARM_UP_US)
    return candidates->targets[ranked[1]];
  return NULL;
}

int
cs_chooser_choose (cs_chooser_t *chooser, const cs_fleet_t *fleet,
                   const cs_choice_request_t *request, cs_time_us_t now,
                   cs_choice_t *out)
{
  candidates_t *candidates = &chooser->candidates;
  uint64_t key = request->context == NULL
                     ? 0
                     : cs_prompt_context_key (request->context);
  size_t count = 0;
  *out = (cs_choice_t){ .reason = CS_CHOICE_LEAST_LOADED };
  if (candidates_reserve (candidates, fleet) != 0)
    return CS_ERR_NO_MEMORY;
  if (request->prefer_local)
    count = candidates_collect (candidates, fleet, request, CANDIDATES_LOCAL,
                                now);
  if (count == 0)
    count = candidates_collect (candidates, fleet, request, CANDIDATES_HEALTHY,
                                now);
  if (count == 0)
    {
      count = candidates_collect (candidates, fleet, request, CANDIDATES_ALL,
                                  now);
      out->reason = CS_CHOICE_LAST_RESORT;
    }
  out->avoided_cold = candidates->avoided_cold;
  if (count == 0)
    {
      out->available_at = candidates_first_accepts_at (fleet, request, now);
      out->is_evacuated = out->available_at == 0
                          && candidates_are_evacuated (fleet, request);
      return out->available_at != 0 ? CS_ERR_OVERLOADED : CS_ERR_NO_TARGET;
    }
  cs_choice_service_t service = candidates_sum_up (candidates);
  out->live = (uint32_t)count;
  out->mean = service.mean;
  out->own = service.own;
  out->mean_calls = service.mean_calls;
  if (key != 0)
    {
      out->target = find_available_home (chooser, request, key, &service, now);
      out->reason = out->target != NULL ? CS_CHOICE_HOME : CS_CHOICE_SPILL;
    }
  if (out->target == NULL)
    out->target = better_of_two (chooser, request, &service, now);
  out->load = cs_target_estimated_calls (out->target);
  if (request->is_plain)
    plain_time_estimate (candidates, request, now, out);
  if (key != 0 && request->can_fetch)
    out->source = find_source (chooser, fleet, request, key, out->target, now);
  if (key != 0)
    cs_recent_contexts_find (&chooser->recent, key)->target
        = out->target->hash;
  return CS_OK;
}

const char *
cs_choice_reason_name (cs_choice_reason_t reason)
{
  static const char *const names[] = { "home", "spill", "least", "last" };
  return names[reason];
}
