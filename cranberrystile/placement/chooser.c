#include "cranberrystile/chooser.h"

#include <stdlib.h>

#include "common/error.h"
#include "common/hash.h"
#include "cranberrystile/rank.h"

#define HOMES_MOST 8
/* Contexts whose last target is remembered; the newest of those that share a
   place stays.  */
#define CONTEXTS_REMEMBERED 2048
/* A target that joined so recently may lack the contexts that are at home
   there.  */
#define JOINED_US (20 * CS_US_PER_S)

typedef struct
{
  uint64_t key;
  uint64_t target; /* hash */
} placed_t;

struct cs_chooser
{
  cs_choice_policy_t policy;
  cs_random_t random;
  cs_target_t **candidates; /* scratch for one choice */
  cs_rank_member_t *members;
  size_t capacity;
  placed_t placed[CONTEXTS_REMEMBERED];
};

cs_choice_policy_t
cs_choice_policy_default (void)
{
  cs_choice_policy_t policy = {
    .home_factor = 1.45, /* under the users' cap of 2 x mean + 3, with room for
                           what other routers send at the same time */
    .home_extra = 2,
    .home_max_slot_share
    = 0.9, /* the last tenth is for calls that are not seen yet */
    .homes = 4,
    .remote_penalty = 1,
    .failure_penalty_once
    = 8, /* a lost booking outweighs the wait behind a plain
 service's slots; 16 made more late than it saved */
    .failure_penalty_repeatable
    = 4, /* another try takes as long as a few calls wait */
    .home_max_failing_share = 0.2,
  };
  return policy;
}

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
  free (chooser->candidates);
  free (chooser->members);
  free (chooser);
}

static int
reserve (cs_chooser_t *chooser, size_t count)
{
  if (count <= chooser->capacity)
    return CS_OK;
  cs_target_t **candidates
      = realloc (chooser->candidates, count * sizeof (cs_target_t *));
  if (candidates == NULL)
    return CS_ERR_NO_MEMORY;
  chooser->candidates = candidates;
  cs_rank_member_t *members
      = realloc (chooser->members, count * sizeof *members);
  if (members == NULL)
    return CS_ERR_NO_MEMORY;
  chooser->members = members;
  chooser->capacity = count;
  return CS_OK;
}

static bool
is_avoided (const cs_choice_request_t *ask, const cs_target_t *target)
{
  for (uint32_t i = 0; i < ask->avoid_count; i++)
    if (ask->avoid[i] == target)
      return true;
  return false;
}

static bool
is_near (const cs_choice_request_t *ask, const cs_target_t *target)
{
  return cs_str_equal (cs_name_str (&target->data_centre), ask->data_centre);
}

/* Which targets are considered.  */
typedef enum
{
  CONSIDER_NEAR, /* in the router's data centre, not ejected */
  CONSIDER_SOUND,
  CONSIDER_ALL /* ejected ones too */
} consider_t;

static void
add_candidate (cs_chooser_t *chooser, size_t at, cs_target_t *target)
{
  chooser->members[at].id = target->hash;
  chooser->members[at].weight = 1.0;
  chooser->candidates[at] = target;
}

/* Collects the targets of the service that may get the call.  */
static size_t
collect (cs_chooser_t *chooser, const cs_fleet_t *fleet,
         const cs_choice_request_t *ask, consider_t consider, cs_time_us_t now)
{
  size_t total;
  size_t count = 0;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  for (size_t i = 0; i < total; i++)
    {
      cs_target_t *target = targets[i];
      if (target->leaving || is_avoided (ask, target)
          || !cs_str_equal (cs_name_str (&target->service), ask->service))
        continue;
      if (consider != CONSIDER_ALL
          && cs_eject_is_ejected (&target->eject, now))
        continue;
      if (consider == CONSIDER_NEAR && !is_near (ask, target))
        continue;
      add_candidate (chooser, count++, target);
    }
  return count;
}

/* Adds the targets of the service that leave behind the COUNT that may get the
   call: until they are gone they still hold what was at home there.  Returns
   the new count.  */
static size_t
collect_leaving (cs_chooser_t *chooser, const cs_fleet_t *fleet,
                 const cs_choice_request_t *ask, size_t count)
{
  size_t total;
  cs_target_t *const *targets = cs_fleet_targets (fleet, &total);
  for (size_t i = 0; i < total; i++)
    {
      cs_target_t *target = targets[i];
      if (!target->leaving
          || !cs_str_equal (cs_name_str (&target->service), ask->service))
        continue;
      add_candidate (chooser, count++, target);
    }
  return count;
}

static double
mean_load (const cs_chooser_t *chooser, size_t count)
{
  double sum = 0;
  for (size_t i = 0; i < count; i++)
    sum += cs_target_estimate (chooser->candidates[i]);
  return sum / (double)count;
}

/* Estimated calls at TARGET; one in another data centre counts as LOCAL_EXTRA
   calls busier, one that fails by its risk: a target that fails fast is idle
   and would draw all calls.  */
static double
cost (const cs_chooser_t *chooser, const cs_choice_request_t *ask,
      const cs_target_t *target, cs_time_us_t now)
{
  double load = cs_target_estimate (target);
  double risk = ask->at_most_once ? chooser->policy.failure_penalty_once
                                  : chooser->policy.failure_penalty_repeatable;
  if (!is_near (ask, target))
    load += chooser->policy.remote_penalty;
  return load + risk * cs_outcomes_failing_share (&target->outcomes, now);
}

/* The less loaded of two candidates drawn at random.  All routers see the same
   loads, a moment old, so if each took the least loaded one they would fill it
   together (Mitzenmacher, "How useful is old information?", 2000).  */
static cs_target_t *
less_loaded_of_two (cs_chooser_t *chooser, const cs_choice_request_t *ask,
                    size_t count, cs_time_us_t now)
{
  size_t first = cs_random_u64 (&chooser->random) % count;
  if (count == 1)
    return chooser->candidates[0];
  size_t second = cs_random_u64 (&chooser->random) % (count - 1);
  if (second >= first)
    second++;
  cs_target_t *a = chooser->candidates[first];
  cs_target_t *b = chooser->candidates[second];
  return cost (chooser, ask, b, now) < cost (chooser, ask, a, now) ? b : a;
}

/* Calls up to which a home with SLOTS (0: not known) is used: beyond its slots
   a call waits, while another target may be free.  */
static double
home_most (const cs_choice_policy_t *policy, uint32_t slots, double mean)
{
  double most = mean * policy->home_factor + policy->home_extra;
  double full = slots * policy->home_max_slot_share;
  double fair = mean + policy->home_extra;
  if (slots == 0 || most <= full)
    return most;
  return full > fair ? full : fair;
}

/* The first home under the threshold and not at risk, or NULL.  */
static cs_target_t *
free_home (cs_chooser_t *chooser, const cs_choice_request_t *ask, uint64_t key,
           size_t count, double mean, cs_time_us_t now)
{
  uint32_t ranked[HOMES_MOST];
  uint32_t homes = chooser->policy.homes;
  size_t found = cs_rank (key, chooser->members, count, ranked,
                          homes < HOMES_MOST ? homes : HOMES_MOST);
  for (size_t i = 0; i < found; i++)
    {
      cs_target_t *home = chooser->candidates[ranked[i]];
      bool at_risk = ask->at_most_once
                     && cs_outcomes_failing_share (&home->outcomes, now)
                            >= chooser->policy.home_max_failing_share;
      double most = home_most (&chooser->policy, home->slots, mean);
      if (!at_risk && cs_target_estimate (home) < most)
        return home;
    }
  return NULL;
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

/* A target other than CHOSEN that is likely to hold the context KEY: the one
   that this router last sent it to, or else the home that CHOSEN stands in
   for.  */
static cs_target_t *
find_source (cs_chooser_t *chooser, const cs_fleet_t *fleet,
             const cs_choice_request_t *ask, uint64_t key,
             const cs_target_t *chosen, size_t count, cs_time_us_t now)
{
  const placed_t *placed = &chooser->placed[key % CONTEXTS_REMEMBERED];
  uint32_t ranked[2];
  if (placed->key == key)
    {
      cs_target_t *last = find_by_hash (fleet, placed->target);
      if (last != NULL && last != chosen
          && !cs_eject_is_ejected (&last->eject, now))
        return last;
      if (last == chosen)
        return NULL;
    }
  count = collect_leaving (chooser, fleet, ask, count);
  size_t found = cs_rank (key, chooser->members, count, ranked, 2);
  if (found > 0 && chooser->candidates[ranked[0]] != chosen)
    return chooser->candidates[ranked[0]];
  if (found > 1 && now - chosen->joined_at < JOINED_US)
    return chooser->candidates[ranked[1]];
  return NULL;
}

int
cs_chooser_choose (cs_chooser_t *chooser, const cs_fleet_t *fleet,
                   const cs_choice_request_t *ask, cs_time_us_t now,
                   cs_choice_t *out)
{
  size_t total;
  uint64_t key
      = ask->context == NULL ? 0 : cs_prompt_context_key (ask->context);
  *out = (cs_choice_t){ 0 };
  cs_fleet_targets (fleet, &total);
  if (reserve (chooser, total) != 0)
    return CS_ERR_NO_MEMORY;
  size_t count = 0;
  out->why = CS_CHOICE_LEAST_LOADED;
  if (ask->prefer_local)
    count = collect (chooser, fleet, ask, CONSIDER_NEAR, now);
  if (count == 0)
    count = collect (chooser, fleet, ask, CONSIDER_SOUND, now);
  if (count == 0)
    {
      count = collect (chooser, fleet, ask, CONSIDER_ALL, now);
      out->why = CS_CHOICE_LAST_RESORT;
    }
  if (count == 0)
    return CS_ERR_NO_TARGET;
  out->live = (uint32_t)count;
  out->mean = mean_load (chooser, count);
  if (key != 0)
    {
      out->target = free_home (chooser, ask, key, count, out->mean, now);
      out->why = out->target != NULL ? CS_CHOICE_HOME : CS_CHOICE_SPILL;
    }
  if (out->target == NULL)
    out->target = less_loaded_of_two (chooser, ask, count, now);
  out->load = cs_target_estimate (out->target);
  if (key != 0 && ask->can_fetch)
    out->source
        = find_source (chooser, fleet, ask, key, out->target, count, now);
  if (key != 0)
    chooser->placed[key % CONTEXTS_REMEMBERED]
        = (placed_t){ key, out->target->hash };
  return CS_OK;
}

const char *
cs_choice_reason_name (cs_choice_reason_t why)
{
  static const char *const names[] = { "home", "spill", "least", "last" };
  return names[why];
}
