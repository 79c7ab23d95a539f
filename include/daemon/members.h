/* Thread-safe wrapper of the membership table; see cranberrystile/hosts.h for
   the functions without a comment.

   A host is a machine that runs one router; to a host, the others are its
   peers.  A region is a set of data centres whose hosts place calls on the
   same targets.  */

#ifndef CS_DAEMON_MEMBERS_H
#define CS_DAEMON_MEMBERS_H

#include "cranberrystile/hosts.h"

typedef struct cs_members cs_members_t;

/* Returns NULL if memory is exhausted.  */
cs_members_t *cs_members_create (const cs_host_t *self);
void cs_members_destroy (cs_members_t *members);

/* Returns the local host as passed to cs_members_create, borrowed.  Its
   leaving flag and revision are not updated.  */
const cs_host_t *cs_members_self (const cs_members_t *members);

/* If memory is exhausted, the region is kept as it was.  */
void cs_members_set_region (cs_members_t *members,
                            const cs_name_t *data_centres, size_t count);
bool cs_members_is_in_region (cs_members_t *members, cs_str_t data_centre);

void cs_members_mark_seen (cs_members_t *members, const cs_host_t *host,
                           cs_time_us_t now);
void cs_members_mark_lost (cs_members_t *members, uint64_t id);
void cs_members_set_leaving (cs_members_t *members);
void cs_members_set_revision (cs_members_t *members, uint64_t revision);
bool cs_members_is_leaving (cs_members_t *members);
void cs_members_remove_stale (cs_members_t *members, cs_time_us_t age_us,
                              cs_time_us_t now);
bool cs_members_is_live (cs_members_t *members, uint64_t id, cs_time_us_t now);
uint64_t cs_members_owner (cs_members_t *members, uint64_t key,
                           cs_time_us_t now);
size_t cs_members_live_peers (cs_members_t *members, cs_time_us_t now,
                              uint64_t *ids, size_t size);

/* Copies at most SIZE hosts, the local one first, and returns their number. */
size_t cs_members_copy (cs_members_t *members, cs_host_t *out, size_t size);

/* Copies host ID to *OUT.  Returns false if it is unknown.  */
bool cs_members_find (cs_members_t *members, uint64_t id, cs_host_t *out);

#endif
