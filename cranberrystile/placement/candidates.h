/* The targets from which a call's one is chosen.  */

#ifndef CS_PLACEMENT_CANDIDATES_H
#define CS_PLACEMENT_CANDIDATES_H

#include "cranberrystile/chooser.h"
#include "cranberrystile/rank.h"

/* Which targets of the service are candidates.  */
typedef enum
{
  CANDIDATES_LOCAL,   /* in this router's data centre, not ejected */
  CANDIDATES_HEALTHY, /* not ejected */
  CANDIDATES_ALL      /* including ejected ones */
} candidate_filter_t;

/* Initialise with zeros.  TARGETS are borrowed from the fleet; MEMBERS are the
   same for cs_rank.  */
typedef struct
{
  cs_target_t **targets;
  cs_rank_member_t *members;
  size_t count;
  size_t capacity;
  bool avoided_cold; /* one was left out as it is cold */
} candidates_t;

void candidates_free (candidates_t *candidates);

/* Makes room for all targets of FLEET.  Call it before the functions below,
   with the same fleet.  Returns 0 or CS_ERR_NO_MEMORY.  */
int candidates_reserve (candidates_t *candidates, const cs_fleet_t *fleet);

/* Replaces the candidates by the targets for REQUEST that pass FILTER.
   Returns their number.  */
size_t candidates_collect (candidates_t *candidates, const cs_fleet_t *fleet,
                           const cs_choice_request_t *request,
                           candidate_filter_t filter, cs_time_us_t now);

/* Adds the leaving targets of the service and those in evacuated data centres:
   they get no calls, but hold their cached contexts until they are gone.  */
void candidates_add_sources (candidates_t *candidates, const cs_fleet_t *fleet,
                             const cs_choice_request_t *request);

/* Whether the service has targets in evacuated data centres.  */
bool candidates_are_evacuated (const cs_fleet_t *fleet,
                               const cs_choice_request_t *request);

/* Returns when the first of the usable targets that want no requests now takes
   one; 0 if there are none.  */
cs_time_us_t candidates_first_accepts_at (const cs_fleet_t *fleet,
                                          const cs_choice_request_t *request,
                                          cs_time_us_t now);

/* Requires at least one candidate.  */
cs_choice_service_t candidates_sum_up (const candidates_t *candidates);

/* Whether TARGET is in a region to which REQUEST is restricted.  */
bool candidates_is_allowed (const cs_choice_request_t *request,
                            const cs_target_t *target);

/* Whether TARGET is in the data centre of the router.  */
bool candidates_is_local (const cs_choice_request_t *request,
                          const cs_target_t *target);

#endif
