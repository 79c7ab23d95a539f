/* Checks a configuration in the format of the platform's store.  */

#ifndef CS_PLATFORM_ROUTING_CHECK_H
#define CS_PLATFORM_ROUTING_CHECK_H

#include <jansson.h>

#include "cranberrystile/findings.h"
#include "cranberrystile/routing.h"

/* Adds the faults of the configuration SPEC to FINDINGS, each with the path of
   its place, such as "routes[2].timeout_ms"; "$" is the whole configuration.
   Returns a reference to the decoded configuration, or NULL if the routers
   would refuse it, which is one of the findings.  */
cs_routing_t *cs_store_check_routing (const json_t *spec,
                                      cs_findings_t *findings);

/* Adds the allowed regions of ROUTING, which was decoded from SPEC, without a
   target to FINDINGS.  TARGETS is the store's list of targets, as the API
   returns it; REGIONS has data centres as keys and regions as values.  A list
   that can't be read, or that is only a part of it, is a finding, too.  */
void cs_store_check_regions (const json_t *spec, const cs_routing_t *routing,
                             cs_str_t targets,
                             const cs_setting_pairs_t *regions,
                             cs_findings_t *findings);

/* A configuration both as written and as decoded.  */
typedef struct
{
  const json_t *spec;
  const cs_routing_t *routing;
} cs_store_version_t;

/* Adds what differs between the versions OLDER and NEWER to FINDINGS,
   including fields that the routers don't read.  Places are those in NEWER. */
void cs_store_compare_routing (const cs_store_version_t *older,
                               const cs_store_version_t *newer,
                               cs_findings_t *findings);

/* Part of cs_store_check_routing: fields of SPEC that routers ignore, or
   replace by a default because of their type or range.  */
void cs_store_check_fields (const json_t *spec, cs_findings_t *findings);

/* Part of cs_store_compare_routing: fields that the routers don't read.  */
void cs_store_compare_fields (const json_t *older, const json_t *newer,
                              cs_findings_t *findings);

#endif
