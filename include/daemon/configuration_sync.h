/* Routers hand the release in force to each other, so that it reaches those
   that the platform does not answer.  */

#ifndef CS_DAEMON_CONFIGURATION_SYNC_H
#define CS_DAEMON_CONFIGURATION_SYNC_H

#include "daemon/configuration.h"
#include "daemon/link.h"

/* Asks the other end for what is newer than the own revision.  */
void cs_configuration_sync_ask (cs_configuration_t *configuration,
                                cs_link_t *link);

/* Answers with the next note, or with the whole document.  */
void
cs_configuration_sync_request (cs_configuration_t *configuration,
                               cs_link_t *link,
                               const Cs__Peer__ConfigurationRequest *request);

/* Takes an answer, and asks on while the other end is further ahead.  */
void cs_configuration_sync_take (cs_configuration_t *configuration,
                                 cs_link_t *link,
                                 const Cs__Peer__Configuration *message);

#endif
