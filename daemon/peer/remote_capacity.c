#include "daemon/remote_capacity.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <uthash.h>

#include "common/hash.h"

/* Older summaries are ignored.  */
#define MAX_SUMMARY_AGE_US (5 * CS_US_PER_S)

#define MAX_HOSTS 512

typedef struct
{
  uint64_t id; /* hash of data centre and offering */
  cs_name_t data_centre;
  uint64_t offering;
  uint32_t spare; /* free slots */
  cs_time_us_t received;
  UT_hash_handle hh;
} summary_t;

typedef struct
{
  cs_name_t address;
  cs_endpoint_t *endpoint;
  UT_hash_handle hh;
} remote_endpoint_t;

struct cs_remote_capacity
{
  cs_members_t *members;
  pthread_mutex_t lock; /* guards what follows; a leaf lock */
  summary_t *summaries;
  remote_endpoint_t *endpoints;
};

cs_remote_capacity_t *
cs_remote_capacity_create (cs_members_t *members)
{
  cs_remote_capacity_t *remote = calloc (1, sizeof *remote);
  if (remote == NULL)
    return NULL;
  remote->members = members;
  pthread_mutex_init (&remote->lock, NULL);
  return remote;
}

void
cs_remote_capacity_destroy (cs_remote_capacity_t *remote)
{
  summary_t *summary, *next_summary;
  remote_endpoint_t *entry, *next_entry;
  if (remote == NULL)
    return;
  HASH_ITER (hh, remote->summaries, summary, next_summary)
  {
    HASH_DEL (remote->summaries, summary);
    free (summary);
  }
  HASH_ITER (hh, remote->endpoints, entry, next_entry)
  {
    HASH_DEL (remote->endpoints, entry);
    cs_endpoint_unref (entry->endpoint);
    free (entry);
  }
  pthread_mutex_destroy (&remote->lock);
  free (remote);
}

void
cs_remote_capacity_update (cs_remote_capacity_t *remote, cs_str_t data_centre,
                           const Cs__Peer__Summary *summary, cs_time_us_t now)
{
  summary_t *known = NULL;
  uint64_t id = cs_hash_pair (summary->offering, cs_hash (data_centre, 0));
  pthread_mutex_lock (&remote->lock);
  HASH_FIND (hh, remote->summaries, &id, sizeof id, known);
  if (known == NULL)
    {
      known = calloc (1, sizeof *known);
      if (known == NULL)
        goto out;
      known->id = id;
      cs_name_set (&known->data_centre, data_centre);
      known->offering = summary->offering;
      HASH_ADD (hh, remote->summaries, id, sizeof known->id, known);
    }
  known->spare = summary->spare;
  known->received = now;
out:
  pthread_mutex_unlock (&remote->lock);
}

/* Finds the data centre with the most spare capacity for OFFERING.  Call with
   the lock held.  */
static bool
find_best_data_centre (const cs_remote_capacity_t *remote, uint64_t offering,
                       cs_time_us_t now, cs_name_t *out)
{
  const summary_t *summary;
  uint32_t best = 0;
  for (summary = remote->summaries; summary != NULL;
       summary = summary->hh.next)
    {
      if (summary->offering != offering || summary->spare <= best
          || now > summary->received + MAX_SUMMARY_AGE_US)
        continue;
      best = summary->spare;
      *out = summary->data_centre;
    }
  return best > 0;
}

/* Chooses the live host of DATA_CENTRE that ranks first for KEY.  */
static bool
choose_host (cs_remote_capacity_t *remote, const cs_name_t *data_centre,
             uint64_t key, cs_time_us_t now, cs_host_t *out)
{
  bool found = false;
  uint64_t best = 0;
  cs_host_t *hosts = calloc (MAX_HOSTS, sizeof *hosts);
  if (hosts == NULL)
    return false;
  size_t count = cs_members_copy (remote->members, hosts, MAX_HOSTS);
  for (size_t i = 1; i < count; i++)
    {
      uint64_t score = cs_hash_pair (key, hosts[i].id);
      if (hosts[i].leaving
          || !cs_name_equal (&hosts[i].data_centre, data_centre)
          || !cs_members_is_live (remote->members, hosts[i].id, now)
          || (found && score <= best))
        continue;
      found = true;
      best = score;
      *out = hosts[i];
    }
  free (hosts);
  return found;
}

/* Returns a new reference to the endpoint of HOST, which is created if there
   is none, or NULL if memory is exhausted.  Call with the lock held.  */
static cs_endpoint_t *
endpoint_of (cs_remote_capacity_t *remote, const cs_host_t *host)
{
  remote_endpoint_t *entry = NULL;
  const cs_name_t *address = &host->caller_address;
  HASH_FIND (hh, remote->endpoints, address, sizeof *address, entry);
  if (entry == NULL)
    {
      cs_target_t target = { 0 };
      target.name = host->name;
      target.address = *address;
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return NULL;
      entry->address = *address;
      entry->endpoint = cs_endpoint_create (&target);
      if (entry->endpoint == NULL)
        {
          free (entry);
          return NULL;
        }
      HASH_ADD (hh, remote->endpoints, address, sizeof entry->address, entry);
    }
  return cs_endpoint_ref (entry->endpoint);
}

cs_endpoint_t *
cs_remote_capacity_choose (cs_remote_capacity_t *remote, cs_str_t offering,
                           uint64_t key, cs_time_us_t now)
{
  cs_name_t data_centre;
  cs_host_t host;
  pthread_mutex_lock (&remote->lock);
  bool found = find_best_data_centre (remote, cs_hash (offering, 0), now,
                                      &data_centre);
  pthread_mutex_unlock (&remote->lock);
  if (!found || !choose_host (remote, &data_centre, key, now, &host))
    return NULL;
  pthread_mutex_lock (&remote->lock);
  cs_endpoint_t *endpoint = endpoint_of (remote, &host);
  pthread_mutex_unlock (&remote->lock);
  return endpoint;
}

void
cs_hop_proof (cs_str_t fleet_key, cs_str_t request_id, char out[65])
{
  cs_buf_t text = { 0 };
  unsigned char digest[EVP_MAX_MD_SIZE] = { 0 };
  unsigned int len = 0;
  cs_buf_printf (&text, "hop|%.*s", CS_STR_ARG (request_id));
  HMAC (EVP_sha256 (), fleet_key.data, (int)fleet_key.len,
        (const unsigned char *)text.data, text.len, digest, &len);
  for (size_t i = 0; i < 32; i++)
    snprintf (out + i * 2, 3, "%02x", digest[i]);
  cs_buf_free (&text);
}
