#include "daemon/claims.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "common/clock.h"
#include "common/hash.h"
#include "common/log.h"

/* Number of attempts to create a claim or look it up while the platform does
   not respond, or the existing claim is deleted before it is read.  */
#define MAX_CREATE_ATTEMPTS 3

/* Limit of results waiting to be written to the platform; further ones are
   discarded.  */
#define MAX_PENDING 1024

/* Size limit of a stored response.  A repeat of a request with a longer
   response gets the error that the outcome is unknown.  */
#define MAX_STORED_BODY_BYTES (512 * 1024)

/* Time after its deadline at which an attempt counts as ended.  */
#define DEADLINE_SLACK_MS 5000

#define BACKGROUND_INTERVAL_MS 250
#define SWEEP_INTERVAL_MS 5000
#define SWEEP_PAGE_SIZE 100
#define MAX_SWEEP_DELETES 20

/* The result of a claim that could not be written to the platform yet.  */
typedef struct pending
{
  char name[65];
  json_t *spec; /* owned */
  cs_name_t attempt;
  cs_time_us_t expires_at; /* discarded after this time */
  struct pending *prev;
  struct pending *next;
} pending_t;

struct cs_claims
{
  const cs_settings_t *settings;
  cs_platform_t *platform;
  cs_members_t *members;
  cs_counters_t *counters;
  atomic_ullong attempts; /* number of attempts, part of their ids */
  atomic_bool stopping;
  pthread_t thread;
  bool thread_started;
  pthread_mutex_t lock; /* guards pending and pending_count; leaf lock */
  pending_t *pending;
  size_t pending_count;
  char sweep_continue[128]; /* continue token of the next page to
                                  sweep; used by the thread only */
};

static void
copy_version (cs_held_claim_t *held, const json_t *object)
{
  snprintf (held->version, sizeof held->version, "%s",
            cs_platform_resource_version (object));
}

/* Reads the existing claim and decides what to do with the request.  */
static int
look_up_claim (cs_claims_t *claims, cs_held_claim_t *held,
               cs_claim_step_t *step)
{
  json_t *object = NULL;
  cs_claim_t found = { 0 };
  int error = 0;
  int rc
      = cs_platform_get (claims->platform, CS_KIND_CLAIM, held->name, &object);
  if (rc != 0)
    return rc;
  rc = cs_claim_from_json (cs_platform_spec (object), &found);
  if (rc != 0)
    goto out;
  *step = cs_claim_decide (&found, cs_name_str (&held->claim.attempt),
                           held->claim.request_sha256, cs_clock_wall_ms (),
                           &error);
  copy_version (held, object);
  rc = error;
  if (*step == CS_CLAIM_REPLAY)
    {
      cs_claim_free (&held->claim);
      held->claim = found;
      memset (&found, 0, sizeof found);
    }
out:
  cs_claim_free (&found);
  json_decref (object);
  return rc;
}

/* Creates the claim.  Returns CS_ERR_CONFLICT if it exists already.  */
static int
create_claim (cs_claims_t *claims, cs_held_claim_t *held)
{
  json_t *object = NULL;
  json_t *spec = cs_claim_to_json (&held->claim);
  if (spec == NULL)
    return CS_ERR_NO_MEMORY;
  int rc = cs_platform_create_object (claims->platform, CS_KIND_CLAIM,
                                      held->name, spec, &object);
  if (rc == 0)
    copy_version (held, object);
  json_decref (spec);
  json_decref (object);
  return rc;
}

/* Takes over a claim whose earlier attempt was not executed.  */
static int
take_over_claim (cs_claims_t *claims, cs_held_claim_t *held)
{
  json_t *object = NULL;
  json_t *spec = cs_claim_to_json (&held->claim);
  if (spec == NULL)
    return CS_ERR_NO_MEMORY;
  int rc = cs_platform_replace (claims->platform, CS_KIND_CLAIM, held->name,
                                held->version, spec, &object);
  if (rc == 0)
    copy_version (held, object);
  json_decref (spec);
  json_decref (object);
  return rc == CS_ERR_CONFLICT ? CS_ERR_IN_PROGRESS : rc;
}

/* Queues the result of a claim to be written by the background thread.  */
static void
add_pending (cs_claims_t *claims, const cs_held_claim_t *held)
{
  pending_t *pending = calloc (1, sizeof *pending);
  if (pending == NULL)
    return;
  pending->spec = cs_claim_to_json (&held->claim);
  pending->attempt = held->claim.attempt;
  pending->expires_at
      = cs_clock_now () + claims->settings->claim_ttl_s * CS_US_PER_S;
  memcpy (pending->name, held->name, sizeof pending->name);
  pthread_mutex_lock (&claims->lock);
  bool added = pending->spec != NULL && claims->pending_count < MAX_PENDING;
  if (added)
    {
      DL_APPEND (claims->pending, pending);
      claims->pending_count++;
    }
  pthread_mutex_unlock (&claims->lock);
  if (added)
    return;
  json_decref (pending->spec);
  free (pending);
}

static void
fill_claim (cs_claims_t *claims, const char *request_sha256,
            cs_held_claim_t *held)
{
  char attempt[64];
  uint64_t now = cs_clock_wall_ms ();
  uint64_t sequence = atomic_fetch_add (&claims->attempts, 1);
  snprintf (attempt, sizeof attempt, "%016llx-%llu",
            (unsigned long long)cs_members_self (claims->members)->id,
            (unsigned long long)sequence);
  cs_name_set (&held->claim.attempt, cs_str (attempt));
  memcpy (held->claim.request_sha256, request_sha256, 65);
  held->claim.state = CS_CLAIM_RUNNING;
  held->claim.deadline_wall_ms
      = now + claims->settings->deadline_ms + DEADLINE_SLACK_MS;
  held->claim.expires_wall_ms
      = held->claim.deadline_wall_ms + claims->settings->claim_ttl_s * 1000ULL;
}

/* Creates the claim, or looks up the existing one and decides.  */
static int
create_or_look_up (cs_claims_t *claims, cs_held_claim_t *held,
                   cs_claim_step_t *step)
{
  int rc = CS_ERR_PLATFORM_DOWN;
  for (int i = 0; i < MAX_CREATE_ATTEMPTS; i++)
    {
      *step = CS_CLAIM_RUN;
      rc = create_claim (claims, held);
      if (rc != CS_ERR_CONFLICT && rc != CS_ERR_PLATFORM_DOWN)
        return rc;
      /* The conflicting claim may be our own, if the response to an earlier
         attempt was lost.  */
      rc = look_up_claim (claims, held, step);
      if (rc != CS_ERR_NOT_FOUND && rc != CS_ERR_PLATFORM_DOWN)
        return rc;
    }
  return CS_ERR_PLATFORM_DOWN;
}

int
cs_claims_begin (cs_claims_t *claims, cs_str_t organisation, cs_str_t key,
                 const char *request_sha256, cs_held_claim_t *held,
                 bool *stored)
{
  cs_claim_step_t step = CS_CLAIM_RUN;
  memset (held, 0, sizeof *held);
  *stored = false;
  if (claims->platform == NULL)
    return CS_ERR_PLATFORM_DOWN;
  cs_claim_name (organisation, key, held->name);
  fill_claim (claims, request_sha256, held);
  int rc = create_or_look_up (claims, held, &step);
  if (rc == 0 && step == CS_CLAIM_TAKE_OVER)
    rc = take_over_claim (claims, held);
  if (rc == CS_ERR_PLATFORM_DOWN)
    {
      /* The claim may have been created all the same.  The caller gets the
         error that the request was not executed, so record that as soon as the
         platform is reachable again.  */
      held->claim.state = CS_CLAIM_NOT_RUN;
      add_pending (claims, held);
    }
  if (rc != 0)
    return rc == CS_ERR_RATE_LIMITED ? CS_ERR_PLATFORM_DOWN : rc;
  *stored = step == CS_CLAIM_REPLAY;
  cs_counters_add (claims->counters,
                   *stored ? CS_COUNTER_CLAIM_REPEATS : CS_COUNTER_CLAIMS, 1);
  return 0;
}

void
cs_claims_finish (cs_claims_t *claims, cs_held_claim_t *held,
                  cs_claim_state_t state, int status, cs_str_t content_type,
                  cs_str_t body)
{
  if (body.len > MAX_STORED_BODY_BYTES)
    state = CS_CLAIM_UNKNOWN;
  held->claim.state = state;
  held->claim.status = status;
  if (state == CS_CLAIM_DONE
      && (cs_buf_append (&held->claim.content_type, content_type) != 0
          || cs_buf_append (&held->claim.body, body) != 0))
    held->claim.state = CS_CLAIM_UNKNOWN;
  if (state == CS_CLAIM_UNKNOWN)
    cs_log (CS_EV_CLAIM_UNKNOWN, "claim=%s", held->name);
  json_t *spec = cs_claim_to_json (&held->claim);
  int rc = spec == NULL
               ? CS_ERR_NO_MEMORY
               : cs_platform_replace (claims->platform, CS_KIND_CLAIM,
                                      held->name, held->version, spec, NULL);
  json_decref (spec);
  if (rc == CS_ERR_PLATFORM_DOWN || rc == CS_ERR_RATE_LIMITED)
    add_pending (claims, held);
}

void
cs_held_claim_free (cs_held_claim_t *held)
{
  cs_claim_free (&held->claim);
}

/* Writes a pending result if the claim still belongs to its attempt.  Returns
   true if no further attempt is needed or its time is over.  */
static bool
write_pending (cs_claims_t *claims, const pending_t *pending)
{
  json_t *object = NULL;
  cs_claim_t found = { 0 };
  int rc = cs_platform_get (claims->platform, CS_KIND_CLAIM, pending->name,
                            &object);
  if (rc == 0)
    rc = cs_claim_from_json (cs_platform_spec (object), &found);
  if (rc == 0 && cs_name_equal (&found.attempt, &pending->attempt)
      && found.state == CS_CLAIM_RUNNING)
    rc = cs_platform_replace (claims->platform, CS_KIND_CLAIM, pending->name,
                              cs_platform_resource_version (object),
                              pending->spec, NULL);
  cs_claim_free (&found);
  json_decref (object);
  return (rc != CS_ERR_PLATFORM_DOWN && rc != CS_ERR_RATE_LIMITED
          && rc != CS_ERR_NOT_FOUND)
         || cs_clock_now () > pending->expires_at;
}

static void
flush_pending (cs_claims_t *claims)
{
  pthread_mutex_lock (&claims->lock);
  size_t count = claims->pending_count;
  pthread_mutex_unlock (&claims->lock);
  while (count-- > 0 && !atomic_load (&claims->stopping))
    {
      pthread_mutex_lock (&claims->lock);
      pending_t *pending = claims->pending;
      if (pending != NULL)
        {
          DL_DELETE (claims->pending, pending);
          claims->pending_count--;
        }
      pthread_mutex_unlock (&claims->lock);
      if (pending == NULL)
        return;
      bool done = write_pending (claims, pending);
      if (done)
        {
          json_decref (pending->spec);
          free (pending);
          continue;
        }
      pthread_mutex_lock (&claims->lock);
      DL_APPEND (claims->pending, pending);
      claims->pending_count++;
      pthread_mutex_unlock (&claims->lock);
    }
}

/* Deletes the expired claims of one page of the list.  */
static void
sweep_page (cs_claims_t *claims)
{
  json_t *list = NULL;
  size_t deleted = 0;
  uint64_t now = cs_clock_wall_ms ();
  if (cs_platform_list (claims->platform, CS_KIND_CLAIM, SWEEP_PAGE_SIZE,
                        claims->sweep_continue, &list)
      != 0)
    return;
  const json_t *items = json_object_get (list, "items");
  for (size_t i = 0;
       i < json_array_size (items) && deleted < MAX_SWEEP_DELETES; i++)
    {
      const json_t *object = json_array_get (items, i);
      const char *name = json_string_value (
          json_object_get (json_object_get (object, "metadata"), "name"));
      json_int_t expires = json_integer_value (
          json_object_get (cs_platform_spec (object), "expires"));
      if (name == NULL || expires <= 0 || (uint64_t)expires > now)
        continue;
      if (cs_platform_delete (claims->platform, CS_KIND_CLAIM, name,
                              cs_platform_resource_version (object))
          == 0)
        deleted++;
    }
  const char *next = json_string_value (
      json_object_get (json_object_get (list, "metadata"), "continue"));
  snprintf (claims->sweep_continue, sizeof claims->sweep_continue, "%s",
            next == NULL ? "" : next);
  if (deleted > 0)
    cs_log (CS_EV_CLAIM_SWEPT, "count=%zu", deleted);
  json_decref (list);
}

/* Whether this host is the one that deletes expired claims.  */
static bool
is_sweep_owner (cs_claims_t *claims)
{
  uint64_t key = cs_hash (cs_str ("claim-sweep"), 0);
  return cs_members_owner (claims->members, key, cs_clock_now ())
         == cs_members_self (claims->members)->id;
}

static void *
run_background (void *argument)
{
  cs_claims_t *claims = argument;
  uint32_t since_sweep_ms = 0;
  while (!atomic_load (&claims->stopping))
    {
      poll (NULL, 0, BACKGROUND_INTERVAL_MS);
      flush_pending (claims);
      since_sweep_ms += BACKGROUND_INTERVAL_MS;
      if (since_sweep_ms < SWEEP_INTERVAL_MS)
        continue;
      since_sweep_ms = 0;
      if (is_sweep_owner (claims))
        sweep_page (claims);
    }
  return NULL;
}

cs_claims_t *
cs_claims_create (const cs_settings_t *settings, cs_platform_t *platform,
                  cs_members_t *members, cs_counters_t *counters)
{
  cs_claims_t *claims = calloc (1, sizeof *claims);
  if (claims == NULL)
    return NULL;
  claims->settings = settings;
  claims->platform = platform;
  claims->members = members;
  claims->counters = counters;
  pthread_mutex_init (&claims->lock, NULL);
  if (platform == NULL)
    return claims;
  if (pthread_create (&claims->thread, NULL, run_background, claims) != 0)
    {
      cs_claims_destroy (claims);
      return NULL;
    }
  claims->thread_started = true;
  return claims;
}

void
cs_claims_destroy (cs_claims_t *claims)
{
  pending_t *pending, *next;
  if (claims == NULL)
    return;
  atomic_store (&claims->stopping, true);
  if (claims->thread_started)
    pthread_join (claims->thread, NULL);
  DL_FOREACH_SAFE (claims->pending, pending, next)
  {
    json_decref (pending->spec);
    free (pending);
  }
  pthread_mutex_destroy (&claims->lock);
  free (claims);
}
