/* Detects that some requests, such as those of one organisation or on one
   route, suddenly become many times as frequent.

   A router sees that in its own requests within some tenths of a second, which
   is before the loads that other routers report show anything.  Until they do,
   a target that is the first home of a context would get all of its
   requests.  */

#ifndef CS_SURGE_H
#define CS_SURGE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Number of groups of requests that are counted.  Of those that share an entry
   the latest is.  */
#define CS_SURGE_GROUPS 256

/* Counts that decay, over tenths of a second and over seconds.  */
typedef struct
{
  uint64_t key;
  double recent;  /* at AT */
  double earlier; /* likewise */
  cs_time_us_t at;
} cs_surge_count_t;

/* Initialise with zeros.  */
typedef struct
{
  cs_surge_count_t groups[CS_SURGE_GROUPS];
  cs_surge_count_t all;
} cs_surge_t;

/* Counts a request.  */
void cs_surge_record_request (cs_surge_t *surge, cs_time_us_t now);

/* Counts a request of the group KEY; 0 is no group.  Call it after
   cs_surge_record_request.  Returns whether the group surges, to at least
   MIN_RECENT requests in a third of a second.  */
bool cs_surge_record (cs_surge_t *surge, uint64_t key, double min_recent,
                      cs_time_us_t now);

#endif
