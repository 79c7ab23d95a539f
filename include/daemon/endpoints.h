/* The endpoints of the targets of this region.  Readers take no lock: the
   table is read under RCU and replaced whole with each release.  */

#ifndef CS_DAEMON_ENDPOINTS_H
#define CS_DAEMON_ENDPOINTS_H

#include "daemon/endpoint.h"

typedef struct cs_endpoints cs_endpoints_t;

cs_endpoints_t *cs_endpoints_create (cs_str_t data_centre);
void cs_endpoints_destroy (cs_endpoints_t *endpoints);

/* Replaces the table by the targets of RELEASE in the region of this data
   centre.  An
   endpoint whose target has kept its name and address goes on.  */
int cs_endpoints_update (cs_endpoints_t *endpoints,
                         const cs_release_t *release);

/* A new reference, or NULL.  */
cs_endpoint_t *cs_endpoints_find (cs_endpoints_t *endpoints, uint64_t id);

/* References to all endpoints, or to those of OFFERING if its data is not
   NULL.  Returns how many; end with cs_endpoints_free_list.  */
size_t cs_endpoints_list (cs_endpoints_t *endpoints, cs_str_t offering,
                          cs_endpoint_t ***out);
void cs_endpoints_free_list (cs_endpoint_t **list, size_t count);

#endif
