/* Which requests a service that is full still takes.

   Beyond their slots targets hold a short queue.  Filled with whatever comes
   first, it delays the urgent and refuses them next; so once all slots are
   taken, only requests as urgent as the most urgent of the last seconds go on
   to it.  The others are told at once to come back.  Answers the patterns
   burst, hot organisation, half lost and pressing of docs/design/
   engine-model.md.  */

#ifndef CS_URGENCY_H
#define CS_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/chooser.h"

/* The most urgent requests of a service lately.  Initialise with zeros.  */
typedef struct
{
  bool is_known;
  uint32_t now_least; /* lowest priority of the period under way: 0 is the most
                         urgent */
  uint32_t before_least; /* of the period before */
  cs_time_us_t began;    /* the period under way */
} cs_urgency_t;

/* A request of PRIORITY has come.  */
void cs_urgency_seen (cs_urgency_t *urgency, uint32_t priority,
                      cs_time_us_t now);

/* Whether a request of PRIORITY, which has been seen, goes to the target of
   CHOICE: unless all slots are taken and others are more urgent.  */
bool cs_urgency_has_room (const cs_urgency_t *urgency, uint32_t priority,
                          const cs_choice_t *choice);

#endif
