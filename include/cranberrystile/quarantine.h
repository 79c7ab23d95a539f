/* Finds the requests, and the parts of prompts, under which targets crash, and
   blocks them.

   A crash report names a target that crashed, the fingerprints of the requests
   that it was beginning to answer, and the parts of their prompts.  One of
   these is blocked when enough different targets have crashed under it and no
   request with it has been answered since.  A request is blocked rather than a
   part that others share.  Below, "part" is either.  Reports and answers of
   all routers count: each sees only some of them.  Not thread-safe.  */

#ifndef CS_QUARANTINE_H
#define CS_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/clock.h"
#include "cranberrystile/id_list.h"

/* Number of parts that are under suspicion or blocked at a time.  */
#define CS_QUARANTINE_SUSPECTS 2048

/* Most parts, and most requests, that a report holds.  Of more parts those
   further back are reported: fewer requests share them.  */
#define CS_CRASH_PARTS_MAX 1024
#define CS_CRASH_REQUESTS_MAX 16

typedef struct
{
  uint32_t crashes;        /* of different targets, until a part is blocked */
  uint32_t crashes_served; /* likewise, if a request with the part was answered
                              less than SERVED_US ago */
  cs_time_us_t served_us;
  cs_time_us_t trusted_us;  /* a part is not suspected if a request with it was
                                answered less than this ago */
  cs_time_us_t evidence_us; /* how long a crash counts */
  cs_time_us_t block_us; /* length of the first block of a part; each one that
                            follows is twice as long */
} cs_quarantine_policy_t;

cs_quarantine_policy_t cs_quarantine_policy_default (void);

/* What may end a target that answers one or several requests.  */
typedef struct
{
  cs_id_list_t requests; /* their fingerprints */
  cs_id_list_t parts;    /* of their prompts */
} cs_causes_t;

typedef struct
{
  uint64_t target;    /* hash of the incarnation */
  cs_causes_t causes; /* of the requests that it was beginning to answer */
  cs_time_us_t at;
} cs_crash_t;

/* When a request with PART was answered, or when PART was blocked.  */
typedef struct
{
  uint64_t part;
  cs_time_us_t at;
} cs_part_time_t;

typedef enum
{
  CS_CRASH_KNOWN,  /* nothing new */
  CS_CRASH_NEW,    /* to be announced to peers */
  CS_CRASH_BLOCKED /* likewise; a part of it is now blocked */
} cs_crash_result_t;

/* Called for a part that is to be announced to peers.  */
typedef void cs_part_served_fn (void *context, const cs_part_time_t *served);

/* Called when PART is blocked after CRASHES, 0 if another router found that,
   or no longer is.  */
typedef void cs_part_blocked_fn (void *context, uint64_t part, bool is_blocked,
                                 uint32_t crashes);

typedef struct cs_quarantine cs_quarantine_t;

/* Returns NULL if memory is exhausted.  */
cs_quarantine_t *cs_quarantine_create (const cs_quarantine_policy_t *policy,
                                       cs_part_blocked_fn *on_blocked,
                                       void *context);
void cs_quarantine_destroy (cs_quarantine_t *quarantine);

/* Removes from CRASH what this router has just answered, and what a report has
   no room for.  Returns the number of parts that there was no room for.  */
uint32_t cs_quarantine_drop_answered (const cs_quarantine_t *quarantine,
                                      cs_crash_t *crash, cs_time_us_t now);

/* Records a crash that this router or a peer saw.  */
cs_crash_result_t cs_quarantine_add_crash (cs_quarantine_t *quarantine,
                                           const cs_crash_t *crash,
                                           cs_time_us_t now);

/* Calls ANNOUNCE for the parts of CRASH that this router has answered more
   recently than its peers know.  */
void cs_quarantine_list_served (cs_quarantine_t *quarantine,
                                const cs_crash_t *crash, cs_time_us_t now,
                                cs_part_served_fn *announce, void *context);

/* Records that this router has answered a request with CAUSES, and calls
   ANNOUNCE for those of them that peers are to be told of.  */
void cs_quarantine_served (cs_quarantine_t *quarantine,
                           const cs_causes_t *causes, cs_time_us_t now,
                           cs_part_served_fn *announce, void *context);

/* Records that a peer has.  Returns whether that is to be
   announced.  */
bool cs_quarantine_add_served (cs_quarantine_t *quarantine,
                               const cs_part_time_t *served, cs_time_us_t now);

/* Records that a peer, or the platform's store, has a part as blocked. Returns
   whether that was new.  It is not believed of a part that was answered less
   than SERVED_US ago, or if the block has ended.  */
bool cs_quarantine_block (cs_quarantine_t *quarantine,
                          const cs_part_time_t *blocked, cs_time_us_t now);

bool cs_quarantine_is_blocked (const cs_quarantine_t *quarantine,
                               uint64_t part, cs_time_us_t now);

/* Whether a request with CAUSES is blocked, and stores when that ends in
 *UNTIL.  */
bool cs_quarantine_blocks (cs_quarantine_t *quarantine,
                           const cs_causes_t *causes, cs_time_us_t now,
                           cs_time_us_t *until);

/* Stores the blocked parts in OUT and returns their number.  */
size_t cs_quarantine_list_blocked (const cs_quarantine_t *quarantine,
                                   cs_time_us_t now,
                                   cs_part_time_t out[CS_QUARANTINE_SUSPECTS]);

#endif
