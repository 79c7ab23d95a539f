#include "daemon/peers.h"
#include "daemon/socket.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "common/hash.h"
#include "common/log.h"

/* Backoff between dials: doubled after each failure while it is below
   REDIAL_DOUBLE_BELOW_MS.  */
#define MIN_REDIAL_MS 50
#define REDIAL_DOUBLE_BELOW_MS 1000

#define THREAD_STACK_BYTES (256 * 1024)

/* Longest sleep between two checks whether the daemon is stopping.  */
#define STOP_POLL_MS 200

#define MAX_DIALLERS 512
#define MAX_ACCEPTED 1024
#define MAX_HOSTS_IN_FRAME 64

/* Time without a link after which an address that is not a seed is removed. */
#define EXPIRY_US (60 * CS_US_PER_S)

/* Hosts that one host dials in each data centre of other regions.  */
#define MAX_DIALLED_PER_REMOTE_DATA_CENTRE 2

/* Least number of heartbeats from one list of known hosts to the next.  */
#define HEARTBEATS_PER_HOSTS_FRAME 8

/* An address and the thread that dials it and reads the link.  */
typedef struct dialler
{
  cs_peers_t *peers;
  cs_name_t address;
  bool seed;
  pthread_t thread;
  cs_link_t *link;        /* NULL while not connected */
  cs_time_us_t last_link; /* when LINK last changed, at first the start */
  bool finished;          /* the thread has ended and can be joined */
  struct dialler *prev;
  struct dialler *next;
} dialler_t;

/* A link that the peer dialled, with its own reader thread.  */
typedef struct accepted
{
  cs_peers_t *peers;
  int fd;
  cs_link_t *link;
  struct accepted *prev;
  struct accepted *next;
} accepted_t;

struct cs_peers
{
  const cs_settings_t *settings;
  cs_members_t *members;
  cs_counters_t *counters;
  cs_peers_callbacks_t callbacks;
  int listener;
  atomic_bool stopping;
  pthread_t accept_thread;
  pthread_t heartbeat_thread;
  pthread_mutex_t lock;   /* guards what follows; taken before those of
                             MEMBERS and the links */
  pthread_cond_t changed; /* an accepted link was removed */
  dialler_t *diallers;
  size_t dialler_count;
  accepted_t *accepted;
  size_t accepted_count;
};

static void
fill_heartbeat (cs_peers_t *peers, Cs__Peer__Heartbeat *heartbeat,
                cs_frame_t *frame)
{
  cs__peer__heartbeat__init (heartbeat);
  heartbeat->revision = peers->callbacks.revision (peers->callbacks.context);
  heartbeat->leaving = cs_members_is_leaving (peers->members);
  cs__peer__frame__init (frame);
  frame->body_case = CS__PEER__FRAME__BODY_HEARTBEAT;
  frame->heartbeat = heartbeat;
}

static void
handle_heartbeat (cs_peers_t *peers, cs_link_t *link,
                  const Cs__Peer__Heartbeat *heartbeat)
{
  cs_host_t host = *cs_link_host (link);
  host.leaving = heartbeat->leaving;
  host.revision = heartbeat->revision;
  cs_members_mark_seen (peers->members, &host, cs_clock_now ());
  if (heartbeat->revision
      > peers->callbacks.revision (peers->callbacks.context))
    peers->callbacks.newer_release (peers->callbacks.context, link,
                                    heartbeat->revision);
  /* The response on the same link shows the dialling end that this connection
     works in both directions.  */
  if (!cs_link_is_dialled (link))
    {
      Cs__Peer__Heartbeat response;
      cs_frame_t frame;
      fill_heartbeat (peers, &response, &frame);
      cs_link_send (link, &frame);
    }
}

/* Returns whether to dial HOST: this applies to all hosts of the local region,
   and to those that rank first for this host in each other data centre.  */
static bool
should_dial (cs_peers_t *peers, const Cs__Peer__Hosts *hosts,
             const Cs__Peer__Host *host)
{
  const cs_host_t *self = cs_members_self (peers->members);
  uint64_t host_score = cs_hash_pair (self->id, host->id);
  size_t better = 0;
  if (host->id == self->id)
    return false;
  if (cs_members_is_in_region (peers->members, cs_str (host->data_centre)))
    return true;
  for (size_t i = 0; i < hosts->n_hosts; i++)
    if (strcmp (hosts->hosts[i]->data_centre, host->data_centre) == 0
        && cs_hash_pair (self->id, hosts->hosts[i]->id) > host_score)
      better++;
  return better < MAX_DIALLED_PER_REMOTE_DATA_CENTRE;
}

static void
handle_hosts (cs_peers_t *peers, const Cs__Peer__Hosts *hosts)
{
  for (size_t i = 0; i < hosts->n_hosts; i++)
    if (should_dial (peers, hosts, hosts->hosts[i]))
      cs_peers_add_address (peers, hosts->hosts[i]->peer_address);
}

static void
handle_frame (cs_peers_t *peers, cs_link_t *link, const cs_frame_t *frame)
{
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_HEARTBEAT:
      handle_heartbeat (peers, link, frame->heartbeat);
      break;
    case CS__PEER__FRAME__BODY_HOSTS:
      handle_hosts (peers, frame->hosts);
      break;
    default:
      peers->callbacks.frame (peers->callbacks.context, link, frame);
    }
}

/* Handles the frames of LINK until it ends.  */
static void
read_link (cs_peers_t *peers, cs_link_t *link)
{
  cs_frame_t *frame;
  int rc;
  while ((rc = cs_link_read (link, &frame)) == 0)
    {
      handle_frame (peers, link, frame);
      cs_frame_free (frame);
    }
  if (rc == CS_ERR_BAD_FRAME)
    {
      cs_counters_add (peers->counters, CS_COUNTER_PEER_BAD_FRAMES, 1);
      cs_log (CS_EV_PEER_REJECTED, "host=%s reason=bad_frame",
              cs_link_host (link)->name.text);
    }
  cs_link_close (link);
}

static void
log_rejected (cs_peers_t *peers, const char *address)
{
  cs_counters_add (peers->counters, CS_COUNTER_PEER_BAD_FRAMES, 1);
  cs_log (CS_EV_PEER_REJECTED, "address=%s reason=handshake", address);
}

static void
set_dialler_link (dialler_t *dialler, cs_link_t *link)
{
  pthread_mutex_lock (&dialler->peers->lock);
  dialler->link = link;
  dialler->last_link = cs_clock_now ();
  pthread_mutex_unlock (&dialler->peers->lock);
}

static void
send_hosts (cs_peers_t *peers, cs_link_t *link)
{
  cs_host_t known[MAX_HOSTS_IN_FRAME];
  Cs__Peer__Host hosts[MAX_HOSTS_IN_FRAME];
  Cs__Peer__Host *pointers[MAX_HOSTS_IN_FRAME];
  Cs__Peer__Hosts list;
  cs_frame_t frame;
  cs_time_us_t now = cs_clock_now ();
  size_t count = cs_members_copy (peers->members, known, MAX_HOSTS_IN_FRAME);
  size_t sent_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (known[i].leaving
          || !cs_members_is_live (peers->members, known[i].id, now))
        continue;
      Cs__Peer__Host *host = &hosts[sent_count];
      cs__peer__host__init (host);
      host->id = known[i].id;
      host->name = known[i].name.text;
      host->data_centre = known[i].data_centre.text;
      host->peer_address = known[i].peer_address.text;
      host->caller_address = known[i].caller_address.text;
      pointers[sent_count++] = host;
    }
  cs__peer__hosts__init (&list);
  list.hosts = pointers;
  list.n_hosts = sent_count;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_HOSTS;
  frame.hosts = &list;
  cs_link_send (link, &frame);
}

/* Handles the frames of a dialled link until it ends, then reports its host as
   lost.  */
static void
serve_dialled (dialler_t *dialler, cs_link_t *link)
{
  cs_peers_t *peers = dialler->peers;
  Cs__Peer__Heartbeat heartbeat;
  cs_frame_t frame;
  cs_members_mark_seen (peers->members, cs_link_host (link), cs_clock_now ());
  fill_heartbeat (peers, &heartbeat, &frame);
  cs_link_send (link, &frame);
  send_hosts (peers, link);
  set_dialler_link (dialler, link);
  cs_log (CS_EV_PEER_CONNECTED, "host=%s address=%s",
          cs_link_host (link)->name.text, dialler->address.text);
  peers->callbacks.connected (peers->callbacks.context, link);
  read_link (peers, link);
  set_dialler_link (dialler, NULL);
  if (atomic_load (&peers->stopping))
    return;
  cs_log (CS_EV_PEER_LOST, "host=%s", cs_link_host (link)->name.text);
  cs_members_mark_lost (peers->members, cs_link_host (link)->id);
  peers->callbacks.lost (peers->callbacks.context, cs_link_host (link)->id);
}

/* Dials once and serves the link until it ends.  Returns false if no link was
   established.  */
static bool
dial_once (dialler_t *dialler)
{
  cs_peers_t *peers = dialler->peers;
  bool rejected;
  int fd = cs_socket_connect (dialler->address.text);
  if (fd < 0)
    return false;
  cs_link_t *link = cs_link_dial (fd, cs_str (peers->settings->fleet_key),
                                  cs_members_self (peers->members),
                                  peers->counters, &rejected);
  if (rejected)
    log_rejected (peers, dialler->address.text);
  if (link == NULL)
    return false;
  serve_dialled (dialler, link);
  cs_link_unref (link);
  return true;
}

static bool
is_expired (const dialler_t *dialler)
{
  return !dialler->seed && cs_clock_now () > dialler->last_link + EXPIRY_US;
}

static void
sleep_unless_stopping (cs_peers_t *peers, uint32_t ms)
{
  while (ms > 0 && !atomic_load (&peers->stopping))
    {
      uint32_t part = ms < STOP_POLL_MS ? ms : STOP_POLL_MS;
      poll (NULL, 0, (int)part);
      ms -= part;
    }
}

static void *
run_dialler (void *argument)
{
  dialler_t *dialler = argument;
  cs_peers_t *peers = dialler->peers;
  uint32_t pause_ms = MIN_REDIAL_MS;
  while (!atomic_load (&peers->stopping) && !is_expired (dialler))
    {
      if (dial_once (dialler))
        pause_ms = MIN_REDIAL_MS;
      else if (pause_ms < REDIAL_DOUBLE_BELOW_MS)
        pause_ms *= 2;
      sleep_unless_stopping (peers, pause_ms);
    }
  pthread_mutex_lock (&peers->lock);
  dialler->finished = true;
  pthread_mutex_unlock (&peers->lock);
  return NULL;
}

static int
start_thread (pthread_t *thread, bool detached,
              void *(*start_routine) (void *), void *argument)
{
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  if (detached)
    pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  int rc = pthread_create (thread, &attributes, start_routine, argument);
  pthread_attr_destroy (&attributes);
  return rc;
}

static dialler_t *
find_dialler (cs_peers_t *peers, const char *address)
{
  dialler_t *dialler;
  DL_FOREACH (peers->diallers, dialler)
  if (strcmp (dialler->address.text, address) == 0)
    return dialler;
  return NULL;
}

static void
add_dialler (cs_peers_t *peers, const char *address, bool seed)
{
  if (strcmp (address, cs_members_self (peers->members)->peer_address.text)
          == 0
      || find_dialler (peers, address) != NULL
      || peers->dialler_count == MAX_DIALLERS)
    return;
  dialler_t *dialler = calloc (1, sizeof *dialler);
  if (dialler == NULL)
    return;
  dialler->peers = peers;
  dialler->seed = seed;
  dialler->last_link = cs_clock_now ();
  cs_name_set (&dialler->address, cs_str (address));
  if (start_thread (&dialler->thread, false, run_dialler, dialler) != 0)
    {
      free (dialler);
      return;
    }
  DL_APPEND (peers->diallers, dialler);
  peers->dialler_count++;
}

void
cs_peers_add_address (cs_peers_t *peers, const char *address)
{
  pthread_mutex_lock (&peers->lock);
  if (!atomic_load (&peers->stopping))
    add_dialler (peers, address, false);
  pthread_mutex_unlock (&peers->lock);
}

static void
join_finished_diallers (cs_peers_t *peers)
{
  dialler_t *dialler, *next;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH_SAFE (peers->diallers, dialler, next)
  {
    if (!dialler->finished)
      continue;
    DL_DELETE (peers->diallers, dialler);
    peers->dialler_count--;
    pthread_join (dialler->thread, NULL);
    free (dialler);
  }
  pthread_mutex_unlock (&peers->lock);
}

static void
remove_accepted (accepted_t *accepted)
{
  cs_peers_t *peers = accepted->peers;
  pthread_mutex_lock (&peers->lock);
  DL_DELETE (peers->accepted, accepted);
  peers->accepted_count--;
  pthread_cond_broadcast (&peers->changed);
  pthread_mutex_unlock (&peers->lock);
  cs_link_unref (accepted->link);
  free (accepted);
}

static void *
run_accepted (void *argument)
{
  accepted_t *accepted = argument;
  cs_peers_t *peers = accepted->peers;
  bool rejected;
  cs_link_t *link = cs_link_accept (
      accepted->fd, cs_str (peers->settings->fleet_key),
      cs_members_self (peers->members), peers->counters, &rejected);
  if (rejected)
    log_rejected (peers, "accepted");
  pthread_mutex_lock (&peers->lock);
  accepted->link = link;
  bool stopping = atomic_load (&peers->stopping);
  pthread_mutex_unlock (&peers->lock);
  if (link != NULL && !stopping)
    {
      /* Each end dials the other, so dial the peer as well.  */
      cs_peers_add_address (peers, cs_link_host (link)->peer_address.text);
      cs_members_mark_seen (peers->members, cs_link_host (link),
                            cs_clock_now ());
      read_link (peers, link);
    }
  remove_accepted (accepted);
  return NULL;
}

static void
start_accepted (cs_peers_t *peers, int fd)
{
  pthread_t thread;
  accepted_t *accepted = calloc (1, sizeof *accepted);
  if (accepted == NULL)
    {
      close (fd);
      return;
    }
  accepted->peers = peers;
  accepted->fd = fd;
  pthread_mutex_lock (&peers->lock);
  bool started = peers->accepted_count < MAX_ACCEPTED
                 && !atomic_load (&peers->stopping)
                 && start_thread (&thread, true, run_accepted, accepted) == 0;
  if (started)
    {
      DL_APPEND (peers->accepted, accepted);
      peers->accepted_count++;
    }
  pthread_mutex_unlock (&peers->lock);
  if (started)
    return;
  close (fd);
  free (accepted);
}

static void *
run_accept (void *argument)
{
  cs_peers_t *peers = argument;
  while (!atomic_load (&peers->stopping))
    {
      struct pollfd wait = { peers->listener, POLLIN, 0 };
      if (poll (&wait, 1, 100) <= 0)
        continue;
      int fd = accept4 (peers->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0)
        start_accepted (peers, fd);
    }
  return NULL;
}

/* Writes new references to at most SIZE dialled links and returns their
   number.  */
static size_t
copy_links (cs_peers_t *peers, cs_link_t **out, size_t size)
{
  size_t count = 0;
  const dialler_t *dialler;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH (peers->diallers, dialler)
  if (dialler->link != NULL && count < size)
    out[count++] = cs_link_ref (dialler->link);
  pthread_mutex_unlock (&peers->lock);
  return count;
}

static void
send_heartbeats (cs_peers_t *peers, bool with_hosts)
{
  cs_link_t *links[MAX_DIALLERS];
  Cs__Peer__Heartbeat heartbeat;
  cs_frame_t frame;
  cs_time_us_t now = cs_clock_now ();
  size_t count = copy_links (peers, links, MAX_DIALLERS);
  fill_heartbeat (peers, &heartbeat, &frame);
  for (size_t i = 0; i < count; i++)
    {
      if (now > cs_link_last_received (links[i]) + CS_LINK_TIMEOUT_US)
        cs_link_close (links[i]);
      else
        cs_link_send (links[i], &frame);
      if (with_hosts)
        send_hosts (peers, links[i]);
      cs_link_unref (links[i]);
    }
}

void
cs_peers_send_heartbeats (cs_peers_t *peers)
{
  send_heartbeats (peers, false);
}

static void *
run_heartbeats (void *argument)
{
  cs_peers_t *peers = argument;
  uint32_t heartbeat_count = 0;
  size_t last_count = 0;
  while (!atomic_load (&peers->stopping))
    {
      cs_host_t known[MAX_HOSTS_IN_FRAME];
      size_t count
          = cs_members_copy (peers->members, known, MAX_HOSTS_IN_FRAME);
      /* The list of hosts is due if their number has changed since the
         previous heartbeat, and periodically.  */
      bool send_list
          = count != last_count
            || heartbeat_count % (HEARTBEATS_PER_HOSTS_FRAME * 10) == 0;
      last_count = count;
      send_heartbeats (
          peers,
          send_list && heartbeat_count % HEARTBEATS_PER_HOSTS_FRAME == 0);
      cs_members_remove_stale (peers->members, EXPIRY_US, cs_clock_now ());
      join_finished_diallers (peers);
      heartbeat_count++;
      sleep_unless_stopping (peers, peers->settings->heartbeat_ms);
    }
  return NULL;
}

static void
add_seeds (cs_peers_t *peers)
{
  char seeds[CS_SETTING_TEXT_MAX];
  char *state = NULL;
  snprintf (seeds, sizeof seeds, "%s", peers->settings->peer_seeds);
  pthread_mutex_lock (&peers->lock);
  for (char *token = strtok_r (seeds, " ", &state); token != NULL;
       token = strtok_r (NULL, " ", &state))
    add_dialler (peers, token, true);
  pthread_mutex_unlock (&peers->lock);
}

cs_peers_t *
cs_peers_create (const cs_settings_t *settings, cs_members_t *members,
                 cs_counters_t *counters, int listener,
                 const cs_peers_callbacks_t *callbacks)
{
  cs_peers_t *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    return NULL;
  peers->settings = settings;
  peers->members = members;
  peers->counters = counters;
  peers->listener = listener;
  peers->callbacks = *callbacks;
  pthread_mutex_init (&peers->lock, NULL);
  pthread_cond_init (&peers->changed, NULL);
  if (start_thread (&peers->accept_thread, false, run_accept, peers) != 0)
    {
      free (peers);
      return NULL;
    }
  if (start_thread (&peers->heartbeat_thread, false, run_heartbeats, peers)
      != 0)
    {
      atomic_store (&peers->stopping, true);
      pthread_join (peers->accept_thread, NULL);
      free (peers);
      return NULL;
    }
  add_seeds (peers);
  return peers;
}

static void
close_links (cs_peers_t *peers)
{
  const dialler_t *dialler;
  const accepted_t *accepted;
  DL_FOREACH (peers->diallers, dialler)
  if (dialler->link != NULL)
    cs_link_close (dialler->link);
  DL_FOREACH (peers->accepted, accepted)
  if (accepted->link != NULL)
    cs_link_close (accepted->link);
}

static void
join_diallers (cs_peers_t *peers)
{
  dialler_t *dialler, *next;
  DL_FOREACH_SAFE (peers->diallers, dialler, next)
  {
    pthread_join (dialler->thread, NULL);
    free (dialler);
  }
  peers->diallers = NULL;
}

void
cs_peers_destroy (cs_peers_t *peers)
{
  if (peers == NULL)
    return;
  atomic_store (&peers->stopping, true);
  pthread_join (peers->accept_thread, NULL);
  pthread_join (peers->heartbeat_thread, NULL);
  pthread_mutex_lock (&peers->lock);
  close_links (peers);
  pthread_mutex_unlock (&peers->lock);
  join_diallers (peers);
  pthread_mutex_lock (&peers->lock);
  while (peers->accepted_count > 0)
    {
      close_links (peers);
      pthread_cond_wait (&peers->changed, &peers->lock);
    }
  pthread_mutex_unlock (&peers->lock);
  close (peers->listener);
  pthread_cond_destroy (&peers->changed);
  pthread_mutex_destroy (&peers->lock);
  free (peers);
}

/* Returns a new reference to a link to HOST, or NULL.  An accepted link is
   used if there is no dialled one, which may be established later.  */
static cs_link_t *
find_link (cs_peers_t *peers, uint64_t host)
{
  cs_link_t *found = NULL;
  const dialler_t *dialler;
  const accepted_t *accepted;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH (peers->accepted, accepted)
  if (accepted->link != NULL && cs_link_host (accepted->link)->id == host)
    found = accepted->link;
  DL_FOREACH (peers->diallers, dialler)
  if (dialler->link != NULL && cs_link_host (dialler->link)->id == host)
    found = dialler->link;
  if (found != NULL)
    cs_link_ref (found);
  pthread_mutex_unlock (&peers->lock);
  return found;
}

int
cs_peers_send (cs_peers_t *peers, uint64_t host, const cs_frame_t *frame)
{
  cs_link_t *link = find_link (peers, host);
  if (link == NULL)
    return CS_ERR_CUT;
  int rc = cs_link_send (link, frame);
  cs_link_unref (link);
  return rc;
}

void
cs_peers_broadcast (cs_peers_t *peers, bool in_region, const cs_frame_t *frame)
{
  cs_link_t *links[MAX_DIALLERS];
  size_t count = copy_links (peers, links, MAX_DIALLERS);
  for (size_t i = 0; i < count; i++)
    {
      cs_str_t data_centre
          = cs_name_str (&cs_link_host (links[i])->data_centre);
      if (cs_members_is_in_region (peers->members, data_centre) == in_region)
        cs_link_send (links[i], frame);
      cs_link_unref (links[i]);
    }
}
