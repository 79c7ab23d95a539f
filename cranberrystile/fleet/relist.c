#include "cranberrystile/relist.h"

#define FIRST_PAUSE_MS 50
#define MIN_REPEAT_PAUSE_MS 4000
#define MAX_DOUBLINGS 3
/* The longest pause if the store has been restored since the last list.  */
#define NEW_ERA_PAUSE_MS 500
/* A watch that lost its history later than this had been in order.  */
#define SOUND_WATCH_US (1 * CS_US_PER_S)

void
cs_relist_watched (cs_relist_t *relist)
{
  relist->count = 0;
}

void
cs_relist_watch_lost (cs_relist_t *relist, cs_time_us_t begun_at,
                      cs_time_us_t now)
{
  if (now - begun_at > SOUND_WATCH_US)
    relist->count = 0;
}

void
cs_relist_ended (cs_relist_t *relist, cs_time_us_t now)
{
  relist->ended_at = now;
}

static uint32_t
repeat_pause_ms (const cs_relist_t *relist)
{
  uint32_t doublings = relist->count - 1;
  if (doublings > MAX_DOUBLINGS)
    doublings = MAX_DOUBLINGS;
  return MIN_REPEAT_PAUSE_MS << doublings;
}

uint32_t
cs_relist_pause_ms (cs_relist_t *relist, uint64_t era, cs_time_us_t now)
{
  uint32_t pause_ms = FIRST_PAUSE_MS;
  /* A router that leaves the watches to its hub needs a list after each outage
     of the hub, and has no watch in between that succeeds.  */
  if (relist->count > 0
      && now - relist->ended_at > repeat_pause_ms (relist) * CS_US_PER_MS)
    relist->count = 0;
  if (relist->count > 0)
    pause_ms = repeat_pause_ms (relist);
  if (relist->era != era && pause_ms > NEW_ERA_PAUSE_MS)
    pause_ms = NEW_ERA_PAUSE_MS;
  relist->era = era;
  relist->count++;
  return pause_ms;
}
