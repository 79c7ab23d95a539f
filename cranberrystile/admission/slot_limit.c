#include "cranberrystile/slot_limit.h"

#include <math.h>

#define HALF_LIFE_US (500 * CS_US_PER_MS)

/* A few late ones are long prompts or slow targets, whatever the load.  */
#define MAX_LATE_SHARE 0.5
#define MIN_LATE 1

/* Fewer slots hardly make answers earlier, and lateness may have other causes
   than load.  */
#define MIN_SHARE 0.25

/* Requests that were sent before a reduction may delay those sent after it for
   seconds.  */
#define MAX_WAIT_US (2 * CS_US_PER_S)

#define MIN_INTERVAL_US (250 * CS_US_PER_MS) /* between reductions */
#define RECOVERY_PER_S 0.2

static double
unused_share (const cs_slot_limit_t *limit, cs_time_us_t now)
{
  if (now <= limit->recovers_from)
    return limit->unused;
  double elapsed_s = (double)(now - limit->recovers_from) / CS_US_PER_S;
  return fmax (limit->unused - elapsed_s * RECOVERY_PER_S, 0);
}

static void
count (cs_slot_limit_t *limit, bool late, cs_time_us_t now)
{
  double decay = exp2 (-(double)(now - limit->counted_at) / HALF_LIFE_US);
  limit->firsts = limit->firsts * decay + 1;
  limit->late = limit->late * decay + late;
  limit->counted_at = now;
}

static void
reduce (cs_slot_limit_t *limit, cs_time_us_t now)
{
  double share = (1 - unused_share (limit, now)) / 2;
  limit->unused = 1 - fmax (share, MIN_SHARE);
  limit->reduced_at = now;
  limit->recovers_from = now + MAX_WAIT_US;
  limit->firsts = 0;
  limit->late = 0;
}

bool
cs_slot_limit_record (cs_slot_limit_t *limit, cs_time_us_t sent_at, bool late,
                      cs_time_us_t now)
{
  /* Those that were sent before do not tell what the reduction did.  */
  if (sent_at < limit->reduced_at)
    return false;
  if (now < limit->recovers_from)
    limit->recovers_from = now;
  count (limit, late, now);
  if (limit->late <= MIN_LATE + MAX_LATE_SHARE * limit->firsts
      || now < limit->reduced_at + MIN_INTERVAL_US)
    return false;
  reduce (limit, now);
  return true;
}

double
cs_slot_limit_share (const cs_slot_limit_t *limit, cs_time_us_t now)
{
  return 1 - unused_share (limit, now);
}
