/* Follows the state of the platform: releases by a watch, and the lists of
   targets and hosts, which may be outdated, by polling.  Only a few hosts of a
   region do either at a time; the others receive the updates from them.  */

#ifndef CS_DAEMON_FOLLOWER_H
#define CS_DAEMON_FOLLOWER_H

#include "api/client.h"
#include "daemon/configuration.h"
#include "daemon/endpoints.h"
#include "daemon/members.h"
#include "daemon/peers.h"
#include "daemon/poller.h"
#include "daemon/settings.h"

typedef struct cs_follower cs_follower_t;

/* Starts the threads.  The arguments are borrowed and must outlive the result.
   Returns NULL on failure.  */
cs_follower_t *cs_follower_create (const cs_settings_t *settings,
                                   cs_platform_t *platform,
                                   cs_members_t *members,
                                   cs_configuration_t *configuration,
                                   cs_endpoints_t *endpoints,
                                   cs_peers_t *peers, cs_poller_t *poller);

/* Joins the threads.  Cancel the calls of the platform before, by
   cs_platform_cancel, so that a watch does not delay this.  */
void cs_follower_destroy (cs_follower_t *follower);

/* Whether the platform could be reached by the last call for releases.  */
bool cs_follower_is_connected (const cs_follower_t *follower);

#endif
