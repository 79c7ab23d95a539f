/* Frames that are queued while a lock is held and sent after its release.  */

#ifndef CS_DAEMON_OUTBOX_H
#define CS_DAEMON_OUTBOX_H

#include "daemon/peers.h"

typedef struct
{
  uint64_t host;
  cs_frame_t *frame; /* owned */
} outbox_item_t;

/* Initialise to zeros.  */
typedef struct
{
  outbox_item_t *items;
  size_t count;
  size_t capacity;
} outbox_t;

/* Queues a copy of FRAME for HOST.  If memory is exhausted, the frame is
   dropped, which has the effect of a link that breaks.  */
void outbox_add (outbox_t *outbox, uint64_t host, const cs_frame_t *frame);

/* Sends all frames and empties OUTBOX.  If PEERS is NULL, the frames are only
   freed.  */
void outbox_send (outbox_t *outbox, cs_peers_t *peers);

#endif
