#include "daemon/poller.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>

#include "common/hash.h"
#include "common/log.h"
#include "daemon/target_call.h"

/* Number of polling threads.  A target that hangs occupies one of them for the
   timeout of a poll.  */
#define POLL_THREADS 4

/* Deadline of one poll.  */
#define POLL_TIMEOUT_MS 1000

/* Pause of a polling thread if no target is due.  */
#define IDLE_PAUSE_MS 100

/* Number of consecutive failed polls after which a target is reported as
   unreachable.  */
#define UNREACHABLE_FAILURES 2

typedef struct
{
  uint64_t id;
  cs_time_us_t next; /* time of the next poll */
  bool polling;
  uint32_t failures;
  uint32_t reported_running; /* load last broadcast to peers, if reported */
  bool reported;
  UT_hash_handle hh;
} poll_state_t;

struct cs_poller
{
  const cs_settings_t *settings;
  cs_members_t *members;
  cs_endpoints_t *endpoints;
  cs_placement_t *placement;
  cs_peers_t *peers;
  cs_counters_t *counters;
  atomic_bool stopping;
  pthread_t threads[POLL_THREADS];
  size_t thread_count;
  pthread_mutex_t lock; /* guards states; taken before the lock of members */
  poll_state_t *states;
};

static void
broadcast_report (cs_poller_t *poller, const Cs__Peer__TargetWord *report)
{
  cs_frame_t frame;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_TARGET_WORD;
  frame.target_word = (Cs__Peer__TargetWord *)report;
  cs_peers_broadcast (poller->peers, true, &frame);
}

/* Applies a report on the lifecycle of a target.  Returns whether it changed
   the state of the target.  */
static bool
apply_report (cs_poller_t *poller, cs_endpoint_t *endpoint, cs_str_t instance,
              bool leaving)
{
  switch (cs_endpoint_update_view (endpoint, instance, leaving))
    {
    case CS_VIEW_LEAVING:
      cs_log (CS_EV_TARGET_LEAVING, "target=%s",
              cs_endpoint_target (endpoint)->name.text);
      cs_placement_refresh (poller->placement);
      return true;
    case CS_VIEW_STARTED:
      cs_log (CS_EV_TARGET_STARTED, "target=%s instance=%.*s",
              cs_endpoint_target (endpoint)->name.text, CS_STR_ARG (instance));
      cs_endpoint_drop_connections (endpoint);
      cs_placement_target_started (poller->placement,
                                   cs_endpoint_id (endpoint));
      return true;
    case CS_VIEW_UNCHANGED:
      break;
    }
  return false;
}

void
cs_poller_report_instance (cs_poller_t *poller, cs_endpoint_t *endpoint,
                           cs_str_t instance, bool leaving)
{
  Cs__Peer__TargetWord report;
  cs_name_t name;
  if (!apply_report (poller, endpoint, instance, leaving))
    return;
  cs_name_set (&name, instance);
  cs__peer__target_word__init (&report);
  report.target = cs_endpoint_id (endpoint);
  report.instance = name.text;
  report.leaving = leaving;
  broadcast_report (poller, &report);
}

void
cs_poller_apply_peer_report (cs_poller_t *poller,
                             const Cs__Peer__TargetWord *report)
{
  cs_endpoint_t *endpoint
      = cs_endpoints_find (poller->endpoints, report->target);
  if (endpoint == NULL)
    return;
  if (report->instance[0] != '\0' || report->leaving)
    apply_report (poller, endpoint, cs_str (report->instance),
                  report->leaving);
  if (report->failed)
    cs_placement_poll_failed (poller->placement, report->target);
  if (report->has_load)
    {
      cs_time_us_t now = cs_clock_now ();
      cs_time_us_t age = report->age_ms * CS_US_PER_MS;
      cs_target_load_t load
          = { .running = report->running, .taken = age < now ? now - age : 0 };
      cs_placement_poll_succeeded (poller->placement, report->target);
      cs_endpoint_set_load (endpoint, &load);
      cs_placement_apply_load_report (poller->placement, report->target,
                                      load.running, load.taken);
    }
  cs_endpoint_unref (endpoint);
}

static int
check_load_status (void *context, const cs_call_head_t *head)
{
  return head->status == 200 ? 0 : CS_ERR_WRONG_ANSWER;
}

static int
append_load_body (void *context, cs_str_t part)
{
  cs_buf_t *body = context;
  if (body->len + part.len > 65536)
    return CS_ERR_WRONG_ANSWER;
  return cs_buf_append (body, part);
}

static int
fetch_load (cs_poller_t *poller, cs_endpoint_t *endpoint, cs_buf_t *body)
{
  cs_call_sink_t sink = { body, check_load_status, append_load_body, NULL };
  cs_call_request_t request = {
    .method = "GET",
    .path = "/load",
    .request_id = cs_str ("poll"),
    .repeatable = true,
    .deadline = cs_clock_now () + POLL_TIMEOUT_MS * CS_US_PER_MS,
  };
  cs_counters_add (poller->counters, CS_COUNTER_POLLS, 1);
  int rc = cs_target_call (endpoint, poller->settings, &request, &sink);
  cs_counters_add (poller->counters, CS_COUNTER_POLL_BYTES, body->len);
  return rc;
}

/* Sends peers the load if it has changed since the last broadcast, or after
   the target was reported as unreachable.  */
static void
broadcast_load (cs_poller_t *poller, cs_endpoint_t *endpoint,
                const cs_target_load_t *load)
{
  Cs__Peer__TargetWord report;
  poll_state_t *state = NULL;
  uint64_t id = cs_endpoint_id (endpoint);
  bool changed = false;
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->states, &id, sizeof id, state);
  if (state != NULL)
    {
      changed = !state->reported || state->reported_running != load->running
                || state->failures >= UNREACHABLE_FAILURES;
      state->reported = true;
      state->reported_running = load->running;
      state->failures = 0;
    }
  pthread_mutex_unlock (&poller->lock);
  if (!changed)
    return;
  cs__peer__target_word__init (&report);
  report.target = id;
  report.has_load = true;
  report.running = load->running;
  broadcast_report (poller, &report);
}

static void
handle_load_response (cs_poller_t *poller, cs_endpoint_t *endpoint,
                      const cs_buf_t *body, cs_time_us_t taken)
{
  cs_target_load_t load;
  json_t *root = json_loadb (body->data, body->len, 0, NULL);
  const char *instance
      = json_string_value (json_object_get (root, "instance"));
  const char *state = json_string_value (json_object_get (root, "state"));
  if (instance != NULL && state != NULL)
    cs_poller_report_instance (poller, endpoint, cs_str (instance),
                               strcmp (state, "leaving") == 0);
  if (cs_target_load_parse (cs_buf_str (body), taken, &load))
    {
      cs_endpoint_set_load (endpoint, &load);
      cs_placement_apply_load_report (
          poller->placement, cs_endpoint_id (endpoint), load.running, taken);
      broadcast_load (poller, endpoint, &load);
    }
  cs_placement_poll_succeeded (poller->placement, cs_endpoint_id (endpoint));
  json_decref (root);
}

static void
record_failure (cs_poller_t *poller, cs_endpoint_t *endpoint)
{
  Cs__Peer__TargetWord report;
  poll_state_t *state = NULL;
  uint64_t id = cs_endpoint_id (endpoint);
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->states, &id, sizeof id, state);
  bool unreachable
      = state != NULL && ++state->failures >= UNREACHABLE_FAILURES;
  pthread_mutex_unlock (&poller->lock);
  if (!unreachable)
    return;
  cs_placement_poll_failed (poller->placement, id);
  cs__peer__target_word__init (&report);
  report.target = id;
  report.failed = true;
  broadcast_report (poller, &report);
}

static void
poll_target (cs_poller_t *poller, cs_endpoint_t *endpoint)
{
  cs_buf_t body = { 0 };
  cs_time_us_t taken = cs_clock_now ();
  int rc = fetch_load (poller, endpoint, &body);
  if (rc == 0 && body.len > 0)
    handle_load_response (poller, endpoint, &body, taken);
  else if (rc == CS_ERR_WRONG_ANSWER)
    /* The target is reachable, but does not provide a load report.  */
    cs_placement_poll_succeeded (poller->placement, cs_endpoint_id (endpoint));
  else
    record_failure (poller, endpoint);
  cs_buf_free (&body);
}

static poll_state_t *
find_or_create_state (cs_poller_t *poller, uint64_t id)
{
  poll_state_t *state = NULL;
  HASH_FIND (hh, poller->states, &id, sizeof id, state);
  if (state != NULL)
    return state;
  state = calloc (1, sizeof *state);
  if (state == NULL)
    return NULL;
  state->id = id;
  HASH_ADD (hh, poller->states, id, sizeof state->id, state);
  return state;
}

/* Returns a reference to a target that is due and assigned to this host, and
   marks it as being polled.  NULL if there is none.  */
static cs_endpoint_t *
take_due_target (cs_poller_t *poller, cs_time_us_t now)
{
  cs_endpoint_t **list;
  cs_endpoint_t *due = NULL;
  cs_str_t all = { NULL, 0 };
  uint64_t self = cs_members_self (poller->members)->id;
  size_t count = cs_endpoints_list (poller->endpoints, all, &list);
  pthread_mutex_lock (&poller->lock);
  for (size_t i = 0; i < count && due == NULL; i++)
    {
      uint64_t id = cs_endpoint_id (list[i]);
      poll_state_t *state = find_or_create_state (poller, id);
      if (state == NULL || state->polling || now < state->next)
        continue;
      state->next = now + poller->settings->poll_ms * CS_US_PER_MS;
      if (cs_members_owner (poller->members, id, now) != self)
        continue;
      state->polling = true;
      due = cs_endpoint_ref (list[i]);
    }
  pthread_mutex_unlock (&poller->lock);
  cs_endpoints_free_list (list, count);
  return due;
}

static void
finish_poll (cs_poller_t *poller, uint64_t id)
{
  poll_state_t *state = NULL;
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->states, &id, sizeof id, state);
  if (state != NULL)
    state->polling = false;
  pthread_mutex_unlock (&poller->lock);
}

static void *
run_polls (void *argument)
{
  cs_poller_t *poller = argument;
  while (!atomic_load (&poller->stopping))
    {
      cs_endpoint_t *endpoint = take_due_target (poller, cs_clock_now ());
      if (endpoint == NULL)
        {
          poll (NULL, 0, IDLE_PAUSE_MS);
          continue;
        }
      poll_target (poller, endpoint);
      finish_poll (poller, cs_endpoint_id (endpoint));
      cs_endpoint_unref (endpoint);
    }
  return NULL;
}

cs_poller_t *
cs_poller_create (const cs_settings_t *settings, cs_members_t *members,
                  cs_endpoints_t *endpoints, cs_placement_t *placement,
                  cs_peers_t *peers, cs_counters_t *counters)
{
  cs_poller_t *poller = calloc (1, sizeof *poller);
  if (poller == NULL)
    return NULL;
  poller->settings = settings;
  poller->members = members;
  poller->endpoints = endpoints;
  poller->placement = placement;
  poller->peers = peers;
  poller->counters = counters;
  pthread_mutex_init (&poller->lock, NULL);
  for (size_t i = 0; i < POLL_THREADS; i++)
    {
      if (pthread_create (&poller->threads[i], NULL, run_polls, poller) != 0)
        break;
      poller->thread_count++;
    }
  return poller;
}

void
cs_poller_destroy (cs_poller_t *poller)
{
  poll_state_t *state, *next;
  if (poller == NULL)
    return;
  atomic_store (&poller->stopping, true);
  for (size_t i = 0; i < poller->thread_count; i++)
    pthread_join (poller->threads[i], NULL);
  HASH_ITER (hh, poller->states, state, next)
  {
    HASH_DEL (poller->states, state);
    free (state);
  }
  pthread_mutex_destroy (&poller->lock);
  free (poller);
}
