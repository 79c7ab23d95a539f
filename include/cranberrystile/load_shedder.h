/* Load shedding by priority for a service whose slots are all in use.

   Targets hold a short queue beyond their slots.  Filled in order of arrival,
   it would delay urgent requests and then refuse them.  So once all slots are
   in use, the least urgent requests are refused at once with a retry time, and
   the fuller the queues, the higher the priority that is still admitted.

   Loads are known as they were some tenths of a second ago.  If all routers
   went by them, they would admit too much until the queues show, and then too
   little.  So the loads that others caused are assumed to have changed since
   then as this router's own calls in flight have, and half of a target's
   difference from the mean is assumed to be gone.

   While first events come late, only a part of the slots is used
   (cs_slot_limit_t).  The most urgent requests are then refused too beyond it:
   each one more would delay all others.

   Covers the load patterns burst, hot organisation, half lost and pressing of
   docs/design/engine-model.md.  */

#ifndef CS_LOAD_SHEDDER_H
#define CS_LOAD_SHEDDER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/delayed_count.h"
#include "cranberrystile/slot_limit.h"

/* Ranks are pairs of priorities, so 64 covers eight distinct priorities;
   higher ranks count as the last one.  */
#define CS_LOAD_SHEDDER_MAX_RANKS 64

/* Exponentially decaying counts of a service's requests by rank.
   Zero-initialise.  */
typedef struct
{
  double arrivals[CS_LOAD_SHEDDER_MAX_RANKS];
  cs_time_us_t updated_at;
  cs_delayed_count_t own; /* calls of this router in flight */
  cs_slot_limit_t slot_limit;
} cs_load_shedder_t;

/* Records the arrival of a request of RANK; 0 is the most urgent.  */
void cs_load_shedder_record (cs_load_shedder_t *shedder, uint32_t rank,
                             cs_time_us_t now);

/* Whether a request of RANK, which has been recorded, may be sent to the
   target of CHOICE.  */
bool cs_load_shedder_admits (cs_load_shedder_t *shedder, uint32_t rank,
                             const cs_choice_t *choice, cs_time_us_t now);

#endif
