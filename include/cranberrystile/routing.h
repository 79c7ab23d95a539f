/* A version of the routing configuration: routes, services, API keys and
   limits for callers.  Immutable after cs_routing_finalise and
   reference-counted, so a request keeps the version under which it was
   accepted.  */

#ifndef CS_ROUTING_H
#define CS_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"
#include "cranberrystile/regions.h"

/* Whether requests of a route may be retried.  */
typedef enum
{
  CS_ROUTE_SAFE,     /* may run more than once */
  CS_ROUTE_UNSAFE,   /* runs at most once */
  CS_ROUTE_STREAMING /* an event stream; retried only if RESUMABLE */
} cs_route_kind_t;

typedef struct
{
  uint32_t service; /* index of the service */
  uint32_t weight;  /* relative share of the requests */
} cs_weighted_service_t;

typedef struct
{
  cs_str_t name;
  cs_str_t host;
  cs_str_t prefix;   /* begins and ends with a slash */
  uint32_t position; /* in the configuration's list of routes */
  cs_route_kind_t kind;
  cs_weighted_service_t *weighted_services;
  size_t weighted_service_count;
  uint32_t timeout_ms;
  uint32_t latency_objective_ms; /* a response within it is on time; 0: none */
  uint32_t event_gap_objective_ms; /* likewise for pauses between events */
  uint32_t max_attempts;
  uint32_t priority;        /* 0 is the highest */
  uint32_t priority_level;  /* rank of PRIORITY among those in use */
  bool is_public;           /* needs no API key */
  bool resumable;           /* a stream may continue at another target */
  bool session_affinity;    /* requests are placed by their prompt prefix */
  cs_region_list_t regions; /* in which its requests may be served */
} cs_route_t;

typedef struct
{
  cs_str_t name;
  cs_str_t health_path;
  uint32_t max_connections;        /* from all routers to one target */
  uint32_t slots;                  /* of an engine; 0: plain service */
  double kv_transfer_us_per_token; /* for a cached prefix from another target;
                                      0: not supported */
  double cold_start_s; /* its targets are cold for so long after a start */
  uint32_t cold_per_s; /* requests a second that a cold target takes from all
                          routers together; 0: no limit */
} cs_service_t;

typedef struct
{
  cs_str_t name;
  bool has_priority;
  uint32_t priority;
  uint32_t priority_level;  /* as for routes */
  cs_region_list_t regions; /* in which its requests may be served */
} cs_organisation_t;

typedef struct
{
  cs_str_t text;
  uint32_t organisation; /* index */
} cs_api_key_t;

typedef struct
{
  uint32_t head_bytes; /* max size of the request head */
  uint32_t body_bytes; /* max size of the request body */
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} cs_caller_limits_t;

typedef struct
{
  uint64_t version;
  cs_route_t *routes;
  size_t route_count;
  cs_service_t *services;
  size_t service_count;
  cs_organisation_t *organisations;
  size_t organisation_count;
  cs_api_key_t *keys; /* sorted by text */
  size_t key_count;
  uint32_t priority_level_count; /* distinct priorities in use */
  cs_caller_limits_t limits;
  uint32_t references;
} cs_routing_t;

/* Returns an empty routing with one reference, or NULL if memory is exhausted.
   The creator fills the arrays with memory from malloc, which the routing then
   owns, and calls cs_routing_finalise.  */
cs_routing_t *cs_routing_create (void);
/* Adds a reference and returns ROUTING.  Accepts NULL.  */
cs_routing_t *cs_routing_reference (cs_routing_t *routing);

/* Drops a reference and frees the routing with the last one.  Accepts NULL. */
void cs_routing_release (cs_routing_t *routing);

/* Prepares the routing for lookups.  Call once, after filling it.  Returns 0
   or CS_ERR_NO_MEMORY.  */
int cs_routing_finalise (cs_routing_t *routing);

/* Part of cs_routing_finalise: sets the priority levels.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_routing_assign_priority_levels (cs_routing_t *routing);

/* The route of HOST with the longest prefix of PATH, or NULL; of several with
   this prefix, the first in the configuration.  HOST is matched without its
   port and regardless of case; PATH has no query.  */
const cs_route_t *cs_routing_find_route (const cs_routing_t *routing,
                                         cs_str_t host, cs_str_t path);

/* The organisation that holds KEY, or NULL.  */
const cs_organisation_t *cs_routing_find_key (const cs_routing_t *routing,
                                              cs_str_t key);

/* Rank of a request on ROUTE, 0 is the most urgent.  Ordered by the priority
   of ORGANISATION, then by that of the route.  An organisation without a
   priority, or NULL, counts with the route's.  */
uint32_t cs_routing_rank (const cs_routing_t *routing, const cs_route_t *route,
                          const cs_organisation_t *organisation);

/* Upper bound of all ranks, exclusive.  */
uint32_t cs_routing_rank_count (const cs_routing_t *routing);

/* Picks a service of ROUTE in proportion to the weights, or returns NULL if
   all weights are 0.  FRACTION is a random number in [0, 1).  */
const cs_service_t *cs_routing_pick_service (const cs_routing_t *routing,
                                             const cs_route_t *route,
                                             double fraction);

/* Returns the longest time that callers wait for an event of a stream before
   they take it up, by the objectives of all routes.  */
cs_time_us_t cs_routing_stream_patience_us (const cs_routing_t *routing);

#endif
