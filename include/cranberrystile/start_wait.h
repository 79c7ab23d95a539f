/* Decides whether a starting router leaves it to its hubs to read the
   platform's store.

   If all routers of a large fleet start at the same time and each of them
   reads the lists of targets, the store serves hosts x targets entries before
   the last router is ready.  If only the hubs read them, that is a small
   constant times the targets, and each hub passes the lists on to the routers
   of its data centre.  */

#ifndef CS_START_WAIT_H
#define CS_START_WAIT_H

#include <stdbool.h>

#include "common/clock.h"

typedef struct
{
  cs_time_us_t started_at;
  bool directory_answered; /* the first list of routers was read or failed */
  bool is_hub;             /* among the routers that can be reached */
  bool is_preferred_hub;   /* among all known routers */
} cs_start_t;

/* Whether a router that has no confirmed state yet waits at NOW.  The wait is
   bounded, whatever the store and the hubs do.  */
bool cs_start_waits (const cs_start_t *start, cs_time_us_t now);

#endif
