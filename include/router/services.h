/* State that the router keeps per service: the retry budget and the recent
   request priorities.  */

#ifndef CS_ROUTER_SERVICES_H
#define CS_ROUTER_SERVICES_H

#include <stddef.h>

#include "common/str.h"
#include "cranberrystile/contention.h"
#include "cranberrystile/load_shedder.h"
#include "cranberrystile/retry_window.h"

typedef struct
{
  cs_name_t name;
  cs_retry_window_t retry_window;
  cs_contention_t contention;     /* of a plain service */
  cs_load_shedder_t load_shedder; /* counts only requests on routes with
                                     session affinity */
} cs_service_state_t;

typedef struct
{
  cs_service_state_t **states;
  size_t count;
  double retry_ratio;
  cs_time_us_t retry_window_us;
} cs_service_table_t;

/* Returns the state of the service NAME, creating it on first use, or NULL on
   allocation failure.  It is owned by the table and valid until that is
   freed.  */
cs_service_state_t *cs_service_table_get (cs_service_table_t *table,
                                          cs_str_t name);
void cs_service_table_free (cs_service_table_t *table);

#endif
