/* State of the router process that its modules share.  */

#ifndef CS_ROUTER_H
#define CS_ROUTER_H

#include <stdbool.h>

#include "common/hash.h"
#include "cranberrystile/chooser.h"
#include "cranberrystile/evacuations.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/quarantine.h"
#include "cranberrystile/routing.h"
#include "cranberrystile/start_hold.h"
#include "net/loop.h"
#include "router/connection.h"
#include "router/counters.h"
#include "router/services.h"
#include "router/settings.h"

typedef struct cs_caller cs_caller_t;
typedef struct cs_mesh cs_mesh_t;
typedef struct cs_crash_check cs_crash_check_t;
typedef struct cs_blocked_parts cs_blocked_parts_t;
typedef struct cs_stream_versions cs_stream_versions_t;

/* How recent the local copy of one kind of platform state is.  It is updated
   by calls to the platform and by peers.  */
typedef struct
{
  cs_revision_t revision;        /* of the platform's store */
  cs_time_us_t own_confirmed_at; /* last confirmed to this router by the
                                    platform; 0: never */
  cs_time_us_t confirmed_at;   /* last confirmed to this router or to a peer */
  cs_revision_t list_revision; /* of the first page of the store's list that is
                                  being read; zeros: none is */
} cs_sync_state_t;

typedef struct
{
  cs_router_settings_t settings;
  cs_loop_t *loop;
  cs_routing_t *routing;     /* NULL until one has been received */
  cs_buf_t routing_document; /* ROUTING for peers: compressed JSON */
  uint64_t store_era; /* newest era of the platform's store that is known */
  cs_sync_state_t routing_sync;
  cs_sync_state_t targets_sync;
  cs_sync_state_t evacuations_sync;
  cs_evacuations_t *evacuations;  /* NULL: they aren't followed */
  const char *evacuations_source; /* of the change in progress, for the log */
  cs_fleet_t *fleet;              /* all known targets */
  bool fleet_synced; /* a complete list of targets has been received */
  /* Versions of the configuration and of the membership for which the limits
     of cold targets were computed.  */
  uint64_t cold_version;
  uint64_t cold_membership;
  cs_chooser_t *chooser;
  cs_quarantine_t *quarantine;
  cs_crash_check_t *crash_checks;    /* in progress */
  cs_blocked_parts_t *blocked_parts; /* in the platform's store */
  cs_stream_versions_t *stream_versions;
  cs_service_table_t services;
  cs_connection_env_t connection_env;
  cs_random_t random;
  cs_router_counters_t counters;
  cs_latency_t first_byte; /* from the complete request to the first
                              response head */
  cs_latency_t total;      /* from the complete request to the end of the
                              response */
  cs_mesh_t *mesh;         /* NULL if [listen] peers is empty */
  cs_caller_t *callers;    /* open caller connections */
  uint32_t in_flight;      /* requests being served */
  size_t body_bytes;       /* memory held by the request bodies */
  size_t output_bytes;     /* memory held by output that callers have yet to
                              read */
  /* Requests that are held while the router starts.  */
  cs_start_hold_t start_hold;
  cs_timer_t start_hold_timer;
  bool stopping;
  cs_time_us_t accepts_until; /* while stopping: later requests are accepted
                                 only if they are over before ABORTS_AT */
  cs_time_us_t aborts_at; /* while stopping: requests in flight are aborted */
  bool closing;           /* not used */
} cs_router_t;

/* Whether the router can serve requests; reported to the load balancer.  */
bool cs_router_is_ready (const cs_router_t *router);

#endif
