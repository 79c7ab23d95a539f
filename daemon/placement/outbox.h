/* Frames that were made under a lock and are sent after its release.  */

#ifndef CS_DAEMON_OUTBOX_H
#define CS_DAEMON_OUTBOX_H

#include "daemon/peers.h"

typedef struct
{
  uint64_t host;
  cs_frame_t *frame; /* owned */
} outbox_item_t;

/* Initialise with zeros.  */
typedef struct
{
  outbox_item_t *items;
  size_t count;
  size_t capacity;
} outbox_t;

/* Copies FRAME for HOST.  A frame that finds no memory is dropped, as one on a
   link that breaks would be.  */
void outbox_add (outbox_t *outbox, uint64_t host, const cs_frame_t *frame);

/* Sends all and frees the items.  PEERS may be NULL.  */
void outbox_send (outbox_t *outbox, cs_peers_t *peers);

#endif
