/* One worker of the router: what all of its parts share.  */

#ifndef CS_ROUTER_H
#define CS_ROUTER_H

#include <stdbool.h>

#include "common/hash.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/routing.h"
#include "net/loop.h"
#include "router/connection.h"
#include "router/counters.h"
#include "router/services.h"
#include "router/settings.h"

typedef struct cs_caller cs_caller_t;
typedef struct cs_mesh cs_mesh_t;

/* How far the platform's state is known, by this router's own calls or from
   its peers.  */
typedef struct
{
  uint64_t revision;         /* of the platform's store */
  cs_time_us_t told_at;      /* the platform last confirmed it to this router;
                                0: never */
  cs_time_us_t confirmed_at; /* or to a peer, at the latest */
} cs_news_t;

typedef struct
{
  cs_router_settings_t settings;
  cs_loop_t *loop;
  cs_routing_t *routing;     /* NULL until the first is known */
  cs_buf_t routing_document; /* the same as the platform holds it:
                                JSON, compressed */
  cs_news_t routing_news;
  cs_news_t targets_news;
  cs_fleet_t *fleet;
  bool fleet_known; /* the first list of targets is whole */
  cs_chooser_t *chooser;
  cs_service_table_t services;
  cs_connection_scope_t scope;
  cs_random_t random;
  cs_router_counters_t counters;
  cs_latency_t first_byte; /* from a request's head to its answer's */
  cs_latency_t total;
  cs_mesh_t *mesh;      /* NULL: this router has no peers */
  cs_caller_t *callers; /* open caller connections */
  uint32_t in_flight;   /* requests under way */
  size_t body_bytes;    /* of requests' bodies, held until they are answered */
  bool stopping;
  bool closing; /* the balancer has noticed: idle callers are closed */
} cs_router_t;

/* Whether requests can be served: for the balancer.  */
bool cs_router_is_ready (const cs_router_t *router);

#endif
