/* Length-prefixed framing of protobuf messages on a connection: each packed
   message follows its length as a 4-byte big-endian number.  */

#ifndef CS_PROTOCOL_FRAMING_H
#define CS_PROTOCOL_FRAMING_H

#include <protobuf-c/protobuf-c.h>

#include "common/str.h"

#define CS_FRAME_HEADER_SIZE 4

/* Maximum size of a packed message in bytes.  The largest messages are a
   configuration, which the platform limits to a megabyte, and a complete list
   of targets.  */
#define CS_FRAME_MAX (4U << 20)

/* Appends the frame of MESSAGE to OUT.  Returns 0, or CS_ERR_NO_MEMORY, which
   also stands for a message over CS_FRAME_MAX.  */
int cs_frame_append (const ProtobufCMessage *message, cs_buf_t *out);

/* Reads the message length from HEADER.  Returns 0, or CS_ERR_BAD_FRAME when
   it is 0 or over MAX_LENGTH.  */
int cs_frame_length (const unsigned char header[CS_FRAME_HEADER_SIZE],
                     uint32_t max_length, uint32_t *length);

#endif
