/* Orders to engines: makes each engine load the version that the release
   specifies.  Only the router of the data centre that holds the lease sends
   orders; the number of transitions of the lease is the fencing number.  */

#ifndef CS_DAEMON_ORDERS_H
#define CS_DAEMON_ORDERS_H

#include "api/client.h"
#include "cranberrystile/counters.h"
#include "daemon/configuration.h"
#include "daemon/endpoints.h"
#include "daemon/members.h"
#include "daemon/settings.h"

typedef struct cs_orders cs_orders_t;

/* Starts the thread.  The arguments are borrowed and must outlive the result.
   Returns NULL on failure.  */
cs_orders_t *cs_orders_create (const cs_settings_t *settings,
                               cs_platform_t *platform, cs_members_t *members,
                               cs_endpoints_t *endpoints,
                               cs_configuration_t *configuration,
                               cs_counters_t *counters);

/* Joins the thread.  */
void cs_orders_destroy (cs_orders_t *orders);

/* Whether this router currently holds the lease.  */
bool cs_orders_holds_lease (cs_orders_t *orders);

#endif
