/* Internals of daemon placement, for the files of this folder only.  */

#ifndef CS_DAEMON_PLACEMENT_INTERNAL_H
#define CS_DAEMON_PLACEMENT_INTERNAL_H

#include <pthread.h>

#include <uthash.h>

#include "cranberrystile/eject.h"
#include "daemon/placement.h"
#include "placement/outbox.h"

/* Further hosts of a region are ignored.  */
#define MAX_REGION_HOSTS 64

/* A call of this router that was granted a target and has not ended.  */
typedef struct
{
  uint64_t call;
  uint64_t pool;
  uint64_t organisation;
  uint64_t target;
  UT_hash_handle hh;
} placed_record_t;

/* A thread that waits for the response to its request.  */
typedef struct
{
  uint64_t call;
  uint64_t pool;
  bool completed;
  bool must_resend; /* the owner has changed, or the receiver was not the
                       owner */
  int error;
  uint64_t target;
  cs_placement_reason_t why;
  uint32_t retry_after_s;
  pthread_cond_t changed;
  UT_hash_handle hh;
} waiter_t;

typedef struct
{
  uint64_t target;
  cs_eject_t eject;
  bool was_ejected;
  bool unreachable; /* polls of it fail */
  UT_hash_handle hh;
} target_health_t;

/* State of one pool on this router.  */
typedef struct
{
  uint64_t id;
  cs_name_t offering;
  uint32_t cap_percent;
  bool is_service;
  uint32_t target_count; /* targets known here that are not leaving */
  /* Largest count that a requesting router has reported since the last sync
     of the targets.  */
  uint32_t reported_targets;
  uint64_t owner_id; /* host id, 0 until it is first determined */
  /* Not NULL if this host owns the pool, or calls were handed over to it.  */
  cs_owner_t *owner;
  /* Hosts that have handed over all their calls.  */
  uint64_t handed_over[MAX_REGION_HOSTS];
  size_t handed_over_count;
  target_health_t *health;
  UT_hash_handle hh;
} pool_entry_t;

struct cs_placement
{
  const cs_settings_t *settings;
  cs_members_t *members;
  cs_configuration_t *configuration;
  cs_endpoints_t *endpoints;
  cs_counters_t *counters;
  cs_peers_t *peers;
  uint64_t self;
  pthread_t thread;
  bool thread_started;
  pthread_mutex_t lock; /* guards what follows; taken before that of MEMBERS */
  pthread_cond_t tick;  /* wakes the placement thread */
  bool stopping;
  bool refresh;     /* pools_refresh is due at once */
  bool has_pools;   /* of a release, with their owners */
  cs_name_t region; /* of the local data centre */
  uint64_t last_call;
  cs_time_us_t created;
  pool_entry_t *pools;
  placed_record_t *placed_calls;
  waiter_t *waiters;
  outbox_t outbox; /* sent by unlock_and_send */
};

/* Returns the id of the pool of OFFERING in the local region, never 0.  */
uint64_t pool_id_of (const cs_placement_t *placement, cs_str_t offering);
pool_entry_t *find_pool_entry (const cs_placement_t *placement, uint64_t pool);

/* The following functions require the lock, except unlock_and_send, which
   releases it.  */

/* Creates entry->owner if it is NULL, with the targets of the pool.  Returns 0
   or CS_ERR_NO_MEMORY.  */
int pool_entry_ensure_owner (cs_placement_t *placement, pool_entry_t *entry,
                             cs_time_us_t now);

/* Updates the targets of the pool from the table of endpoints.  */
void pool_entry_sync_targets (cs_placement_t *placement, pool_entry_t *entry,
                              cs_time_us_t now);

/* Returns the largest number of targets that a requesting router reported,
   less those that are not live as this owner knows them.  */
uint32_t pool_entry_reported_live (const pool_entry_t *entry);

/* Applies the result of a call to the ejection state of TARGET.  ERROR is 0
   for success.  */
void pool_entry_record_result (cs_placement_t *placement, pool_entry_t *entry,
                               uint64_t target, int error, cs_time_us_t now);
void pool_entry_free (pool_entry_t *entry);

/* Updates the pools and their targets from the release in force.  */
void pools_refresh (cs_placement_t *placement, cs_time_us_t now);

/* Updates the owners of all pools from the live hosts; hands over calls where
   the owner has changed.  */
void pools_update_owners (cs_placement_t *placement, cs_time_us_t now);

/* Sends the calls of this router in the pool to its owner, also when there are
   none: a recovering owner waits for every host.  */
void pool_entry_hand_over (cs_placement_t *placement,
                           const pool_entry_t *entry);

/* Records that HOST has handed over all its calls.  */
void pool_entry_record_hand_over (cs_placement_t *placement,
                                  pool_entry_t *entry, uint64_t host,
                                  cs_time_us_t now);

/* Passes the response to the waiter for CALL.  CS_ERR_CONFLICT makes it send
   its request again.  */
void complete_waiter (cs_placement_t *placement, uint64_t call, int error,
                      uint64_t target, cs_placement_reason_t why,
                      uint32_t retry_after_s);

/* Makes the waiter for CALL send its request again.  */
void resend_waiter (cs_placement_t *placement, uint64_t call);

/* Makes all waiters of POOL send their requests again.  */
void resend_pool_waiters (cs_placement_t *placement, uint64_t pool);

/* Releases the lock and sends the frames of the outbox.  */
void unlock_and_send (cs_placement_t *placement);

#endif
