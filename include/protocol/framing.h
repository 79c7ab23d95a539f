/* How packed messages follow each other on a connection: each behind a 4-byte
   big-endian length.  */

#ifndef CS_PROTOCOL_FRAMING_H
#define CS_PROTOCOL_FRAMING_H

#include <protobuf-c/protobuf-c.h>

#include "common/str.h"

#define CS_FRAME_HEAD 4

/* Longest packed message in bytes: a configuration, which the platform bounds
   by a megabyte, or a whole list of targets.  */
#define CS_FRAME_MAX (4U << 20)

/* Appends MESSAGE, length first, to OUT.  Returns 0, or CS_ERR_NO_MEMORY, also
   for a message over CS_FRAME_MAX.  */
int cs_frame_append (const ProtobufCMessage *message, cs_buf_t *out);

/* Reads the length in HEAD.  Returns 0, or CS_ERR_BAD_FRAME when it is 0 or
   over MOST.  */
int cs_frame_length (const unsigned char head[CS_FRAME_HEAD], uint32_t most,
                     uint32_t *length);

#endif
