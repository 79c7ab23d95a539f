/* Exchange of the release in force between routers, so that it also reaches
   those that can't reach the platform.  */

#ifndef CS_DAEMON_CONFIGURATION_SYNC_H
#define CS_DAEMON_CONFIGURATION_SYNC_H

#include "daemon/configuration.h"
#include "daemon/link.h"

/* Requests what is newer than the local revision from the peer.  */
void cs_configuration_sync_send_request (cs_configuration_t *configuration,
                                         cs_link_t *link);

/* Responds with the note that leads to the next revision (the changes since
   the one that the peer has), or with the whole document if there is no such
   note.  Sends nothing if the peer is up to date.  */
void cs_configuration_sync_handle_request (
    cs_configuration_t *configuration, cs_link_t *link,
    const Cs__Peer__ConfigurationRequest *request);

/* Installs the release in MESSAGE.  After a note, requests the next one.  */
void
cs_configuration_sync_handle_response (cs_configuration_t *configuration,
                                       cs_link_t *link,
                                       const Cs__Peer__Configuration *message);

#endif
