#include "cranberrystile/load_shedder.h"

#include <math.h>

/* Much longer than the time between requests of one rank at a busy service,
   and much shorter than the time for which a mix of priorities persists.  */
#define HALF_LIFE_US (3 * CS_US_PER_S)

/* Queue length, as a share of the slots, at which only the most urgent
   requests are admitted.  With 0.1 and 0.2, more requests were delayed and
   starved in the queues (docs/design/engine-model.md).  */
#define FULL_QUEUE_SHARE 0.05

/* While only a part of the slots is used: by how much of the unused share the
   least urgent are refused before that part is full, and how full the most
   urgent may make it, where 1 is the end of the queue.  */
#define EARLY_SHARE 0.6
#define MAX_FULLNESS 1.5

/* A rank counts as the most urgent when the ranks above it make up less than
   this share, so that a few requests of a rare rank don't cause all others to
   be shed.  */
#define MIN_SHARE 0.01

/* Calls added to either count, as the ratio of small ones is mostly chance. */
#define RATIO_PRIOR 0.5

static uint32_t
clamp_rank (uint32_t rank)
{
  return rank < CS_LOAD_SHEDDER_MAX_RANKS ? rank
                                          : CS_LOAD_SHEDDER_MAX_RANKS - 1;
}

void
cs_load_shedder_record (cs_load_shedder_t *shedder, uint32_t rank,
                        cs_time_us_t now)
{
  if (now > shedder->updated_at)
    {
      double decay
          = exp2 (-(double)(now - shedder->updated_at) / HALF_LIFE_US);
      for (uint32_t i = 0; i < CS_LOAD_SHEDDER_MAX_RANKS; i++)
        shedder->arrivals[i] *= decay;
      shedder->updated_at = now;
    }
  shedder->arrivals[clamp_rank (rank)] += 1;
}

/* Share of recent requests that are more urgent than RANK.  */
static double
more_urgent_share (const cs_load_shedder_t *shedder, uint32_t rank)
{
  double total = 0;
  double above = 0;
  for (uint32_t i = 0; i < CS_LOAD_SHEDDER_MAX_RANKS; i++)
    {
      total += shedder->arrivals[i];
      if (i < clamp_rank (rank))
        above += shedder->arrivals[i];
    }
  return total == 0 ? 0 : above / total;
}

/* Returns by what factor the calls of this router have changed since the loads
   were reported.  */
static double
record_own (cs_load_shedder_t *shedder, uint32_t own, cs_time_us_t now)
{
  uint32_t earlier = cs_delayed_count_record (&shedder->own, own, now);
  return (own + RATIO_PRIOR) / (earlier + RATIO_PRIOR);
}

/* Returns the estimated present load of the target of CHOICE, or the mean if
   that is less.  CHANGE applies to what other routers caused.  */
static double
present_load (const cs_choice_t *choice, double change)
{
  double mean = choice->mean;
  double others = 1 - choice->own / (mean * choice->live);
  double load = choice->load + (mean - choice->load) * others / 2;
  return fmin (mean, load) * (1 + (change - 1) * others);
}

bool
cs_load_shedder_admits (cs_load_shedder_t *shedder, uint32_t rank,
                        const cs_choice_t *choice, cs_time_us_t now)
{
  double share = cs_slot_limit_share (&shedder->slot_limit, now);
  double slots = choice->target->slots * share;
  double refused_from = slots * (1 - EARLY_SHARE * (1 - share));
  double change = record_own (shedder, choice->own, now);
  /* The change at one router alone is no sign that all slots are in use.  */
  if (slots == 0 || choice->mean < refused_from)
    return true;
  double load = present_load (choice, change);
  if (load < refused_from)
    return true;
  double full_at = slots * (1 + FULL_QUEUE_SHARE);
  double fullness = (load - refused_from) / (full_at - refused_from);
  if (share < 1 && fullness >= MAX_FULLNESS)
    return false;
  double above = more_urgent_share (shedder, rank);
  return above < MIN_SHARE || above < 1 - fullness;
}
