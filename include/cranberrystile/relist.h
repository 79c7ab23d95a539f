/* Decides how long to wait before a list that replaces a watch whose history
   the store no longer has.  */

#ifndef CS_RELIST_H
#define CS_RELIST_H

#include <stdint.h>

#include "common/clock.h"

/* Zero-initialise.  */
typedef struct
{
  uint32_t count;        /* of lists since a watch was last in order */
  uint64_t era;          /* of the store when the last of them was scheduled */
  cs_time_us_t ended_at; /* end of the last list */
} cs_relist_t;

/* Records that a watch was in order.  */
void cs_relist_watched (cs_relist_t *relist);

/* Records that a watch, begun at BEGUN_AT, has lost its history.  */
void cs_relist_watch_lost (cs_relist_t *relist, cs_time_us_t begun_at,
                           cs_time_us_t now);

/* Records that a list has ended.  */
void cs_relist_ended (cs_relist_t *relist, cs_time_us_t now);

/* Returns the pause before a list of the store, which is in ERA, that becomes
   necessary at NOW.  The first list is urgent, since changes may have been
   missed.  The pauses grow while the history is lost soon after each list:
   another one is of little use then.  */
uint32_t cs_relist_pause_ms (cs_relist_t *relist, uint64_t era,
                             cs_time_us_t now);

#endif
