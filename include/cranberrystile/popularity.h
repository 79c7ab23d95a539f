/* Estimates how many of a router's recent requests each context has.  A
   context that many callers ask for at once shows here long before the loads
   that other routers report.  */

#ifndef CS_POPULARITY_H
#define CS_POPULARITY_H

#include <stdint.h>

#include "common/clock.h"

/* Number of contexts that are counted.  Of those that share an entry the
   latest is.  */
#define CS_POPULARITY_CONTEXTS 512

/* A count of requests that decays.  */
typedef struct
{
  uint64_t key;
  double count; /* at AT */
  cs_time_us_t at;
} cs_popularity_count_t;

/* Initialise with zeros.  */
typedef struct
{
  cs_popularity_count_t contexts[CS_POPULARITY_CONTEXTS];
  cs_popularity_count_t all;
} cs_popularity_t;

typedef struct
{
  double share;      /* of all requests, from 0 to 1, before this one */
  double rate_per_s; /* with this one */
} cs_popularity_estimate_t;

/* Counts a request for the context KEY, and estimates how popular that is.  */
cs_popularity_estimate_t cs_popularity_record (cs_popularity_t *popularity,
                                               uint64_t key, cs_time_us_t now);

#endif
