/* Membership table: the hosts (routers) of the fleet as one of them sees them,
   and which of them owns a pool.

   A host is live until it has not been seen for CS_HOST_TIMEOUT_US.  A host
   that is not live owns no pool; one that is leaving does so only if all live
   hosts of the region are.  Not thread-safe.  */

#ifndef CS_HOSTS_H
#define CS_HOSTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/* Time without a message after which a host counts as lost.  */
#define CS_HOST_TIMEOUT_US (1 * CS_US_PER_S)

typedef struct
{
  uint64_t id; /* hash of name and instance; changes when a host restarts */
  cs_name_t name;
  cs_name_t data_centre;
  cs_name_t peer_address;
  cs_name_t caller_address;
  cs_time_us_t last_seen; /* 0: lost */
  bool leaving;
  uint64_t revision; /* of the release that it applies */
} cs_host_t;

typedef struct cs_hosts cs_hosts_t;

/* Creates a table that holds a copy of SELF, which is always live.  Returns
   NULL if memory is exhausted.  */
cs_hosts_t *cs_hosts_create (const cs_host_t *self);
void cs_hosts_destroy (cs_hosts_t *hosts);

/* Adds or updates HOST, seen at NOW.  The leaving flag of an id is never
   cleared, and its revision never lowered.  Returns 0, or CS_ERR_NO_MEMORY if
   memory is exhausted or the table is full.  */
int cs_hosts_mark_seen (cs_hosts_t *hosts, const cs_host_t *host,
                        cs_time_us_t now);

/* Sets the data centres of the local region to a copy of DATA_CENTRES.  The
   local data centre is always included.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_hosts_set_region (cs_hosts_t *hosts, const cs_name_t *data_centres,
                         size_t count);
bool cs_hosts_is_in_region (const cs_hosts_t *hosts,
                            const cs_name_t *data_centre);

/* Marks a host as lost before its timeout, for example when its connection
   closes.  */
void cs_hosts_mark_lost (cs_hosts_t *hosts, uint64_t id);
void cs_hosts_set_self_leaving (cs_hosts_t *hosts);
void cs_hosts_set_self_revision (cs_hosts_t *hosts, uint64_t revision);

/* Removes hosts last seen more than AGE_US before NOW.  */
void cs_hosts_remove_stale (cs_hosts_t *hosts, cs_time_us_t age_us,
                            cs_time_us_t now);

bool cs_hosts_is_live (const cs_hosts_t *hosts, uint64_t id, cs_time_us_t now);

/* Return a borrowed host, valid until the next change, or NULL if there is
   none.  Index 0 is the local host.  */
const cs_host_t *cs_hosts_find (const cs_hosts_t *hosts, uint64_t id);
const cs_host_t *cs_hosts_at (const cs_hosts_t *hosts, size_t index);
size_t cs_hosts_count (const cs_hosts_t *hosts);

/* Returns the id of the host that owns KEY: of the live hosts of the local
   region that are not leaving, the one that ranks first.  If all are leaving,
   the first of these is the owner, so that calls in flight still find one.  */
uint64_t cs_hosts_owner (const cs_hosts_t *hosts, uint64_t key,
                         cs_time_us_t now);

/* Writes the ids of at most SIZE live hosts of the local region to IDS,
   without the local host, and returns their number.  */
size_t cs_hosts_live_peers (const cs_hosts_t *hosts, cs_time_us_t now,
                            uint64_t *ids, size_t size);

#endif
