/* The hosts table of cranberrystile/hosts.h behind a mutex, for the threads of
   a daemon.  */

#ifndef CS_DAEMON_MEMBERS_H
#define CS_DAEMON_MEMBERS_H

#include "cranberrystile/hosts.h"

typedef struct cs_members cs_members_t;

cs_members_t *cs_members_create (const cs_host_t *self);
void cs_members_destroy (cs_members_t *members);

/* Immutable but for leaving and revision.  Borrowed.  */
const cs_host_t *cs_members_self (const cs_members_t *members);

/* See cs_hosts_set_region.  */
void cs_members_set_near (cs_members_t *members, const cs_name_t *data_centres,
                          size_t count);
bool cs_members_is_near (cs_members_t *members, cs_str_t data_centre);

void cs_members_heard (cs_members_t *members, const cs_host_t *host,
                       cs_time_us_t now);
void cs_members_lost (cs_members_t *members, uint64_t id);
void cs_members_set_leaving (cs_members_t *members);
void cs_members_set_revision (cs_members_t *members, uint64_t revision);
bool cs_members_is_leaving (cs_members_t *members);
void cs_members_sweep (cs_members_t *members, cs_time_us_t age_us,
                       cs_time_us_t now);
bool cs_members_is_live (cs_members_t *members, uint64_t id, cs_time_us_t now);
uint64_t cs_members_owner (cs_members_t *members, uint64_t key,
                           cs_time_us_t now);
size_t cs_members_live_peers (cs_members_t *members, cs_time_us_t now,
                              uint64_t *ids, size_t size);

/* Copies up to SIZE hosts, self first; returns how many.  */
size_t cs_members_copy (cs_members_t *members, cs_host_t *out, size_t size);

/* Copies the host called ID; returns false when unknown.  */
bool cs_members_find (cs_members_t *members, uint64_t id, cs_host_t *out);

#endif
