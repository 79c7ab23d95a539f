#include "cranberrystile/cold_limit.h"

#include "common/hash.h"

#define PART_US (CS_US_PER_S / CS_COLD_PARTS)
#define RING_SIZE (CS_COLD_PARTS + 1)

/* Statements that travel, by peers or by the store, arrive late and then seem
   to be of a longer period.  They count if they say so much more.  */
#define MIN_LONGER_US (500 * CS_US_PER_MS)

/* What a peer says is late by the age of its message, again at each router
   that passes it on.  A period that was known is passed on as prolonged only
   if it is longer by more than that.  */
#define PEER_LONGER_US (1500 * CS_US_PER_MS)

/* A target that can't be reached is taken to be cold for so long after the
   last failure.  Routers without a permit send it nothing, and may not learn
   that others have reached it.  */
#define AWAY_MAX_US (20 * CS_US_PER_S)
/* Peers' reports of successes are up to so old: three hops of a heartbeat of
   0.3 s, and a margin.  */
#define REPORT_AGE_US (1500 * CS_US_PER_MS)
/* An entry that is read so long after an assumption was written after it: a
   target renews its entry every 1.2 s, and the rest is for delivery.  */
#define ENTRY_AGE_US (2 * CS_US_PER_S)

static cs_time_us_t
max_time (cs_time_us_t left, cs_time_us_t right)
{
  return left > right ? left : right;
}

uint32_t
cs_cold_permits (uint32_t per_s, size_t rank, size_t routers)
{
  if (routers == 0)
    return 0;
  return (uint32_t)(per_s / routers + (rank < per_s % routers));
}

uint64_t
cs_cold_score (uint64_t router, uint64_t incarnation)
{
  return cs_hash_pair (router, incarnation);
}

/* Whether STATEMENT surely was made after the latest cause to assume that the
   target is cold.  */
static bool
is_after_assumption (const cs_cold_limit_t *limit, cs_cold_source_t source,
                     cs_time_us_t now)
{
  return source == CS_COLD_ANSWER
         || (source == CS_COLD_ENTRY
             && now >= limit->assumed_at + ENTRY_AGE_US);
}

/* Whether STATEMENT, that the target is cold until UNTIL, says more than what
   was stated.  Answers are the latest word; the store's entry and what peers
   say may be older.  A peer's list is for routers that knew of no period.  */
static bool
is_newer (const cs_cold_limit_t *limit, const cs_cold_statement_t *statement,
          cs_time_us_t until, cs_time_us_t now)
{
  bool is_longer = until > limit->stated_until + MIN_LONGER_US;
  if (statement->source == CS_COLD_ANSWER)
    return true;
  if (statement->source == CS_COLD_LIST)
    return is_longer && limit->stated_until <= now;
  return is_longer || (limit->is_from_list && until > now);
}

/* Records that peers are told of a period until UNTIL, as SOURCE says, and
   returns whether they need to be.  */
static bool
tell_peers (cs_cold_limit_t *limit, cs_cold_source_t source,
            cs_time_us_t until)
{
  cs_time_us_t margin
      = source == CS_COLD_PEER ? PEER_LONGER_US : MIN_LONGER_US;
  if (source == CS_COLD_LIST || until <= limit->told_until + margin)
    return false;
  limit->told_until = until;
  return true;
}

bool
cs_cold_record (cs_cold_limit_t *limit, const cs_cold_statement_t *statement,
                cs_time_us_t now)
{
  cs_time_us_t remaining = statement->remaining_us < CS_COLD_MAX_US
                               ? statement->remaining_us
                               : CS_COLD_MAX_US;
  cs_time_us_t until = now + remaining;
  /* An answer may have ended the period that peers were told of.  */
  if (limit->stated_until <= now)
    limit->told_until = 0;
  if (is_newer (limit, statement, until, now))
    {
      limit->stated_until = until;
      limit->is_from_list = statement->source == CS_COLD_LIST;
    }
  if (is_after_assumption (limit, statement->source, now))
    {
      limit->until = limit->stated_until;
      limit->awaits_success = false;
    }
  limit->until = max_time (limit->until, limit->stated_until);
  /* Also if it confirms what a peer said and was not passed on.  */
  return remaining > 0 && limit->stated_until > now
         && tell_peers (limit, statement->source, until);
}

void
cs_cold_assume (cs_cold_limit_t *limit, cs_time_us_t until, cs_time_us_t now)
{
  if (until <= now)
    return;
  limit->assumed_at = now;
  limit->until = max_time (limit->until, until);
}

void
cs_cold_failed (cs_cold_limit_t *limit, cs_time_us_t start_us,
                cs_time_us_t now)
{
  if (start_us == 0)
    return;
  cs_cold_assume (limit, now + AWAY_MAX_US, now);
  limit->awaits_success = true;
}

void
cs_cold_succeeded (cs_cold_limit_t *limit, cs_time_us_t start_us,
                   bool by_peers, cs_time_us_t now)
{
  if (!limit->awaits_success
      || (by_peers && now < limit->assumed_at + REPORT_AGE_US))
    return;
  limit->awaits_success = false;
  limit->until = max_time (limit->stated_until, now + start_us);
}

bool
cs_cold_is_in_force (const cs_cold_limit_t *limit, cs_time_us_t now)
{
  return now < limit->until && limit->per_s > 0;
}

uint32_t
cs_cold_stated_ms (const cs_cold_limit_t *limit, cs_time_us_t now)
{
  if (limit->stated_until <= now || limit->is_from_list || limit->per_s == 0)
    return 0;
  return (uint32_t)((limit->stated_until - now) / CS_US_PER_MS);
}

/* Returns the number of the first part that may hold requests of the second
   before NOW.  */
static uint64_t
first_part (cs_time_us_t now)
{
  uint64_t part = now / PART_US;
  return part > CS_COLD_PARTS ? part - CS_COLD_PARTS : 0;
}

static uint32_t
count_sent (const cs_cold_limit_t *limit, cs_time_us_t now)
{
  uint32_t sum = 0;
  for (uint64_t part = first_part (now); part <= limit->latest_part; part++)
    sum += limit->sent[part % RING_SIZE];
  return sum;
}

bool
cs_cold_allows (const cs_cold_limit_t *limit, cs_time_us_t now)
{
  return !cs_cold_is_in_force (limit, now)
         || (limit->permits > 0 && count_sent (limit, now) < limit->permits);
}

cs_time_us_t
cs_cold_allows_at (const cs_cold_limit_t *limit, cs_time_us_t now)
{
  if (cs_cold_allows (limit, now))
    return now;
  if (limit->permits == 0)
    return limit->until;
  uint32_t sum = count_sent (limit, now);
  uint64_t part = first_part (now);
  while (sum >= limit->permits)
    sum -= limit->sent[part++ % RING_SIZE];
  /* The last part that was left out is out of the second by then.  */
  cs_time_us_t at = (part + CS_COLD_PARTS) * PART_US;
  return at < limit->until ? at : limit->until;
}

void
cs_cold_take (cs_cold_limit_t *limit, cs_time_us_t now)
{
  uint64_t part = now / PART_US;
  if (limit->per_s == 0)
    return;
  uint64_t next = first_part (now);
  if (next <= limit->latest_part)
    next = limit->latest_part + 1;
  for (; next <= part; next++)
    limit->sent[next % RING_SIZE] = 0;
  if (part > limit->latest_part)
    limit->latest_part = part;
  limit->sent[part % RING_SIZE]++;
}
