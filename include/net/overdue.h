/* A timeout that reads what has arrived before it decides.  After a time
   without the processor, timers run before the event loop has read what came
   meanwhile.  */

#ifndef CS_NET_OVERDUE_H
#define CS_NET_OVERDUE_H

#include <stdbool.h>

#include "common/clock.h"

/* When the timeout first put its decision off; 0: not yet.  */
typedef struct
{
  cs_time_us_t since;
} cs_overdue_t;

/* Whether the timeout may put its decision off once more: what had arrived is
   read in that time, and a peer that sends without end gains no more.  */
bool cs_overdue_may_read (cs_overdue_t *overdue, cs_time_us_t now);

#endif
