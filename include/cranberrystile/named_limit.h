/* The rate of requests that a target takes from all routers together, as it
   names it in its answers, and what this router may send of that.

   Each router has a part of the rate, half as much again as an equal one, as
   some have more callers than others.  It also follows what all routers have
   sent, as they report it: together they keep to the rate, and where reports
   are late or missing, to one and a half times that.  Not thread-safe.  */

#ifndef CS_NAMED_LIMIT_H
#define CS_NAMED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* What a target said in an answer.  */
typedef struct
{
  bool is_limited;
  double per_s; /* if limited */
  cs_time_us_t at;
  uint32_t hops; /* routers that passed it on; 0: this router's own answer */
} cs_limit_statement_t;

/* Of one target.  Zero-initialise: no limit.  */
typedef struct
{
  bool is_limited;
  double per_s;
  double announced_per_s;
  cs_time_us_t stated_at;    /* latest statement; 0: none */
  cs_time_us_t ended_at;     /* when the target named none; 0: not yet */
  cs_time_us_t announced_at; /* to peers; 0: never */
  double own; /* requests that this router may send, as of FILLED_AT */
  double all; /* likewise, all routers; negative after too many */
  cs_time_us_t filled_at;
  uint32_t sent;       /* by this router since the limit began */
  uint32_t peers_sent; /* others', as last reported */
} cs_named_limit_t;

typedef enum
{
  CS_LIMIT_KNOWN,     /* nothing new */
  CS_LIMIT_CONFIRMED, /* to be announced to peers, which may not know it or may
                         think that it has lapsed */
  CS_LIMIT_CHANGED    /* to be announced; began, ended, or has another rate */
} cs_limit_result_t;

/* Records STATEMENT.  UNIT is a random number from 0 up to 1: routers that
   learn of a limit together should not send together.  */
cs_limit_result_t cs_named_limit_record (cs_named_limit_t *limit,
                                         const cs_limit_statement_t *statement,
                                         double unit, cs_time_us_t now);

/* Ends a limit that no router has confirmed for too long: a target that gets
   no requests can't say that it names none.  Returns whether it ended.  */
bool cs_named_limit_lapse (cs_named_limit_t *limit, cs_time_us_t now);

bool cs_named_limit_is_in_force (const cs_named_limit_t *limit,
                                 cs_time_us_t now);

/* Whether the limit allows a request now.  ROUTERS is the number of routers,
   with this one.  */
bool cs_named_limit_allows (const cs_named_limit_t *limit, double routers,
                            cs_time_us_t now);

/* Returns when it will allow one if other routers send none until then.  */
cs_time_us_t cs_named_limit_allows_at (const cs_named_limit_t *limit,
                                       double routers, cs_time_us_t now);

/* Counts a request that this router sends.  */
void cs_named_limit_take (cs_named_limit_t *limit, double routers,
                          cs_time_us_t now);

/* The other routers have sent SENT requests in total since the limit began.  A
   lower number than before is of a different set of routers.  */
void cs_named_limit_set_peers_sent (cs_named_limit_t *limit, uint32_t sent,
                                    double routers, cs_time_us_t now);

#endif
