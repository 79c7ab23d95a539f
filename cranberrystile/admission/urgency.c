#include "cranberrystile/urgency.h"

#include <math.h>

/* Long beside the pauses between requests of a rank at a busy service, short
   beside the time for which a mix of requests lasts.  */
#define HALF_LIFE_US (3 * CS_US_PER_S)

/* Only the most urgent are taken once the queues hold this part of the slots.
   With 0.1 and 0.2 the queues delayed and starved more (docs/design/
   engine-model.md).  */
#define FULL_SHARE 0.05

/* Few requests of a rank that is hardly used do not make all others less
   urgent.  */
#define SHARE_THAT_COUNTS 0.01

static uint32_t
clip (uint32_t rank)
{
  return rank < CS_URGENCY_RANKS ? rank : CS_URGENCY_RANKS - 1;
}

void
cs_urgency_seen (cs_urgency_t *urgency, uint32_t rank, cs_time_us_t now)
{
  if (now > urgency->at)
    {
      double faded = exp2 (-(double)(now - urgency->at) / HALF_LIFE_US);
      for (uint32_t i = 0; i < CS_URGENCY_RANKS; i++)
        urgency->seen[i] *= faded;
      urgency->at = now;
    }
  urgency->seen[clip (rank)] += 1;
}

/* Share of the requests that are more urgent than RANK.  */
static double
more_urgent (const cs_urgency_t *urgency, uint32_t rank)
{
  double all = 0;
  double before = 0;
  for (uint32_t i = 0; i < CS_URGENCY_RANKS; i++)
    {
      all += urgency->seen[i];
      if (i < clip (rank))
        before += urgency->seen[i];
    }
  return all == 0 ? 0 : before / all;
}

bool
cs_urgency_has_room (const cs_urgency_t *urgency, uint32_t rank,
                     const cs_choice_t *choice)
{
  double slots = choice->target->slots;
  double load = choice->mean < choice->load ? choice->mean : choice->load;
  if (slots == 0 || load < slots)
    return true;
  double fullness = (load - slots) / (FULL_SHARE * slots);
  double before = more_urgent (urgency, rank);
  return before < SHARE_THAT_COUNTS || before < 1 - fullness;
}
