#include "daemon/cells.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <uthash.h>

#include "common/hash.h"

/* A summary older than this says nothing.  */
#define SUMMARY_AGE_US (5 * CS_US_PER_S)

#define HOSTS_MAX 512

typedef struct
{
  uint64_t id; /* hash of data centre and offering */
  cs_name_t data_centre;
  uint64_t offering;
  uint32_t spare;
  cs_time_us_t heard;
  UT_hash_handle hh;
} summary_t;

typedef struct
{
  cs_name_t address;
  cs_endpoint_t *endpoint;
  UT_hash_handle hh;
} remote_t;

struct cs_cells
{
  cs_members_t *members;
  pthread_mutex_t lock; /* guards what follows; a leaf */
  summary_t *summaries;
  remote_t *remotes;
};

cs_cells_t *
cs_cells_create (cs_members_t *members)
{
  cs_cells_t *cells = calloc (1, sizeof *cells);
  if (cells == NULL)
    return NULL;
  cells->members = members;
  pthread_mutex_init (&cells->lock, NULL);
  return cells;
}

void
cs_cells_destroy (cs_cells_t *cells)
{
  summary_t *summary, *next_summary;
  remote_t *remote, *next_remote;
  if (cells == NULL)
    return;
  HASH_ITER (hh, cells->summaries, summary, next_summary)
  {
    HASH_DEL (cells->summaries, summary);
    free (summary);
  }
  HASH_ITER (hh, cells->remotes, remote, next_remote)
  {
    HASH_DEL (cells->remotes, remote);
    cs_endpoint_unref (remote->endpoint);
    free (remote);
  }
  pthread_mutex_destroy (&cells->lock);
  free (cells);
}

void
cs_cells_hear (cs_cells_t *cells, cs_str_t data_centre,
               const Cs__Peer__Summary *summary, cs_time_us_t now)
{
  summary_t *known = NULL;
  uint64_t id = cs_hash_pair (summary->offering, cs_hash (data_centre, 0));
  pthread_mutex_lock (&cells->lock);
  HASH_FIND (hh, cells->summaries, &id, sizeof id, known);
  if (known == NULL)
    {
      known = calloc (1, sizeof *known);
      if (known == NULL)
        goto out;
      known->id = id;
      cs_name_set (&known->data_centre, data_centre);
      known->offering = summary->offering;
      HASH_ADD (hh, cells->summaries, id, sizeof known->id, known);
    }
  known->spare = summary->spare;
  known->heard = now;
out:
  pthread_mutex_unlock (&cells->lock);
}

/* Finds the data centre with the most spare calls, with the lock held.  */
static bool
best_data_centre (const cs_cells_t *cells, uint64_t offering, cs_time_us_t now,
                  cs_name_t *out)
{
  const summary_t *summary;
  uint32_t best = 0;
  for (summary = cells->summaries; summary != NULL; summary = summary->hh.next)
    {
      if (summary->offering != offering || summary->spare <= best
          || now > summary->heard + SUMMARY_AGE_US)
        continue;
      best = summary->spare;
      *out = summary->data_centre;
    }
  return best > 0;
}

static bool
choose_host (cs_cells_t *cells, const cs_name_t *data_centre, uint64_t key,
             cs_time_us_t now, cs_host_t *out)
{
  bool found = false;
  uint64_t best = 0;
  cs_host_t *hosts = calloc (HOSTS_MAX, sizeof *hosts);
  if (hosts == NULL)
    return false;
  size_t count = cs_members_copy (cells->members, hosts, HOSTS_MAX);
  for (size_t i = 1; i < count; i++)
    {
      uint64_t score = cs_hash_pair (key, hosts[i].id);
      if (hosts[i].leaving
          || !cs_name_equal (&hosts[i].data_centre, data_centre)
          || !cs_members_is_live (cells->members, hosts[i].id, now)
          || (found && score <= best))
        continue;
      found = true;
      best = score;
      *out = hosts[i];
    }
  free (hosts);
  return found;
}

/* The endpoint of a remote host, with the lock held.  */
static cs_endpoint_t *
endpoint_of (cs_cells_t *cells, const cs_host_t *host)
{
  remote_t *remote = NULL;
  const cs_name_t *address = &host->caller_address;
  HASH_FIND (hh, cells->remotes, address, sizeof *address, remote);
  if (remote == NULL)
    {
      cs_target_t target = { 0 };
      target.name = host->name;
      target.address = *address;
      remote = calloc (1, sizeof *remote);
      if (remote == NULL)
        return NULL;
      remote->address = *address;
      remote->endpoint = cs_endpoint_create (&target);
      if (remote->endpoint == NULL)
        {
          free (remote);
          return NULL;
        }
      HASH_ADD (hh, cells->remotes, address, sizeof remote->address, remote);
    }
  return cs_endpoint_ref (remote->endpoint);
}

cs_endpoint_t *
cs_cells_choose (cs_cells_t *cells, cs_str_t offering, uint64_t key,
                 cs_time_us_t now)
{
  cs_name_t data_centre;
  cs_host_t host;
  pthread_mutex_lock (&cells->lock);
  bool found
      = best_data_centre (cells, cs_hash (offering, 0), now, &data_centre);
  pthread_mutex_unlock (&cells->lock);
  if (!found || !choose_host (cells, &data_centre, key, now, &host))
    return NULL;
  pthread_mutex_lock (&cells->lock);
  cs_endpoint_t *endpoint = endpoint_of (cells, &host);
  pthread_mutex_unlock (&cells->lock);
  return endpoint;
}

void
cs_cells_hop_proof (cs_str_t fleet_key, cs_str_t request_id, char out[65])
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
