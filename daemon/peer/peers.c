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

#define REDIAL_FIRST_MS 50
#define REDIAL_MOST_MS 1000
#define THREAD_STACK_BYTES (256 * 1024)
/* A pause looks this often whether the daemon stops.  */
#define STOP_LOOK_MS 200
#define CONTACTS_MAX 512
#define ACCEPTED_MAX 1024
#define HOSTS_IN_FRAME_MAX 64

/* An address that is not a seed is given up after this long without a link. */
#define FORGET_US (60 * CS_US_PER_S)

/* Hosts of another data centre that one host dials.  */
#define FAR_CONTACTS 2

/* Heartbeats between two frames that tell the known hosts.  */
#define HOSTS_EVERY 8

/* An address that is dialled by a thread of its own.  */
typedef struct contact
{
  cs_peers_t *peers;
  cs_name_t address;
  bool seed;
  pthread_t thread;
  cs_link_t *link; /* NULL while not connected */
  cs_time_us_t last_link;
  bool finished; /* the thread has ended and can be joined */
  struct contact *prev;
  struct contact *next;
} contact_t;

/* A link that the other end dialled, read by a thread of its own.  */
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
  cs_peers_effects_t effects;
  int listener;
  atomic_bool stopping;
  pthread_t accept_thread;
  pthread_t beat_thread;
  pthread_mutex_t lock; /* guards what follows; before members' and links' */
  pthread_cond_t changed;
  contact_t *contacts;
  size_t contact_count;
  accepted_t *accepted;
  size_t accepted_count;
};

static void
fill_heartbeat (cs_peers_t *peers, Cs__Peer__Heartbeat *heartbeat,
                cs_frame_t *frame)
{
  cs__peer__heartbeat__init (heartbeat);
  heartbeat->revision = peers->effects.revision (peers->effects.context);
  heartbeat->leaving = cs_members_is_leaving (peers->members);
  cs__peer__frame__init (frame);
  frame->body_case = CS__PEER__FRAME__BODY_HEARTBEAT;
  frame->heartbeat = heartbeat;
}

static void
hear_heartbeat (cs_peers_t *peers, cs_link_t *link,
                const Cs__Peer__Heartbeat *heartbeat)
{
  cs_host_t host = *cs_link_host (link);
  host.leaving = heartbeat->leaving;
  host.revision = heartbeat->revision;
  cs_members_heard (peers->members, &host, cs_clock_now ());
  if (heartbeat->revision > peers->effects.revision (peers->effects.context))
    peers->effects.newer_release (peers->effects.context, link,
                                  heartbeat->revision);
  /* The answer on the same link shows the dialling end that this very
     connection still works both ways.  */
  if (!cs_link_is_dialled (link))
    {
      Cs__Peer__Heartbeat answer;
      cs_frame_t frame;
      fill_heartbeat (peers, &answer, &frame);
      cs_link_send (link, &frame);
    }
}

/* Whether HOST is one that this host dials: every one of its own region, and
   the few of another data centre that rank first for this host.  */
static bool
is_wanted (cs_peers_t *peers, const Cs__Peer__Hosts *hosts,
           const Cs__Peer__Host *host)
{
  const cs_host_t *self = cs_members_self (peers->members);
  uint64_t own_score = cs_hash_pair (self->id, host->id);
  size_t better = 0;
  if (host->id == self->id)
    return false;
  if (cs_members_is_near (peers->members, cs_str (host->data_centre)))
    return true;
  for (size_t i = 0; i < hosts->n_hosts; i++)
    if (strcmp (hosts->hosts[i]->data_centre, host->data_centre) == 0
        && cs_hash_pair (self->id, hosts->hosts[i]->id) > own_score)
      better++;
  return better < FAR_CONTACTS;
}

static void
hear_hosts (cs_peers_t *peers, const Cs__Peer__Hosts *hosts)
{
  for (size_t i = 0; i < hosts->n_hosts; i++)
    if (is_wanted (peers, hosts, hosts->hosts[i]))
      cs_peers_learn (peers, hosts->hosts[i]->peer_address);
}

static void
handle_frame (cs_peers_t *peers, cs_link_t *link, const cs_frame_t *frame)
{
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_HEARTBEAT:
      hear_heartbeat (peers, link, frame->heartbeat);
      break;
    case CS__PEER__FRAME__BODY_HOSTS:
      hear_hosts (peers, frame->hosts);
      break;
    default:
      peers->effects.frame (peers->effects.context, link, frame);
    }
}

/* Reads LINK until it ends.  */
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
set_contact_link (contact_t *contact, cs_link_t *link)
{
  pthread_mutex_lock (&contact->peers->lock);
  contact->link = link;
  contact->last_link = cs_clock_now ();
  pthread_mutex_unlock (&contact->peers->lock);
}

static void
send_hosts (cs_peers_t *peers, cs_link_t *link)
{
  cs_host_t known[HOSTS_IN_FRAME_MAX];
  Cs__Peer__Host hosts[HOSTS_IN_FRAME_MAX];
  Cs__Peer__Host *pointers[HOSTS_IN_FRAME_MAX];
  Cs__Peer__Hosts list;
  cs_frame_t frame;
  cs_time_us_t now = cs_clock_now ();
  size_t count = cs_members_copy (peers->members, known, HOSTS_IN_FRAME_MAX);
  size_t told = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (known[i].leaving
          || !cs_members_is_live (peers->members, known[i].id, now))
        continue;
      Cs__Peer__Host *host = &hosts[told];
      cs__peer__host__init (host);
      host->id = known[i].id;
      host->name = known[i].name.text;
      host->data_centre = known[i].data_centre.text;
      host->peer_address = known[i].peer_address.text;
      host->caller_address = known[i].caller_address.text;
      pointers[told++] = host;
    }
  cs__peer__hosts__init (&list);
  list.hosts = pointers;
  list.n_hosts = told;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_HOSTS;
  frame.hosts = &list;
  cs_link_send (link, &frame);
}

/* Reads a dialled link until it ends, then reports its host lost.  */
static void
serve_dialled (contact_t *contact, cs_link_t *link)
{
  cs_peers_t *peers = contact->peers;
  Cs__Peer__Heartbeat heartbeat;
  cs_frame_t frame;
  cs_members_heard (peers->members, cs_link_host (link), cs_clock_now ());
  fill_heartbeat (peers, &heartbeat, &frame);
  cs_link_send (link, &frame);
  send_hosts (peers, link);
  set_contact_link (contact, link);
  cs_log (CS_EV_PEER_CONNECTED, "host=%s address=%s",
          cs_link_host (link)->name.text, contact->address.text);
  peers->effects.connected (peers->effects.context, link);
  read_link (peers, link);
  set_contact_link (contact, NULL);
  if (atomic_load (&peers->stopping))
    return;
  cs_log (CS_EV_PEER_LOST, "host=%s", cs_link_host (link)->name.text);
  cs_members_lost (peers->members, cs_link_host (link)->id);
  peers->effects.lost (peers->effects.context, cs_link_host (link)->id);
}

/* Dials once.  Returns whether a link was had.  */
static bool
dial_contact (contact_t *contact)
{
  cs_peers_t *peers = contact->peers;
  bool rejected;
  int fd = cs_socket_connect (contact->address.text);
  if (fd < 0)
    return false;
  cs_link_t *link = cs_link_dial (fd, cs_str (peers->settings->fleet_key),
                                  cs_members_self (peers->members),
                                  peers->counters, &rejected);
  if (rejected)
    log_rejected (peers, contact->address.text);
  if (link == NULL)
    return false;
  serve_dialled (contact, link);
  cs_link_unref (link);
  return true;
}

static bool
should_forget (const contact_t *contact)
{
  return !contact->seed && cs_clock_now () > contact->last_link + FORGET_US;
}

static void
sleep_unless_stopping (cs_peers_t *peers, uint32_t ms)
{
  while (ms > 0 && !atomic_load (&peers->stopping))
    {
      uint32_t part = ms < STOP_LOOK_MS ? ms : STOP_LOOK_MS;
      poll (NULL, 0, (int)part);
      ms -= part;
    }
}

static void *
run_contact (void *argument)
{
  contact_t *contact = argument;
  cs_peers_t *peers = contact->peers;
  uint32_t pause_ms = REDIAL_FIRST_MS;
  while (!atomic_load (&peers->stopping) && !should_forget (contact))
    {
      if (dial_contact (contact))
        pause_ms = REDIAL_FIRST_MS;
      else if (pause_ms < REDIAL_MOST_MS)
        pause_ms *= 2;
      sleep_unless_stopping (peers, pause_ms);
    }
  pthread_mutex_lock (&peers->lock);
  contact->finished = true;
  pthread_mutex_unlock (&peers->lock);
  return NULL;
}

static int
start_thread (pthread_t *thread, bool detached, void *(*run) (void *),
              void *argument)
{
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  if (detached)
    pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  int rc = pthread_create (thread, &attributes, run, argument);
  pthread_attr_destroy (&attributes);
  return rc;
}

static contact_t *
find_contact (cs_peers_t *peers, const char *address)
{
  contact_t *contact;
  DL_FOREACH (peers->contacts, contact)
  if (strcmp (contact->address.text, address) == 0)
    return contact;
  return NULL;
}

static void
add_contact (cs_peers_t *peers, const char *address, bool seed)
{
  if (strcmp (address, cs_members_self (peers->members)->peer_address.text)
          == 0
      || find_contact (peers, address) != NULL
      || peers->contact_count == CONTACTS_MAX)
    return;
  contact_t *contact = calloc (1, sizeof *contact);
  if (contact == NULL)
    return;
  contact->peers = peers;
  contact->seed = seed;
  contact->last_link = cs_clock_now ();
  cs_name_set (&contact->address, cs_str (address));
  if (start_thread (&contact->thread, false, run_contact, contact) != 0)
    {
      free (contact);
      return;
    }
  DL_APPEND (peers->contacts, contact);
  peers->contact_count++;
}

void
cs_peers_learn (cs_peers_t *peers, const char *address)
{
  pthread_mutex_lock (&peers->lock);
  if (!atomic_load (&peers->stopping))
    add_contact (peers, address, false);
  pthread_mutex_unlock (&peers->lock);
}

/* Joins contacts whose threads have ended.  */
static void
sweep_contacts (cs_peers_t *peers)
{
  contact_t *contact, *next;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH_SAFE (peers->contacts, contact, next)
  {
    if (!contact->finished)
      continue;
    DL_DELETE (peers->contacts, contact);
    peers->contact_count--;
    pthread_join (contact->thread, NULL);
    free (contact);
  }
  pthread_mutex_unlock (&peers->lock);
}

static void
end_accepted (accepted_t *accepted)
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
      /* Whoever dials us wants to be dialled as well.  */
      cs_peers_learn (peers, cs_link_host (link)->peer_address.text);
      cs_members_heard (peers->members, cs_link_host (link), cs_clock_now ());
      read_link (peers, link);
    }
  end_accepted (accepted);
  return NULL;
}

static void
take_connection (cs_peers_t *peers, int fd)
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
  bool started = peers->accepted_count < ACCEPTED_MAX
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
        take_connection (peers, fd);
    }
  return NULL;
}

/* References to the links of all contacts; release with cs_link_unref.  */
static size_t
copy_links (cs_peers_t *peers, cs_link_t **out, size_t size)
{
  size_t count = 0;
  const contact_t *contact;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH (peers->contacts, contact)
  if (contact->link != NULL && count < size)
    out[count++] = cs_link_ref (contact->link);
  pthread_mutex_unlock (&peers->lock);
  return count;
}

static void
send_heartbeats (cs_peers_t *peers, bool with_hosts)
{
  cs_link_t *links[CONTACTS_MAX];
  Cs__Peer__Heartbeat heartbeat;
  cs_frame_t frame;
  cs_time_us_t now = cs_clock_now ();
  size_t count = copy_links (peers, links, CONTACTS_MAX);
  fill_heartbeat (peers, &heartbeat, &frame);
  for (size_t i = 0; i < count; i++)
    {
      if (now > cs_link_heard (links[i]) + CS_LINK_TIMEOUT_US)
        cs_link_close (links[i]);
      else
        cs_link_send (links[i], &frame);
      if (with_hosts)
        send_hosts (peers, links[i]);
      cs_link_unref (links[i]);
    }
}

void
cs_peers_heartbeat (cs_peers_t *peers)
{
  send_heartbeats (peers, false);
}

static void *
run_beat (void *argument)
{
  cs_peers_t *peers = argument;
  uint32_t beats = 0;
  size_t told = 0;
  while (!atomic_load (&peers->stopping))
    {
      cs_host_t known[HOSTS_IN_FRAME_MAX];
      size_t count
          = cs_members_copy (peers->members, known, HOSTS_IN_FRAME_MAX);
      /* The list is told when it has changed in size, and now and then.  */
      bool tell = count != told || beats % (HOSTS_EVERY * 10) == 0;
      told = count;
      send_heartbeats (peers, tell && beats % HOSTS_EVERY == 0);
      cs_members_sweep (peers->members, FORGET_US, cs_clock_now ());
      sweep_contacts (peers);
      beats++;
      sleep_unless_stopping (peers, peers->settings->heartbeat_ms);
    }
  return NULL;
}

static void
add_seeds (cs_peers_t *peers)
{
  char seeds[CS_SETTING_TEXT_MAX];
  char *rest = NULL;
  snprintf (seeds, sizeof seeds, "%s", peers->settings->peer_seeds);
  pthread_mutex_lock (&peers->lock);
  for (char *one = strtok_r (seeds, " ", &rest); one != NULL;
       one = strtok_r (NULL, " ", &rest))
    add_contact (peers, one, true);
  pthread_mutex_unlock (&peers->lock);
}

cs_peers_t *
cs_peers_create (const cs_settings_t *settings, cs_members_t *members,
                 cs_counters_t *counters, int listener,
                 const cs_peers_effects_t *effects)
{
  cs_peers_t *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    return NULL;
  peers->settings = settings;
  peers->members = members;
  peers->counters = counters;
  peers->listener = listener;
  peers->effects = *effects;
  pthread_mutex_init (&peers->lock, NULL);
  pthread_cond_init (&peers->changed, NULL);
  if (start_thread (&peers->accept_thread, false, run_accept, peers) != 0)
    {
      free (peers);
      return NULL;
    }
  if (start_thread (&peers->beat_thread, false, run_beat, peers) != 0)
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
  const contact_t *contact;
  const accepted_t *accepted;
  DL_FOREACH (peers->contacts, contact)
  if (contact->link != NULL)
    cs_link_close (contact->link);
  DL_FOREACH (peers->accepted, accepted)
  if (accepted->link != NULL)
    cs_link_close (accepted->link);
}

static void
join_contacts (cs_peers_t *peers)
{
  contact_t *contact, *next;
  DL_FOREACH_SAFE (peers->contacts, contact, next)
  {
    pthread_join (contact->thread, NULL);
    free (contact);
  }
  peers->contacts = NULL;
}

void
cs_peers_destroy (cs_peers_t *peers)
{
  if (peers == NULL)
    return;
  atomic_store (&peers->stopping, true);
  pthread_join (peers->accept_thread, NULL);
  pthread_join (peers->beat_thread, NULL);
  pthread_mutex_lock (&peers->lock);
  close_links (peers);
  pthread_mutex_unlock (&peers->lock);
  join_contacts (peers);
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

/* A reference to a link to HOST: a dialled one, else one that the host dialled
   and that may be there before ours is.  */
static cs_link_t *
find_link (cs_peers_t *peers, uint64_t host)
{
  cs_link_t *found = NULL;
  const contact_t *contact;
  const accepted_t *accepted;
  pthread_mutex_lock (&peers->lock);
  DL_FOREACH (peers->accepted, accepted)
  if (accepted->link != NULL && cs_link_host (accepted->link)->id == host)
    found = accepted->link;
  DL_FOREACH (peers->contacts, contact)
  if (contact->link != NULL && cs_link_host (contact->link)->id == host)
    found = contact->link;
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
cs_peers_broadcast (cs_peers_t *peers, bool near, const cs_frame_t *frame)
{
  cs_link_t *links[CONTACTS_MAX];
  size_t count = copy_links (peers, links, CONTACTS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      cs_str_t data_centre
          = cs_name_str (&cs_link_host (links[i])->data_centre);
      if (cs_members_is_near (peers->members, data_centre) == near)
        cs_link_send (links[i], frame);
      cs_link_unref (links[i]);
    }
}
