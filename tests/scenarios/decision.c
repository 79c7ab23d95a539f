/* Verbs that drive the decision library in virtual time.  Its decisions are
   written to the transcript.  */

#include "scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cranberrystile/owner.h"

typedef struct
{
  scenario_t *scenario;
  cs_owner_t *owner;
  cs_time_us_t now;
} decision_t;

static uint64_t
hash_name (const char *name)
{
  return cs_hash (cs_str (name), 0);
}

/* Returns the name that register_name stored for ID, or "?".  */
static const char *
find_name (scenario_t *scenario, uint64_t id)
{
  char key[64];
  snprintf (key, sizeof key, "id.%llx", (unsigned long long)id);
  const char *name = scenario_get (scenario, key);
  return name == NULL ? "?" : name;
}

/* Stores NAME for find_name and returns its id.  */
static uint64_t
register_name (scenario_t *scenario, const char *name)
{
  char key[64];
  uint64_t id = hash_name (name);
  snprintf (key, sizeof key, "id.%llx", (unsigned long long)id);
  scenario_set (scenario, key, name);
  return id;
}

static void
on_granted (void *context, const cs_placement_request_t *request,
            const cs_pool_grant_t *grant)
{
  decision_t *decision = context;
  scenario_t *scenario = decision->scenario;
  cs_buf_printf (&scenario->transcript, "%llu ms: %s granted %s (%s)\n",
                 (unsigned long long)(decision->now / CS_US_PER_MS),
                 find_name (scenario, request->call),
                 find_name (scenario, grant->target),
                 cs_placement_reason_name (grant->why));
}

static void
on_refused (void *context, const cs_placement_request_t *request, int error,
            uint32_t retry_after_s)
{
  decision_t *decision = context;
  scenario_t *scenario = decision->scenario;
  cs_buf_printf (&scenario->transcript,
                 "%llu ms: %s refused: %s, come back in %u s\n",
                 (unsigned long long)(decision->now / CS_US_PER_MS),
                 find_name (scenario, request->call), cs_error_name (error),
                 retry_after_s);
}

/* pool cap=PERCENT [queue=N] [short=PERCENT] */
void
verb_pool (scenario_t *scenario, const words_t *words)
{
  cs_owner_policy_t policy = cs_owner_policy_default ();
  decision_t *decision = calloc (1, sizeof *decision);
  cs_owner_callbacks_t callbacks = { decision, on_granted, on_refused };
  policy.pool.cap_factor = words_number (words, "cap", 125) / 100.0;
  policy.pool.short_factor = words_number (words, "short", 90) / 100.0;
  policy.queue_capacity = (size_t)words_number (words, "queue", 16);
  decision->scenario = scenario;
  decision->now = CS_US_PER_S;
  decision->owner = cs_owner_create (&policy, 1, &callbacks);
  scenario->decision = decision;
}

void
scenario_destroy_decision (scenario_t *scenario)
{
  decision_t *decision = scenario->decision;
  if (decision == NULL)
    return;
  cs_owner_destroy (decision->owner);
  free (decision);
}

/* engine NAME [slots=N] [state=live|ejected|leaving|gone] [joined=1] */
void
verb_engine (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  cs_pool_t *pool = cs_owner_pool (decision->owner);
  const char *state = words_option (words, "state", "live");
  cs_target_state_t target_state = CS_TARGET_LIVE;
  if (strcmp (state, "ejected") == 0)
    target_state = CS_TARGET_EJECTED;
  else if (strcmp (state, "leaving") == 0)
    target_state = CS_TARGET_LEAVING;
  uint64_t id = register_name (scenario, words->words[0]);
  if (strcmp (state, "gone") == 0)
    cs_pool_remove_target (pool, id);
  else
    cs_pool_set_target (pool, id, (uint32_t)words_number (words, "slots", 8),
                        target_state, words_number (words, "joined", 0) != 0,
                        decision->now);
}

/* at MS: sets the virtual time.  */
void
verb_at (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  decision->now = (cs_time_us_t)atol (words->words[0]) * CS_US_PER_MS;
}

static void
parse_avoid_list (cs_avoid_list_t *list, const char *names)
{
  char name[64];
  for (; names != NULL; names = strchr (names, ','))
    {
      names += *names == ',';
      snprintf (name, sizeof name, "%.*s", (int)strcspn (names, ","), names);
      cs_avoid_list_add (list, hash_name (name));
    }
}

/* ask ROUTER CALL [organisation=] [chat=] [context=] [priority=batch]
   [wait=MS] [weight=] [avoid=TARGET,...] */
void
verb_ask (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  cs_queue_item_t item = { 0 };
  const char *avoid = words_option (words, "avoid", NULL);
  item.ask.router = register_name (scenario, words->words[0]);
  item.ask.call = register_name (scenario, words->words[1]);
  item.ask.organisation
      = hash_name (words_option (words, "organisation", "o"));
  item.ask.key = hash_name (words_option (words, "chat", words->words[1]));
  item.ask.context_tokens = (uint32_t)words_number (words, "context", 0);
  parse_avoid_list (&item.ask.avoid, avoid);
  item.priority = strcmp (words_option (words, "priority", ""), "batch") == 0
                      ? CS_PRIORITY_BATCH
                      : CS_PRIORITY_INTERACTIVE;
  item.weight = (uint32_t)words_number (words, "weight", 1);
  item.enqueued = decision->now;
  item.deadline
      = decision->now
        + (cs_time_us_t)words_number (words, "wait", 1000) * CS_US_PER_MS;
  size_t before = cs_owner_queued (decision->owner);
  cs_owner_ask (decision->owner, &item, decision->now);
  if (cs_owner_queued (decision->owner) > before)
    cs_buf_printf (&scenario->transcript, "%llu ms: %s waits\n",
                   (unsigned long long)(decision->now / CS_US_PER_MS),
                   words->words[1]);
}

/* release ROUTER CALL: the call has ended.  */
void
verb_release (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  cs_owner_release (decision->owner, hash_name (words->words[0]),
                    hash_name (words->words[1]), decision->now);
}

/* drop ROUTER: the router has left the fleet.  */
void
verb_drop (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  cs_owner_drop_router (decision->owner, hash_name (words->words[0]),
                        decision->now);
}

/* recover ROUTER...: starts recovery, which waits for the hand-overs of these
   routers.  */
void
verb_recover (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  uint64_t ids[MAX_WORDS];
  for (int i = 0; i < words->count; i++)
    ids[i] = hash_name (words->words[i]);
  cs_owner_recover (decision->owner, ids, (size_t)words->count, decision->now);
}

/* handed-over ROUTER [CALL=TARGET]...: the router hands over these calls in
   flight.  */
void
verb_handed_over (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  uint64_t router = hash_name (words->words[0]);
  for (int i = 1; i < words->count; i++)
    {
      char call[64];
      const char *equals = strchr (words->words[i], '=');
      snprintf (call, sizeof call, "%.*s", (int)(equals - words->words[i]),
                words->words[i]);
      cs_pool_adopt (cs_owner_pool (decision->owner), router, hash_name (call),
                     hash_name ("o"), hash_name (equals + 1), decision->now);
    }
  cs_owner_handed_over (decision->owner, router, decision->now);
}

void
verb_tick (scenario_t *scenario, const words_t *words)
{
  decision_t *decision = scenario->decision;
  cs_owner_tick (decision->owner, decision->now);
}
