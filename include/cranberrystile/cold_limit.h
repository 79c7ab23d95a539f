/* How long a target is cold, and how many requests this router may send it
   while it is.

   A cold target handles a few requests a second from all routers together and
   crashes at rates well above that.  The requests of each second are dealt to
   the routers as fixed shares, so that no router has to ask another one and a
   network partition changes no share.  Not thread-safe.  */

#ifndef CS_COLD_LIMIT_H
#define CS_COLD_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/* The second in which requests are counted is divided into this many parts. */
#define CS_COLD_PARTS 32

/* Longer cold periods are taken to be this long.  They are stated again while
   they last.  */
#define CS_COLD_MAX_US (60 * CS_US_PER_S)

typedef enum
{
  CS_COLD_ANSWER, /* a response of the target to this router */
  CS_COLD_ENTRY,  /* its entry in the platform's store */
  CS_COLD_PEER,   /* another router's notice */
  CS_COLD_LIST    /* another router's list of targets */
} cs_cold_source_t;

/* What is said of a target: it is cold for REMAINING_US, 0 if it isn't.  */
typedef struct
{
  cs_cold_source_t source;
  cs_time_us_t remaining_us;
} cs_cold_statement_t;

/* Of one target.  Zero-initialise: not cold, no limit.  */
typedef struct
{
  uint32_t per_s;     /* requests a second from all routers; 0: no limit */
  uint32_t permits;   /* this router's in any second of a cold period */
  cs_time_us_t until; /* when the cold period ends, as stated or as assumed;
                         0: none was known */
  cs_time_us_t stated_until; /* as stated; never above UNTIL */
  bool is_from_list;         /* stated by a peer's list, and not passed on */
  cs_time_us_t assumed_at;   /* latest cause for an assumption */
  bool awaits_success;       /* since a connection to it failed */
  bool is_logged;            /* that it is cold */
  cs_time_us_t told_until;   /* the end that peers know */
  uint64_t notice;      /* number of the latest notice to peers; 0: none */
  uint64_t told_by;     /* the peer from which it came; 0: none */
  uint32_t notice_hops; /* routers that have passed it on */
  uint64_t latest_part; /* number of the part of the latest request */
  uint32_t sent[CS_COLD_PARTS + 1]; /* in the latest parts, as a ring */
} cs_cold_limit_t;

/* Returns the part of the PER_S requests a second that goes to the router with
   this RANK, from 0, among so many ROUTERS; 0 if ROUTERS is 0.  */
uint32_t cs_cold_permits (uint32_t per_s, size_t rank, size_t routers);

/* Returns the number by which routers are ranked for a target, the highest one
   first.  Both arguments are hashes.  */
uint64_t cs_cold_score (uint64_t router, uint64_t incarnation);

/* Records STATEMENT if it is newer than what is known.  Returns whether peers
   need to be told: they don't know that the target is cold for so long.  */
bool cs_cold_record (cs_cold_limit_t *limit,
                     const cs_cold_statement_t *statement, cs_time_us_t now);

/* The target is taken to be cold until UNTIL, or as long as is stated if that
   is longer.  */
void cs_cold_assume (cs_cold_limit_t *limit, cs_time_us_t until,
                     cs_time_us_t now);

/* The target can't be reached: it may come back cold, for START_US from its
   first success on.  */
void cs_cold_failed (cs_cold_limit_t *limit, cs_time_us_t start_us,
                     cs_time_us_t now);

/* The target has responded successfully, to this router or, if BY_PEERS, to
   others, as they report a moment later.  */
void cs_cold_succeeded (cs_cold_limit_t *limit, cs_time_us_t start_us,
                        bool by_peers, cs_time_us_t now);

/* Whether the target is cold and its requests are limited.  */
bool cs_cold_is_in_force (const cs_cold_limit_t *limit, cs_time_us_t now);

/* Returns for how much longer it is cold, in milliseconds, as peers may be
   told; 0 if it isn't, nobody has stated it, or only a peer's list has.  */
uint32_t cs_cold_stated_ms (const cs_cold_limit_t *limit, cs_time_us_t now);

/* Whether this router may send the target a request now.  */
bool cs_cold_allows (const cs_cold_limit_t *limit, cs_time_us_t now);

/* Returns when it may send the next one.  */
cs_time_us_t cs_cold_allows_at (const cs_cold_limit_t *limit,
                                cs_time_us_t now);

/* Counts a request that this router sends.  Call it for targets that aren't
   cold, too: those sent just before a cold period count.  */
void cs_cold_take (cs_cold_limit_t *limit, cs_time_us_t now);

#endif
