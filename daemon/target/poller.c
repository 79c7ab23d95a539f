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

/* Threads that poll; a target that hangs holds one up for a poll's timeout. */
#define POLL_THREADS 4

/* A poll is given up after this time, or the poll interval if longer.  */
#define POLL_TIMEOUT_MS 1000

/* Pause of a polling thread that finds no target due.  */
#define IDLE_MS 100

/* Polls that fail in a row until a target counts as unreachable.  */
#define FAILURES_TO_TELL 2

typedef struct
{
  uint64_t id;
  cs_time_us_t next;
  bool polling;
  uint32_t failures;
  uint32_t told_running; /* what peers were told last */
  bool told;
  UT_hash_handle hh;
} polled_t;

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
  pthread_mutex_t lock; /* guards polled; before members' */
  polled_t *polled;
};

static void
tell_peers (cs_poller_t *poller, const Cs__Peer__TargetWord *word)
{
  cs_frame_t frame;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_TARGET_WORD;
  frame.target_word = (Cs__Peer__TargetWord *)word;
  cs_peers_broadcast (poller->peers, true, &frame);
}

/* Takes the word of a source.  Returns whether it was news.  */
static bool
take_word (cs_poller_t *poller, cs_endpoint_t *endpoint, cs_str_t instance,
           bool leaving)
{
  switch (cs_endpoint_hear (endpoint, instance, leaving))
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
cs_poller_word (cs_poller_t *poller, cs_endpoint_t *endpoint,
                cs_str_t instance, bool leaving)
{
  Cs__Peer__TargetWord word;
  cs_name_t name;
  if (!take_word (poller, endpoint, instance, leaving))
    return;
  cs_name_set (&name, instance);
  cs__peer__target_word__init (&word);
  word.target = cs_endpoint_id (endpoint);
  word.instance = name.text;
  word.leaving = leaving;
  tell_peers (poller, &word);
}

void
cs_poller_hear (cs_poller_t *poller, const Cs__Peer__TargetWord *word)
{
  cs_endpoint_t *endpoint
      = cs_endpoints_find (poller->endpoints, word->target);
  if (endpoint == NULL)
    return;
  if (word->instance[0] != '\0' || word->leaving)
    take_word (poller, endpoint, cs_str (word->instance), word->leaving);
  if (word->failed)
    cs_placement_poll_failed (poller->placement, word->target);
  if (word->has_load)
    {
      cs_time_us_t now = cs_clock_now ();
      cs_time_us_t age = word->age_ms * CS_US_PER_MS;
      cs_target_load_t load
          = { .running = word->running, .taken = age < now ? now - age : 0 };
      cs_placement_poll_succeeded (poller->placement, word->target);
      cs_endpoint_set_load (endpoint, &load);
      cs_placement_apply_load_report (poller->placement, word->target,
                                      load.running, load.taken);
    }
  cs_endpoint_unref (endpoint);
}

static int
take_head (void *context, const cs_call_head_t *head)
{
  return head->status == 200 ? 0 : CS_ERR_WRONG_ANSWER;
}

static int
take_data (void *context, cs_str_t part)
{
  cs_buf_t *answer = context;
  if (answer->len + part.len > 65536)
    return CS_ERR_WRONG_ANSWER;
  return cs_buf_append (answer, part);
}

static int
call_load_page (cs_poller_t *poller, cs_endpoint_t *endpoint, cs_buf_t *answer)
{
  cs_call_sink_t sink = { answer, take_head, take_data, NULL };
  cs_call_request_t request = {
    .method = "GET",
    .path = "/load",
    .request_id = cs_str ("poll"),
    .repeatable = true,
    .deadline = cs_clock_now () + POLL_TIMEOUT_MS * CS_US_PER_MS,
  };
  cs_counters_add (poller->counters, CS_COUNTER_POLLS, 1);
  int rc = cs_target_call (endpoint, poller->settings, &request, &sink);
  cs_counters_add (poller->counters, CS_COUNTER_POLL_BYTES, answer->len);
  return rc;
}

/* Tells peers the load if it has changed since they were told.  */
static void
tell_load (cs_poller_t *poller, cs_endpoint_t *endpoint,
           const cs_target_load_t *load)
{
  Cs__Peer__TargetWord word;
  polled_t *polled = NULL;
  uint64_t id = cs_endpoint_id (endpoint);
  bool news = false;
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->polled, &id, sizeof id, polled);
  if (polled != NULL)
    {
      news = !polled->told || polled->told_running != load->running
             || polled->failures >= FAILURES_TO_TELL;
      polled->told = true;
      polled->told_running = load->running;
      polled->failures = 0;
    }
  pthread_mutex_unlock (&poller->lock);
  if (!news)
    return;
  cs__peer__target_word__init (&word);
  word.target = id;
  word.has_load = true;
  word.running = load->running;
  tell_peers (poller, &word);
}

static void
handle_answer (cs_poller_t *poller, cs_endpoint_t *endpoint,
               const cs_buf_t *answer, cs_time_us_t taken)
{
  cs_target_load_t load;
  json_t *root = json_loadb (answer->data, answer->len, 0, NULL);
  const char *instance
      = json_string_value (json_object_get (root, "instance"));
  const char *state = json_string_value (json_object_get (root, "state"));
  if (instance != NULL && state != NULL)
    cs_poller_word (poller, endpoint, cs_str (instance),
                    strcmp (state, "leaving") == 0);
  if (cs_target_load_parse (cs_buf_str (answer), taken, &load))
    {
      cs_endpoint_set_load (endpoint, &load);
      cs_placement_apply_load_report (
          poller->placement, cs_endpoint_id (endpoint), load.running, taken);
      tell_load (poller, endpoint, &load);
    }
  cs_placement_poll_succeeded (poller->placement, cs_endpoint_id (endpoint));
  json_decref (root);
}

static void
count_failure (cs_poller_t *poller, cs_endpoint_t *endpoint)
{
  Cs__Peer__TargetWord word;
  polled_t *polled = NULL;
  uint64_t id = cs_endpoint_id (endpoint);
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->polled, &id, sizeof id, polled);
  bool tell = polled != NULL && ++polled->failures >= FAILURES_TO_TELL;
  pthread_mutex_unlock (&poller->lock);
  if (!tell)
    return;
  cs_placement_poll_failed (poller->placement, id);
  cs__peer__target_word__init (&word);
  word.target = id;
  word.failed = true;
  tell_peers (poller, &word);
}

static void
poll_target (cs_poller_t *poller, cs_endpoint_t *endpoint)
{
  cs_buf_t answer = { 0 };
  cs_time_us_t taken = cs_clock_now ();
  int rc = call_load_page (poller, endpoint, &answer);
  if (rc == 0 && answer.len > 0)
    handle_answer (poller, endpoint, &answer, taken);
  else if (rc == CS_ERR_WRONG_ANSWER)
    /* It answers, though it has no load page.  */
    cs_placement_poll_succeeded (poller->placement, cs_endpoint_id (endpoint));
  else
    count_failure (poller, endpoint);
  cs_buf_free (&answer);
}

static polled_t *
polled_of (cs_poller_t *poller, uint64_t id)
{
  polled_t *polled = NULL;
  HASH_FIND (hh, poller->polled, &id, sizeof id, polled);
  if (polled != NULL)
    return polled;
  polled = calloc (1, sizeof *polled);
  if (polled == NULL)
    return NULL;
  polled->id = id;
  HASH_ADD (hh, poller->polled, id, sizeof polled->id, polled);
  return polled;
}

/* Claims a target that is due and that this host polls.  */
static cs_endpoint_t *
take_due (cs_poller_t *poller, cs_time_us_t now)
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
      polled_t *polled = polled_of (poller, id);
      if (polled == NULL || polled->polling || now < polled->next)
        continue;
      polled->next = now + poller->settings->poll_ms * CS_US_PER_MS;
      if (cs_members_owner (poller->members, id, now) != self)
        continue;
      polled->polling = true;
      due = cs_endpoint_ref (list[i]);
    }
  pthread_mutex_unlock (&poller->lock);
  cs_endpoints_free_list (list, count);
  return due;
}

static void
end_polling (cs_poller_t *poller, uint64_t id)
{
  polled_t *polled = NULL;
  pthread_mutex_lock (&poller->lock);
  HASH_FIND (hh, poller->polled, &id, sizeof id, polled);
  if (polled != NULL)
    polled->polling = false;
  pthread_mutex_unlock (&poller->lock);
}

static void *
run_polls (void *argument)
{
  cs_poller_t *poller = argument;
  while (!atomic_load (&poller->stopping))
    {
      cs_endpoint_t *endpoint = take_due (poller, cs_clock_now ());
      if (endpoint == NULL)
        {
          poll (NULL, 0, IDLE_MS);
          continue;
        }
      poll_target (poller, endpoint);
      end_polling (poller, cs_endpoint_id (endpoint));
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
  polled_t *polled, *next;
  if (poller == NULL)
    return;
  atomic_store (&poller->stopping, true);
  for (size_t i = 0; i < poller->thread_count; i++)
    pthread_join (poller->threads[i], NULL);
  HASH_ITER (hh, poller->polled, polled, next)
  {
    HASH_DEL (poller->polled, polled);
    free (polled);
  }
  pthread_mutex_destroy (&poller->lock);
  free (poller);
}
