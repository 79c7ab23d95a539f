/* Frames between daemons.  */

#ifndef CS_DAEMON_FRAME_H
#define CS_DAEMON_FRAME_H

#include "common/error.h"
#include "common/str.h"
#include "peer.pb-c.h"
#include "protocol/framing.h"

typedef Cs__Peer__Frame cs_frame_t;

/* Longest packed frame before the other end has proved that it knows the
   fleet's key.  */
#define CS_FRAME_MAX_UNPROVED 1024U

/* Appends FRAME, length first, to OUT.  */
int cs_frame_pack (const cs_frame_t *frame, cs_buf_t *out);

/* Unpacks BYTES and checks the fields that are used without further checks.
   Returns NULL on a bad frame.  Free with cs_frame_free.  */
cs_frame_t *cs_frame_unpack (cs_str_t bytes);
void cs_frame_free (cs_frame_t *frame);

/* Blocking read of one frame from socket FD.  Returns CS_ERR_CUT at the end of
   the connection, or CS_ERR_BAD_FRAME.  BYTES counts what was read.  */
int cs_frame_read (int fd, uint32_t most, cs_frame_t **frame, uint64_t *bytes);

#endif
