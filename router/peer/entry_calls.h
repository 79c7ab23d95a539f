/* The calls to the platform's store for the entries of routers.  Nothing is
   called if memory is exhausted.  */

#ifndef CS_ROUTER_PEER_ENTRY_CALLS_H
#define CS_ROUTER_PEER_ENTRY_CALLS_H

#include "router/store_client.h"

/* Creates this router's entry.  RENEWALS has to differ with each write.  */
void cs_entry_create (const cs_router_settings_t *settings,
                      cs_store_client_t *client, uint32_t renewals);

/* Renews this router's entry.  */
void cs_entry_renew (const cs_router_settings_t *settings,
                     cs_store_client_t *client, uint32_t renewals);

/* Reads the page of the list that follows the name AFTER; it may be old.  */
void cs_entry_list (const cs_router_settings_t *settings,
                    cs_store_client_t *client, cs_str_t after);

/* Deletes the entry NAME if it is at REVISION; 0: whatever it is at.  */
void cs_entry_remove (const cs_router_settings_t *settings,
                      cs_store_client_t *client, cs_str_t name,
                      uint64_t revision);

#endif
