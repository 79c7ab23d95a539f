#include "daemon/members.h"

#include <pthread.h>
#include <stdlib.h>

struct cs_members
{
  pthread_mutex_t lock; /* guards hosts; a leaf lock */
  cs_hosts_t *hosts;
  cs_host_t self;
};

cs_members_t *
cs_members_create (const cs_host_t *self)
{
  cs_members_t *members = calloc (1, sizeof *members);
  if (members == NULL)
    return NULL;
  members->self = *self;
  members->hosts = cs_hosts_create (self);
  if (members->hosts == NULL)
    {
      free (members);
      return NULL;
    }
  pthread_mutex_init (&members->lock, NULL);
  return members;
}

void
cs_members_destroy (cs_members_t *members)
{
  if (members == NULL)
    return;
  cs_hosts_destroy (members->hosts);
  pthread_mutex_destroy (&members->lock);
  free (members);
}

const cs_host_t *
cs_members_self (const cs_members_t *members)
{
  return &members->self;
}

void
cs_members_set_region (cs_members_t *members, const cs_name_t *data_centres,
                       size_t count)
{
  pthread_mutex_lock (&members->lock);
  /* If memory is exhausted, the region is kept until the next release.  */
  (void)cs_hosts_set_region (members->hosts, data_centres, count);
  pthread_mutex_unlock (&members->lock);
}

bool
cs_members_is_in_region (cs_members_t *members, cs_str_t data_centre)
{
  cs_name_t name;
  cs_name_set (&name, data_centre);
  pthread_mutex_lock (&members->lock);
  bool in_region = cs_hosts_is_in_region (members->hosts, &name);
  pthread_mutex_unlock (&members->lock);
  return in_region;
}

void
cs_members_mark_seen (cs_members_t *members, const cs_host_t *host,
                      cs_time_us_t now)
{
  pthread_mutex_lock (&members->lock);
  /* If the table is full, a later heartbeat may add the host.  */
  (void)cs_hosts_mark_seen (members->hosts, host, now);
  pthread_mutex_unlock (&members->lock);
}

void
cs_members_mark_lost (cs_members_t *members, uint64_t id)
{
  pthread_mutex_lock (&members->lock);
  cs_hosts_mark_lost (members->hosts, id);
  pthread_mutex_unlock (&members->lock);
}

void
cs_members_set_leaving (cs_members_t *members)
{
  pthread_mutex_lock (&members->lock);
  cs_hosts_set_self_leaving (members->hosts);
  pthread_mutex_unlock (&members->lock);
}

void
cs_members_set_revision (cs_members_t *members, uint64_t revision)
{
  pthread_mutex_lock (&members->lock);
  cs_hosts_set_self_revision (members->hosts, revision);
  pthread_mutex_unlock (&members->lock);
}

bool
cs_members_is_leaving (cs_members_t *members)
{
  pthread_mutex_lock (&members->lock);
  bool leaving = cs_hosts_at (members->hosts, 0)->leaving;
  pthread_mutex_unlock (&members->lock);
  return leaving;
}

void
cs_members_remove_stale (cs_members_t *members, cs_time_us_t age_us,
                         cs_time_us_t now)
{
  pthread_mutex_lock (&members->lock);
  cs_hosts_remove_stale (members->hosts, age_us, now);
  pthread_mutex_unlock (&members->lock);
}

bool
cs_members_is_live (cs_members_t *members, uint64_t id, cs_time_us_t now)
{
  pthread_mutex_lock (&members->lock);
  bool live = cs_hosts_is_live (members->hosts, id, now);
  pthread_mutex_unlock (&members->lock);
  return live;
}

uint64_t
cs_members_owner (cs_members_t *members, uint64_t key, cs_time_us_t now)
{
  pthread_mutex_lock (&members->lock);
  uint64_t owner = cs_hosts_owner (members->hosts, key, now);
  pthread_mutex_unlock (&members->lock);
  return owner;
}

size_t
cs_members_live_peers (cs_members_t *members, cs_time_us_t now, uint64_t *ids,
                       size_t size)
{
  pthread_mutex_lock (&members->lock);
  size_t count = cs_hosts_live_peers (members->hosts, now, ids, size);
  pthread_mutex_unlock (&members->lock);
  return count;
}

size_t
cs_members_copy (cs_members_t *members, cs_host_t *out, size_t size)
{
  size_t count = 0;
  pthread_mutex_lock (&members->lock);
  while (count < size && count < cs_hosts_count (members->hosts))
    {
      out[count] = *cs_hosts_at (members->hosts, count);
      count++;
    }
  pthread_mutex_unlock (&members->lock);
  return count;
}

bool
cs_members_find (cs_members_t *members, uint64_t id, cs_host_t *out)
{
  pthread_mutex_lock (&members->lock);
  const cs_host_t *host = cs_hosts_find (members->hosts, id);
  if (host != NULL)
    *out = *host;
  pthread_mutex_unlock (&members->lock);
  return host != NULL;
}
