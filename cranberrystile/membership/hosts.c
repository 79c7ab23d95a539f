#include "cranberrystile/hosts.h"

#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "common/hash.h"

#define MAX_HOSTS 4096

struct cs_hosts
{
  cs_host_t *hosts; /* the first is the local host */
  size_t count;
  size_t capacity;
  cs_name_t *region;
  size_t region_count;
};

cs_hosts_t *
cs_hosts_create (const cs_host_t *self)
{
  cs_hosts_t *hosts = calloc (1, sizeof *hosts);
  if (hosts == NULL)
    return NULL;
  hosts->capacity = 16;
  hosts->hosts = calloc (hosts->capacity, sizeof *hosts->hosts);
  if (hosts->hosts == NULL)
    {
      free (hosts);
      return NULL;
    }
  hosts->hosts[0] = *self;
  hosts->count = 1;
  return hosts;
}

void
cs_hosts_destroy (cs_hosts_t *hosts)
{
  if (hosts == NULL)
    return;
  free (hosts->hosts);
  free (hosts->region);
  free (hosts);
}

int
cs_hosts_set_region (cs_hosts_t *hosts, const cs_name_t *data_centres,
                     size_t count)
{
  cs_name_t *region = calloc (count + 1, sizeof *region);
  if (region == NULL)
    return CS_ERR_NO_MEMORY;
  if (count > 0)
    memcpy (region, data_centres, count * sizeof *region);
  free (hosts->region);
  hosts->region = region;
  hosts->region_count = count;
  return 0;
}

bool
cs_hosts_is_in_region (const cs_hosts_t *hosts, const cs_name_t *data_centre)
{
  if (cs_name_equal (data_centre, &hosts->hosts[0].data_centre))
    return true;
  for (size_t i = 0; i < hosts->region_count; i++)
    if (cs_name_equal (data_centre, &hosts->region[i]))
      return true;
  return false;
}

static cs_host_t *
find_host (const cs_hosts_t *hosts, uint64_t id)
{
  for (size_t i = 0; i < hosts->count; i++)
    if (hosts->hosts[i].id == id)
      return &hosts->hosts[i];
  return NULL;
}

static int
add_host (cs_hosts_t *hosts, const cs_host_t *host)
{
  if (hosts->count == MAX_HOSTS)
    return CS_ERR_NO_MEMORY;
  if (hosts->count == hosts->capacity)
    {
      size_t capacity = hosts->capacity * 2;
      cs_host_t *grown
          = realloc (hosts->hosts, capacity * sizeof *hosts->hosts);
      if (grown == NULL)
        return CS_ERR_NO_MEMORY;
      hosts->hosts = grown;
      hosts->capacity = capacity;
    }
  hosts->hosts[hosts->count++] = *host;
  return 0;
}

int
cs_hosts_mark_seen (cs_hosts_t *hosts, const cs_host_t *host, cs_time_us_t now)
{
  cs_host_t *existing = find_host (hosts, host->id);
  if (existing == &hosts->hosts[0])
    return 0;
  if (existing == NULL)
    {
      int rc = add_host (hosts, host);
      if (rc != 0)
        return rc;
      hosts->hosts[hosts->count - 1].last_seen = now;
      return 0;
    }
  bool leaving = existing->leaving || host->leaving;
  uint64_t revision = existing->revision;
  *existing = *host;
  existing->last_seen = now;
  existing->leaving = leaving;
  if (revision > existing->revision)
    existing->revision = revision;
  return 0;
}

void
cs_hosts_mark_lost (cs_hosts_t *hosts, uint64_t id)
{
  cs_host_t *host = find_host (hosts, id);
  if (host != NULL && host != &hosts->hosts[0])
    host->last_seen = 0;
}

void
cs_hosts_set_self_leaving (cs_hosts_t *hosts)
{
  hosts->hosts[0].leaving = true;
}

void
cs_hosts_set_self_revision (cs_hosts_t *hosts, uint64_t revision)
{
  if (revision > hosts->hosts[0].revision)
    hosts->hosts[0].revision = revision;
}

static bool
is_live (const cs_hosts_t *hosts, const cs_host_t *host, cs_time_us_t now)
{
  if (host == &hosts->hosts[0])
    return true;
  return host->last_seen != 0 && now < host->last_seen + CS_HOST_TIMEOUT_US;
}

void
cs_hosts_remove_stale (cs_hosts_t *hosts, cs_time_us_t age_us,
                       cs_time_us_t now)
{
  size_t i = 1;
  while (i < hosts->count)
    {
      if (now > hosts->hosts[i].last_seen + age_us)
        hosts->hosts[i] = hosts->hosts[--hosts->count];
      else
        i++;
    }
}

bool
cs_hosts_is_live (const cs_hosts_t *hosts, uint64_t id, cs_time_us_t now)
{
  const cs_host_t *host = find_host (hosts, id);
  return host != NULL && is_live (hosts, host, now);
}

const cs_host_t *
cs_hosts_find (const cs_hosts_t *hosts, uint64_t id)
{
  return find_host (hosts, id);
}

const cs_host_t *
cs_hosts_at (const cs_hosts_t *hosts, size_t index)
{
  return index < hosts->count ? &hosts->hosts[index] : NULL;
}

size_t
cs_hosts_count (const cs_hosts_t *hosts)
{
  return hosts->count;
}

static bool
is_live_in_region (const cs_hosts_t *hosts, const cs_host_t *host,
                   cs_time_us_t now)
{
  return cs_hosts_is_in_region (hosts, &host->data_centre)
         && is_live (hosts, host, now);
}

uint64_t
cs_hosts_owner (const cs_hosts_t *hosts, uint64_t key, cs_time_us_t now)
{
  const cs_host_t *best = NULL;
  uint64_t best_score = 0;
  for (size_t i = 0; i < hosts->count; i++)
    {
      const cs_host_t *host = &hosts->hosts[i];
      if (!is_live_in_region (hosts, host, now))
        continue;
      uint64_t score = cs_hash_pair (key, host->id);
      bool better = best == NULL || score > best_score;
      if (best != NULL && host->leaving != best->leaving)
        better = best->leaving;
      if (!better)
        continue;
      best = host;
      best_score = score;
    }
  return best == NULL ? hosts->hosts[0].id : best->id;
}

size_t
cs_hosts_live_peers (const cs_hosts_t *hosts, cs_time_us_t now, uint64_t *ids,
                     size_t size)
{
  size_t found = 0;
  for (size_t i = 1; i < hosts->count && found < size; i++)
    if (is_live_in_region (hosts, &hosts->hosts[i], now))
      ids[found++] = hosts->hosts[i].id;
  return found;
}
