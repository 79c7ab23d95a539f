#include "cranberrystile/start_wait.h"

/* The first list of routers may come from any replica of the store, within a
   few round trips.  */
#define MAX_DIRECTORY_WAIT_US (500 * CS_US_PER_MS)
/* Hubs that start at the same time may not listen yet.  They are dialled again
   within a second.  */
#define MAX_ABSENT_HUB_WAIT_US (1500 * CS_US_PER_MS)
/* A hub that starts at the same time has to read several pages first.  */
#define MAX_HUB_WAIT_US (2 * CS_US_PER_S)

bool
cs_start_waits (const cs_start_t *start, cs_time_us_t now)
{
  cs_time_us_t elapsed = now - start->started_at;
  if (!start->directory_answered)
    return elapsed < MAX_DIRECTORY_WAIT_US;
  if (start->is_preferred_hub)
    return false;
  return elapsed < (start->is_hub ? MAX_ABSENT_HUB_WAIT_US : MAX_HUB_WAIT_US);
}
