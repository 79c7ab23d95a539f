/* The figures by which targets are chosen, and the limits that follow from
   them.  */

#ifndef CS_CHOICE_POLICY_H
#define CS_CHOICE_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/* Loads are in calls in flight.  */
typedef struct
{
  /* A home is used while its load is below HOME_FACTOR * mean + HOME_EXTRA and
     below HOME_MAX_SLOT_SHARE of its slots.  The limit by slots is raised to
     mean + HOME_EXTRA where that is larger, since then all targets are as
     busy.  */
  double home_factor;
  double home_extra;
  double home_max_slot_share;
  uint32_t homes; /* number of homes of a context */
  /* A context that would fill its homes beyond HOT_FACTOR * mean + HOT_EXTRA
     gets more of them.  */
  double hot_factor;
  double hot_extra;
  /* A context whose first home was above its limit is spread over all of its
     homes for this long.  If it went back as soon as the home is below the
     limit, all routers would do so at the same time and overload it again
     before their views show that.  */
  cs_time_us_t spread_us;
  /* While this share of all slots is taken, each context is spread over
     BUSY_HOMES homes: with single homes, those whose contexts happen to get
     many calls at a time exceed the mean by far.  Where BUSY_TARGET_SHARE of
     the targets are fewer, each target has so many contexts that this evens
     out, and the usual homes are kept.  */
  double busy_slot_share;
  uint32_t busy_homes;
  double busy_target_share;
  /* Requests that surge are spread over this share of the targets, if that is
     more than the usual number of homes.  */
  double surge_share;
  /* They surge from this many at one router in a third of a second, and from
     SURGE_PER_TARGET at all routers for each target: fewer overload none.  */
  double surge_min_recent;
  double surge_per_target;
  cs_time_us_t view_age_us; /* of the loads at other routers */
  uint32_t remote_penalty;  /* added to the load of a target in another data
                               centre */
  /* Added to the load of a target at which all calls fail, and in proportion
     to the failure rate where only some do.  ONCE is for requests that must
     not be executed twice, REPEATABLE is for all others.  */
  double failure_penalty_once;
  double failure_penalty_repeatable;
  /* Failure rate from which a home is not used for requests that must not be
     executed twice.  */
  double home_max_failure_rate;
} cs_choice_policy_t;

/* The targets of a service from which one is chosen.  */
typedef struct
{
  size_t count;
  double mean;       /* load of a target that names no limit */
  double mean_slots; /* of those of which they are known; 0 if of none */
  uint32_t own;      /* this router's part of the sum of the loads */
  double mean_calls; /* in flight at a target, whatever its weight */
} cs_choice_service_t;

cs_choice_policy_t cs_choice_policy_default (void);

/* Returns the load below which a home with SLOTS (0: unknown) is used.  MEAN
   is the mean load of its service.  */
double cs_choice_home_limit (const cs_choice_policy_t *policy, uint32_t slots,
                             double mean);

/* Returns the number of homes over which the calls for a context that has
   SHARE of the calls of SERVICE have to be spread so that each of them stays
   near the mean: at least the usual number, and more if such requests surge or
   the service is busy.  It doesn't depend on the loads of single targets, of
   which the view lags behind a burst.  */
uint32_t cs_choice_homes_needed (const cs_choice_policy_t *policy,
                                 const cs_choice_service_t *service,
                                 double share, bool surges);

/* Returns the number of recent requests at one of the ROUTERS from which they
   surge.  The service has COUNT targets.  */
double cs_choice_min_surge (const cs_choice_policy_t *policy, size_t count,
                            double routers);

#endif
