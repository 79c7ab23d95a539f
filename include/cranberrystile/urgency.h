/* Which requests a service that is full still takes.

   Beyond their slots targets hold a short queue.  Filled with whatever comes
   first, it delays the urgent and refuses them next.  So once all slots are
   taken, the least urgent requests are told at once to come back, and the
   fuller the service, the more of them; in the end only the most urgent go on
   to the queues.  Answers the patterns burst, hot organisation, half lost and
   pressing of docs/design/engine-model.md.  */

#ifndef CS_URGENCY_H
#define CS_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/chooser.h"

/* Ranks that are told apart, enough for eight different priorities; the rest
   count as the last one.  */
#define CS_URGENCY_RANKS 64

/* Requests of a service by rank, fading.  Initialise with zeros.  */
typedef struct
{
  double seen[CS_URGENCY_RANKS];
  cs_time_us_t at;
} cs_urgency_t;

/* A request of RANK has come; 0 is the most urgent.  */
void cs_urgency_seen (cs_urgency_t *urgency, uint32_t rank, cs_time_us_t now);

/* Whether a request of RANK, which has been seen, goes to the target of
   CHOICE.  */
bool cs_urgency_has_room (const cs_urgency_t *urgency, uint32_t rank,
                          const cs_choice_t *choice);

#endif
