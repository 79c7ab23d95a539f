/* The hosts (routers) of the fleet as one of them sees them, and which of them
   owns a pool.

   A host is live while it is heard from.  A host that leaves or goes silent
   owns nothing.  Not thread-safe.  */

#ifndef CS_HOSTS_H
#define CS_HOSTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/* Silence after which a host counts as lost.  */
#define CS_HOST_TIMEOUT_US (1 * CS_US_PER_S)

typedef struct
{
  uint64_t id; /* hash of name and instance; a restarted host is another */
  cs_name_t name;
  cs_name_t data_centre;
  cs_name_t peer_address;
  cs_name_t caller_address;
  cs_time_us_t last_seen;
  bool leaving;
  uint64_t revision; /* of the release it has in force */
} cs_host_t;

typedef struct cs_hosts cs_hosts_t;

/* SELF is always live; it is copied.  */
cs_hosts_t *cs_hosts_create (const cs_host_t *self);
void cs_hosts_destroy (cs_hosts_t *hosts);

/* Records that HOST was heard at NOW.  Leaving is a latch: once set for an id
   it stays.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_hosts_mark_seen (cs_hosts_t *hosts, const cs_host_t *host,
                        cs_time_us_t now);

/* Sets the data centres of the own region; the own one always is.  Copied.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_hosts_set_region (cs_hosts_t *hosts, const cs_name_t *data_centres,
                         size_t count);
bool cs_hosts_is_in_region (const cs_hosts_t *hosts,
                            const cs_name_t *data_centre);

/* Marks a host lost before its timeout, as when its connection closes.  */
void cs_hosts_mark_lost (cs_hosts_t *hosts, uint64_t id);
void cs_hosts_set_self_leaving (cs_hosts_t *hosts);
void cs_hosts_set_self_revision (cs_hosts_t *hosts, uint64_t revision);

/* Removes hosts that have been silent for longer than AGE_US.  */
void cs_hosts_remove_stale (cs_hosts_t *hosts, cs_time_us_t age_us,
                            cs_time_us_t now);

bool cs_hosts_is_live (const cs_hosts_t *hosts, uint64_t id, cs_time_us_t now);

/* Borrowed; NULL when unknown.  */
const cs_host_t *cs_hosts_find (const cs_hosts_t *hosts, uint64_t id);
const cs_host_t *cs_hosts_at (const cs_hosts_t *hosts, size_t index);
size_t cs_hosts_count (const cs_hosts_t *hosts);

/* The id of the live, staying host of the own region that ranks first for
   KEY.  A region in which all hosts leave is owned by the first of
   these, so that calls in flight still find an owner.  */
uint64_t cs_hosts_owner (const cs_hosts_t *hosts, uint64_t key,
                         cs_time_us_t now);

/* Writes the ids of the live hosts of the own region, self excluded.  */
size_t cs_hosts_live_peers (const cs_hosts_t *hosts, cs_time_us_t now,
                            uint64_t *ids, size_t size);

#endif
