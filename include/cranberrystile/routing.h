/* One version of the routing: which request goes to which service, whose keys
   are known, and what callers may send.  Immutable once built, and shared by
   reference, so a request keeps the version that it was accepted under.  */

#ifndef CS_ROUTING_H
#define CS_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* What may be repeated.  */
typedef enum
{
  CS_ROUTE_SAFE,     /* may run more than once */
  CS_ROUTE_UNSAFE,   /* runs at most once */
  CS_ROUTE_STREAMING /* a series of events; repeated only if RESUMABLE */
} cs_route_kind_t;

typedef struct
{
  uint32_t service; /* index of the service */
  uint32_t weight;  /* share of requests relative to the others */
} cs_route_part_t;

typedef struct
{
  cs_str_t name;
  cs_str_t host;
  cs_str_t prefix; /* begins and ends with a slash */
  cs_route_kind_t kind;
  cs_route_part_t *parts;
  size_t part_count;
  uint32_t timeout_ms;
  uint32_t objective_ms; /* an answer within it is on time; 0: none */
  uint32_t gap_ms;       /* longest pause between events that is on time */
  uint32_t attempts_most;
  uint32_t priority; /* 0 is the highest */
  uint32_t level;    /* the same, counted without gaps */
  bool is_public;    /* needs no key */
  bool resumable;    /* a stream may go on at another target */
  bool has_context;  /* requests name the parts of their prompts */
} cs_route_t;

typedef struct
{
  cs_str_t name;
  cs_str_t health_path;
  uint32_t connections_most; /* of all routers to one target */
  uint32_t slots;            /* of an engine; 0 for a plain service */
  double fetch_us_per_token; /* to copy kept context from another target; 0:
                                they cannot */
} cs_service_t;

typedef struct
{
  cs_str_t name;
  bool has_priority;
  uint32_t priority;
  uint32_t level; /* as a route's */
} cs_organisation_t;

typedef struct
{
  cs_str_t text;
  uint32_t organisation; /* index */
} cs_api_key_t;

typedef struct
{
  uint32_t head_bytes;
  uint32_t body_bytes;
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
  uint32_t levels; /* different priorities, of routes and organisations */
  cs_caller_limits_t limits;
  uint32_t references;
} cs_routing_t;

/* An empty routing with one reference, or NULL without memory.  Whoever builds
   it fills the arrays with memory from malloc, and seals it.  */
cs_routing_t *cs_routing_create (void);
cs_routing_t *cs_routing_reference (cs_routing_t *routing);

/* Drops a reference; the last one frees.  Accepts NULL.  */
void cs_routing_release (cs_routing_t *routing);

/* Sorts what is searched and ranked.  Call once, after filling.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_routing_seal (cs_routing_t *routing);

/* For cs_routing_seal: orders the priorities.  Returns as that does.  */
int cs_routing_set_levels (cs_routing_t *routing);

/* The route with the longest prefix that begins PATH among those of HOST, or
   NULL.  HOST may carry a port and any case; PATH has no query.  */
const cs_route_t *cs_routing_find (const cs_routing_t *routing, cs_str_t host,
                                   cs_str_t path);

/* The organisation that holds KEY, or NULL.  */
const cs_organisation_t *cs_routing_find_key (const cs_routing_t *routing,
                                              cs_str_t key);

/* How urgent a request on ROUTE is, 0 the most.  The priority of ORGANISATION,
   which may be NULL, goes before the route's, which decides among equal ones.
   Without a priority of its own an organisation has the route's.  */
uint32_t cs_routing_rank (const cs_routing_t *routing, const cs_route_t *route,
                          const cs_organisation_t *organisation);

/* Ranks are below this.  */
uint32_t cs_routing_ranks (const cs_routing_t *routing);

/* The service for a request on ROUTE; UNIT in [0, 1) picks among the parts by
   their weights.  NULL when the route has none.  */
const cs_service_t *cs_routing_pick_service (const cs_routing_t *routing,
                                             const cs_route_t *route,
                                             double unit);

#endif
