/* Frames between the routers of a fleet, see peer.proto.  */

#ifndef CS_DAEMON_FRAME_H
#define CS_DAEMON_FRAME_H

#include "common/error.h"
#include "common/str.h"
#include "peer.pb-c.h"
#include "protocol/framing.h"

typedef Cs__Peer__Frame cs_frame_t;

/* Maximum bytes of a packed frame before the peer is authenticated.  */
#define CS_FRAME_MAX_UNAUTHENTICATED 1024U

/* Appends the length of FRAME and the packed frame to OUT.  Returns 0 or an
   error of cs_frame_append.  */
int cs_frame_pack (const cs_frame_t *frame, cs_buf_t *out);

/* Unpacks BYTES and validates the fields that are used without further checks.
   Returns NULL on a bad frame.  Free the result by cs_frame_free.  */
cs_frame_t *cs_frame_unpack (cs_str_t bytes);
void cs_frame_free (cs_frame_t *frame);

/* Blocks until one frame of at most MAX_LENGTH bytes is read from socket FD.
   Returns 0, CS_ERR_CUT if the connection ends, CS_ERR_BAD_FRAME or
   CS_ERR_NO_MEMORY.  Adds the bytes of a complete frame to *BYTES.  */
int cs_frame_read (int fd, uint32_t max_length, cs_frame_t **frame,
                   uint64_t *bytes);

#endif
