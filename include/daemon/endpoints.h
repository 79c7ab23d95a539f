/* Table of the endpoints of all targets of this region.  Lookups take no lock:
   the table is read under RCU and replaced with each release.  */

#ifndef CS_DAEMON_ENDPOINTS_H
#define CS_DAEMON_ENDPOINTS_H

#include "daemon/endpoint.h"

typedef struct cs_endpoints cs_endpoints_t;

/* Creates an empty table for the region of DATA_CENTRE.  Returns NULL if
   memory is exhausted.  */
cs_endpoints_t *cs_endpoints_create (cs_str_t data_centre);
void cs_endpoints_destroy (cs_endpoints_t *endpoints);

/* Replaces the table by the targets of RELEASE in the region of this data
   centre.  The endpoint of an unchanged target is kept.  If a target has kept
   its name and address only, the new endpoint takes over the lifecycle state.
   Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_endpoints_update (cs_endpoints_t *endpoints,
                         const cs_release_t *release);

/* Returns a new reference, or NULL if there is no such target.  */
cs_endpoint_t *cs_endpoints_find (cs_endpoints_t *endpoints, uint64_t id);

/* Stores in *OUT references to the endpoints of OFFERING, or to all endpoints
   if its data is NULL.  Returns their number.  Free with
   cs_endpoints_free_list.  */
size_t cs_endpoints_list (cs_endpoints_t *endpoints, cs_str_t offering,
                          cs_endpoint_t ***out);
void cs_endpoints_free_list (cs_endpoint_t **list, size_t count);

#endif
