/* Frames between routers: a 4-byte big-endian length and a packed Frame.  */

#ifndef CS_DAEMON_FRAME_H
#define CS_DAEMON_FRAME_H

#include "common/error.h"
#include "common/str.h"
#include "peer.pb-c.h"

typedef Cs__Peer__Frame cs_frame_t;

/* Longest packed frame in bytes; a configuration document is the longest.  */
#define CS_FRAME_MAX (4U << 20)

/* Longest packed frame before the other end has proved that it knows the
   fleet's key.  */
#define CS_FRAME_MAX_UNPROVED 1024U

#define CS_FRAME_HEAD 4

/* Appends FRAME, length first, to OUT.  */
int cs_frame_pack (const cs_frame_t *frame, cs_buf_t *out);

/* Reads the length in HEAD.  Returns CS_ERR_BAD_FRAME when it is 0 or over
   MOST.  */
int cs_frame_length (const unsigned char head[CS_FRAME_HEAD], uint32_t most,
                     uint32_t *length);

/* Unpacks BYTES and checks the fields that are used without further checks.
   Returns NULL on a bad frame.  Free with cs_frame_free.  */
cs_frame_t *cs_frame_unpack (cs_str_t bytes);
void cs_frame_free (cs_frame_t *frame);

/* Blocking read of one frame from socket FD.  Returns CS_ERR_CUT at the end of
   the connection, or CS_ERR_BAD_FRAME.  BYTES counts what was read.  */
int cs_frame_read (int fd, uint32_t most, cs_frame_t **frame, uint64_t *bytes);

#endif
