/* Finds faults of a configuration that can be decoded: entries that can never
   match, and values that contradict each other.  */

#ifndef CS_ROUTING_CHECK_H
#define CS_ROUTING_CHECK_H

#include "cranberrystile/findings.h"
#include "cranberrystile/routing.h"

/* Length of the text that cs_routing_mask_key writes, with its end.  */
#define CS_MASKED_KEY_SIZE 16

/* Whether cs_routing_find_route returns ROUTE, which belongs to ROUTING, for
   the host and path of any request.  */
bool cs_routing_is_reachable (const cs_routing_t *routing,
                              const cs_route_t *route);

/* Writes the beginning of KEY, which is a secret, to OUT: enough to recognise
   it, and at most a quarter of it.  */
void cs_routing_mask_key (cs_str_t key, char out[CS_MASKED_KEY_SIZE]);

/* Adds the faults of ROUTING to FINDINGS.  */
void cs_routing_check (const cs_routing_t *routing, cs_findings_t *findings);

/* Parts of cs_routing_check: duplicates, and entries that nothing uses;
   timeouts, objectives, attempts and sizes.  */
void cs_routing_check_entries (const cs_routing_t *routing,
                               cs_findings_t *findings);
void cs_routing_check_limits (const cs_routing_t *routing,
                              cs_findings_t *findings);

/* Which service a target belongs to, and where it is.  */
typedef struct
{
  cs_name_t service;
  cs_name_t data_centre;
} cs_target_place_t;

/* The targets that are there, and the regions of their data centres.  */
typedef struct
{
  cs_target_place_t *list;
  size_t count;
  const cs_setting_pairs_t *regions; /* as for cs_region_list_allows */
} cs_target_places_t;

/* Adds the allowed regions without a target among PLACES to FINDINGS.  */
void cs_routing_check_regions (const cs_routing_t *routing,
                               const cs_target_places_t *places,
                               cs_findings_t *findings);

/* Adds what differs between the versions OLDER and NEWER to FINDINGS, and
   warns of changes that may take something away from callers.  */
void cs_routing_compare (const cs_routing_t *older, const cs_routing_t *newer,
                         cs_findings_t *findings);

/* Part of cs_routing_compare: the warnings.  */
void cs_routing_compare_risks (const cs_routing_t *older,
                               const cs_routing_t *newer,
                               cs_findings_t *findings);

/* Returns the route, service or organisation of ROUTING that is called NAME,
   or NULL.  Of several it is the first in the configuration.  */
const cs_route_t *cs_routing_route_by_name (const cs_routing_t *routing,
                                            cs_str_t name);
const cs_service_t *cs_routing_service_by_name (const cs_routing_t *routing,
                                                cs_str_t name);
const cs_organisation_t *
cs_routing_organisation_by_name (const cs_routing_t *routing, cs_str_t name);

#endif
