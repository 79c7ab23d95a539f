#include "cranberrystile/named_limit.h"

#include <math.h>

/* What a router may send of the rate, as a multiple of an equal part.  */
#define OWN_SHARE 1.5
/* Routers that learn of a limit have up to this many requests, at most one. In
   a large fleet each router's part of the rate is one request in minutes.  */
#define INITIAL_OWN 1.5
/* Requests that may be saved up, and those that may be owed, in seconds of the
   rate.  */
#define SAVED_S 0.5
#define OWED_S 2.0
/* Change of the rate that peers are told of, as a share of it.  */
#define MIN_CHANGE 0.1
/* Statements by way of peers are dated too late by the time on the way.  One
   that contradicts the latest has to be newer by more than that.  */
#define MIN_NEWER_US (250 * CS_US_PER_MS)
/* Interval at which a limit that has not changed is announced.  */
#define CONFIRM_US (3 * CS_US_PER_S)
/* A limit lapses after so long without a statement.  */
#define LAPSE_US (10 * CS_US_PER_S)

bool
cs_named_limit_is_in_force (const cs_named_limit_t *limit, cs_time_us_t now)
{
  return limit->is_limited && now < limit->stated_at + LAPSE_US;
}

static double
own_rate (const cs_named_limit_t *limit, double routers)
{
  return limit->per_s * fmin (1, OWN_SHARE / routers);
}

/* Returns LEVEL after it has risen at RATE since the limit was last filled. */
static double
fill (const cs_named_limit_t *limit, double level, double rate,
      cs_time_us_t now)
{
  double elapsed_s = now > limit->filled_at ? (double)(now - limit->filled_at)
                                                  / (double)CS_US_PER_S
                                            : 0;
  return fmin (level + elapsed_s * rate, fmax (1, rate * SAVED_S));
}

static double
own_level (const cs_named_limit_t *limit, double routers, cs_time_us_t now)
{
  return fill (limit, limit->own, own_rate (limit, routers), now);
}

static double
all_level (const cs_named_limit_t *limit, cs_time_us_t now)
{
  return fill (limit, limit->all, limit->per_s, now);
}

static void
begin (cs_named_limit_t *limit, double unit, cs_time_us_t now)
{
  limit->own = fmin (1, INITIAL_OWN * unit);
  limit->all = 0;
  limit->filled_at = now;
  limit->sent = 0;
  limit->peers_sent = 0;
}

/* Whether peers were told what STATEMENT says, or nearly so.  */
static bool
is_same (const cs_named_limit_t *limit, const cs_limit_statement_t *statement)
{
  if (!limit->is_limited || !statement->is_limited)
    return limit->is_limited == statement->is_limited;
  return fabs (statement->per_s - limit->announced_per_s)
         <= MIN_CHANGE * limit->announced_per_s;
}

/* Whether a peer's STATEMENT is new enough to be believed and passed on.  */
static bool
is_new (const cs_named_limit_t *limit, const cs_limit_statement_t *statement,
        bool same, cs_time_us_t now)
{
  if (!statement->is_limited && !limit->is_limited)
    return false;
  return now < statement->at + LAPSE_US
         && statement->at
                >= limit->stated_at + (same ? CONFIRM_US / 2 : MIN_NEWER_US);
}

/* Whether this router tells its peers what an answer says.  That a limit has
   ended is repeated for as long as some of them may believe in it.  */
static bool
should_announce (const cs_named_limit_t *limit,
                 const cs_limit_statement_t *statement, bool same,
                 cs_time_us_t now)
{
  if (!statement->is_limited && !limit->is_limited
      && now >= limit->ended_at + LAPSE_US)
    return false;
  bool begins_or_ends = limit->is_limited != statement->is_limited;
  return begins_or_ends
         || now >= limit->announced_at + (same ? CONFIRM_US : MIN_NEWER_US);
}

cs_limit_result_t
cs_named_limit_record (cs_named_limit_t *limit,
                       const cs_limit_statement_t *statement, double unit,
                       cs_time_us_t now)
{
  if (!statement->is_limited && limit->stated_at == 0)
    return CS_LIMIT_KNOWN;
  bool same = is_same (limit, statement);
  bool announce = statement->hops > 0
                      ? is_new (limit, statement, same, now)
                      : should_announce (limit, statement, same, now);
  if (statement->hops > 0 && !announce)
    return CS_LIMIT_KNOWN;
  if (statement->is_limited && !cs_named_limit_is_in_force (limit, now))
    begin (limit, unit, now);
  if (!statement->is_limited && limit->is_limited)
    limit->ended_at = statement->at;
  limit->is_limited = statement->is_limited;
  limit->per_s = statement->per_s;
  limit->stated_at = statement->at;
  if (!announce)
    return CS_LIMIT_KNOWN;
  limit->announced_at = now;
  limit->announced_per_s = statement->per_s;
  return same ? CS_LIMIT_CONFIRMED : CS_LIMIT_CHANGED;
}

bool
cs_named_limit_lapse (cs_named_limit_t *limit, cs_time_us_t now)
{
  if (!limit->is_limited || cs_named_limit_is_in_force (limit, now))
    return false;
  limit->is_limited = false;
  limit->ended_at = 0;
  return true;
}

bool
cs_named_limit_allows (const cs_named_limit_t *limit, double routers,
                       cs_time_us_t now)
{
  return !cs_named_limit_is_in_force (limit, now)
         || (own_level (limit, routers, now) >= 1
             && all_level (limit, now) > 0);
}

cs_time_us_t
cs_named_limit_allows_at (const cs_named_limit_t *limit, double routers,
                          cs_time_us_t now)
{
  cs_time_us_t lapses_at = limit->stated_at + LAPSE_US;
  if (!cs_named_limit_is_in_force (limit, now))
    return now;
  if (limit->per_s <= 0)
    return lapses_at;
  double own_s
      = (1 - own_level (limit, routers, now)) / own_rate (limit, routers);
  double all_s = -all_level (limit, now) / limit->per_s;
  double wait_s = fmax (fmax (own_s, all_s), 0);
  double lapse_s = (double)(lapses_at - now) / (double)CS_US_PER_S;
  return now + (cs_time_us_t)(fmin (wait_s, lapse_s) * CS_US_PER_S);
}

/* Brings both levels up to date, so that they can be reduced.  */
static void
update_levels (cs_named_limit_t *limit, double routers, cs_time_us_t now)
{
  limit->own = own_level (limit, routers, now);
  limit->all = all_level (limit, now);
  limit->filled_at = now;
}

static void
spend_of_all (cs_named_limit_t *limit, uint32_t count)
{
  limit->all = fmax (limit->all - count, -1 - OWED_S * limit->per_s);
}

void
cs_named_limit_take (cs_named_limit_t *limit, double routers, cs_time_us_t now)
{
  if (!cs_named_limit_is_in_force (limit, now))
    return;
  update_levels (limit, routers, now);
  limit->own = fmax (limit->own - 1, 0);
  spend_of_all (limit, 1);
  limit->sent++;
}

void
cs_named_limit_set_peers_sent (cs_named_limit_t *limit, uint32_t sent,
                               double routers, cs_time_us_t now)
{
  uint32_t more = sent > limit->peers_sent ? sent - limit->peers_sent : 0;
  limit->peers_sent = sent;
  if (more == 0 || !cs_named_limit_is_in_force (limit, now))
    return;
  update_levels (limit, routers, now);
  spend_of_all (limit, more);
}
