/* All components of one daemon.  The components are thread-safe; the pointers
   do not change while requests are served.  */

#ifndef CS_DAEMON_DAEMON_H
#define CS_DAEMON_DAEMON_H

#include <pthread.h>
#include <stdatomic.h>

#include "api/client.h"
#include "cranberrystile/counters.h"
#include "cranberrystile/rate_limit.h"
#include "cranberrystile/retry.h"
#include "daemon/claims.h"
#include "daemon/configuration.h"
#include "daemon/endpoints.h"
#include "daemon/follower.h"
#include "daemon/members.h"
#include "daemon/orders.h"
#include "daemon/peers.h"
#include "daemon/placement.h"
#include "daemon/poller.h"
#include "daemon/remote_capacity.h"
#include "daemon/settings.h"
#include "daemon/summaries.h"

typedef struct cs_limits cs_limits_t;
typedef struct cs_web cs_web_t;

typedef struct
{
  cs_settings_t settings;
  cs_counters_t *counters;
  cs_members_t *members;
  cs_configuration_t *configuration;
  cs_endpoints_t *endpoints;
  cs_placement_t *placement;
  cs_peers_t *peers;
  cs_poller_t *poller;
  cs_remote_capacity_t *remote_capacity;
  cs_limits_t *limits;
  cs_platform_t *platform; /* NULL if no platform is configured */
  cs_follower_t *follower; /* NULL if no platform is configured */
  cs_claims_t *claims;
  cs_orders_t *orders; /* NULL if no platform is configured */
  cs_summaries_t *summaries;
  cs_web_t *callers;   /* server for callers */
  cs_web_t *operators; /* server for operators */
  cs_name_t caller_address;
  cs_name_t operator_address;
  cs_time_us_t started;
  atomic_bool ready;     /* a first release is in force */
  atomic_bool stopping;  /* new requests are refused */
  atomic_bool leaving;   /* readiness fails, requests are still accepted */
  atomic_int requests;   /* callers' requests in flight */
  atomic_ullong arrived; /* arrival of the most recent request */
} cs_daemon_t;

/* Creates all components from a copy of SETTINGS and starts their threads.  On
   failure logs an event and returns NULL.  */
cs_daemon_t *cs_daemon_create (const cs_settings_t *settings);
void cs_daemon_destroy (cs_daemon_t *daemon);

/* Stops gracefully: announces to the fleet that this host is leaving,
   continues to serve requests for the lame-duck time, then refuses new ones,
   and returns when no request is in flight.  */
void cs_daemon_stop (cs_daemon_t *daemon);

#endif
