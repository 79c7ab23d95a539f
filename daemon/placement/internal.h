/* The parts of daemon placement, shared by the files of this folder only.  */

#ifndef CS_DAEMON_PLACEMENT_INTERNAL_H
#define CS_DAEMON_PLACEMENT_INTERNAL_H

#include <pthread.h>

#include <uthash.h>

#include "cranberrystile/eject.h"
#include "daemon/placement.h"
#include "placement/outbox.h"

/* Most hosts of one region that are handled.  */
#define NEAR_HOSTS_MAX 64

/* A call of this router that has been placed.  */
typedef struct
{
  uint64_t call;
  uint64_t pool;
  uint64_t organisation;
  uint64_t target;
  UT_hash_handle hh;
} placed_call_t;

/* A worker that waits for the answer to its ask.  */
typedef struct
{
  uint64_t call;
  uint64_t pool;
  bool answered;
  bool ask_again; /* the owner has changed or does not think it is */
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
  bool unreachable; /* polls fail */
  UT_hash_handle hh;
} target_health_t;

/* What this router knows of one pool.  */
typedef struct
{
  uint64_t id;
  cs_name_t offering;
  uint32_t cap_percent;
  bool is_service;
  uint32_t target_count; /* targets known here that do not leave */
  uint32_t believed;     /* the most that an asker has told since the last
                            look at the targets */
  uint64_t owner_id;     /* host that we ask, 0 before the first look */
  cs_owner_t *owner;     /* when we own it, or calls were handed to us */
  uint64_t handed_over[NEAR_HOSTS_MAX]; /* hosts that have handed over */
  size_t handed_over_count;
  target_health_t *health;
  UT_hash_handle hh;
} pool_slot_t;

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
  pthread_mutex_t lock; /* guards what follows; before members' */
  pthread_cond_t tick;
  bool stopping;
  bool refresh;
  bool has_pools;   /* those of a release, and their owners, were set up */
  cs_name_t region; /* of the own data centre */
  uint64_t last_call;
  cs_time_us_t created;
  pool_slot_t *slots;
  placed_call_t *placed;
  waiter_t *waiters;
  outbox_t outbox; /* frames to send when the lock is released */
};

/* The pool of an offering in the own region.  */
uint64_t pool_id_of (const cs_placement_t *placement, cs_str_t offering);
pool_slot_t *find_slot (const cs_placement_t *placement, uint64_t pool);

/* All of these want the lock held.  */
int slot_ensure_owner (cs_placement_t *placement, pool_slot_t *slot,
                       cs_time_us_t now);
void slot_sync_targets (cs_placement_t *placement, pool_slot_t *slot,
                        cs_time_us_t now);
/* Live targets as askers believe, less those that only the owner knows to be
   down.  */
uint32_t slot_believed_live (const pool_slot_t *slot);
void slot_count_result (cs_placement_t *placement, pool_slot_t *slot,
                        uint64_t target, int error, cs_time_us_t now);
void slot_free (pool_slot_t *slot);
void slots_refresh (cs_placement_t *placement, cs_time_us_t now);
void slots_update_owners (cs_placement_t *placement, cs_time_us_t now);
void slot_hand_over (cs_placement_t *placement, const pool_slot_t *slot);
void slot_note_handed_over (cs_placement_t *placement, pool_slot_t *slot,
                            uint64_t host, cs_time_us_t now);
void complete_waiter (cs_placement_t *placement, uint64_t call, int error,
                      uint64_t target, cs_placement_reason_t why,
                      uint32_t retry_after_s);
void waiter_ask_again (cs_placement_t *placement, uint64_t call);

/* Has all waiters of POOL ask again.  */
void wake_waiters (cs_placement_t *placement, uint64_t pool);

/* Releases the lock and sends what has gathered in the outbox.  */
void unlock_and_send (cs_placement_t *placement);

#endif
