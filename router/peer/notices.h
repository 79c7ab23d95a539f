/* Notices: what a router learnt of targets, and passes on to its peers without
   waiting for the next heartbeat.  Private to router/peer.  */

#ifndef CS_ROUTER_PEER_NOTICES_H
#define CS_ROUTER_PEER_NOTICES_H

#include "cranberrystile/fleet.h"
#include "cranberrystile/quarantine.h"
#include "router.pb-c.h"

/* Routers that pass a notice on: two hubs in each of two data centres, and the
   member that reports it.  */
#define CS_MAX_HOPS 6

/* Number of notices that are kept for links that have not sent them yet.  */
#define CS_NOTICES 256

/* Notices of one kind in the present second.  */
typedef struct
{
  cs_time_us_t second_began_at;
  uint32_t count;
} cs_notice_rate_t;

/* Targets that have said something of themselves, in a ring.  */
typedef struct
{
  cs_target_t *targets[CS_NOTICES]; /* references */
  uint32_t hops[CS_NOTICES];        /* routers that have passed it on */
  uint64_t count;                   /* of all notices so far */
  cs_notice_rate_t rate;
} cs_notices_t;

/* A cold target, as it is sent to all peers except the one that told of it. */
typedef struct
{
  Cs__Router__Cold message;
  uint64_t told_by;
} cs_cold_notice_t;

/* Targets that are cold.  The latest notice of each is kept at the target;
   the last ones that were collected from there are kept here for further links
   that have sent as many.  */
typedef struct
{
  uint64_t count; /* of all notices so far */
  cs_cold_notice_t *notices;
  Cs__Router__Cold **messages; /* scratch array, as long as NOTICES */
  size_t collected;
  size_t capacity;
  uint64_t since; /* number of the notice after which they were collected */
  uint64_t until; /* of the last notice then */
  cs_time_us_t collected_at; /* 0: never */
} cs_cold_notices_t;

/* Number of crash notices that are kept for links that have not sent them
   yet.  */
#define CS_CRASH_NOTICES 128

typedef enum
{
  CS_NOTICE_CRASH,
  CS_NOTICE_SERVED,
  CS_NOTICE_BLOCKED
} cs_crash_notice_kind_t;

typedef struct
{
  cs_crash_notice_kind_t kind;
  uint32_t hops;
  union
  {
    cs_crash_t crash;
    cs_part_time_t part; /* served or blocked */
  };
} cs_crash_notice_t;

/* What was learnt of parts under which targets crash, in a ring.  */
typedef struct
{
  cs_crash_notice_t notices[CS_CRASH_NOTICES];
  uint64_t count; /* of all notices so far */
  cs_notice_rate_t rate;
} cs_crash_notices_t;

/* Accepts NULL.  */
void cs_crash_notices_free (cs_crash_notices_t *ring);

#endif
