/* What the router keeps for each service: the window of its repeats, and how
   urgent its requests are.  */

#ifndef CS_ROUTER_SERVICES_H
#define CS_ROUTER_SERVICES_H

#include <stddef.h>

#include "common/str.h"
#include "cranberrystile/retry_window.h"
#include "cranberrystile/urgency.h"

typedef struct
{
  cs_name_t name;
  cs_retry_window_t repeats;
  cs_urgency_t urgency; /* of requests with a prompt */
} cs_service_state_t;

typedef struct
{
  cs_service_state_t **states;
  size_t count;
  double retry_ratio;
  cs_time_us_t retry_window_us;
} cs_service_table_t;

/* The state of the service NAME, made when it is new; NULL without memory.  It
   stays until the table is freed.  */
cs_service_state_t *cs_service_table_get (cs_service_table_t *table,
                                          cs_str_t name);
void cs_service_table_free (cs_service_table_t *table);

#endif
