#include "protocol/framing.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"

int
cs_frame_append (const ProtobufCMessage *message, cs_buf_t *out)
{
  size_t len = protobuf_c_message_get_packed_size (message);
  uint32_t header = htonl ((uint32_t)len);
  uint8_t *packed = malloc (len + 1);
  int rc = CS_ERR_NO_MEMORY;
  if (packed == NULL || len > CS_FRAME_MAX)
    goto out;
  protobuf_c_message_pack (message, packed);
  rc = cs_buf_append (
      out, (cs_str_t){ (const char *)&header, CS_FRAME_HEADER_SIZE });
  if (rc == 0)
    rc = cs_buf_append (out, (cs_str_t){ (const char *)packed, len });
out:
  free (packed);
  return rc;
}

int
cs_frame_length (const unsigned char header[CS_FRAME_HEADER_SIZE],
                 uint32_t max_length, uint32_t *length)
{
  uint32_t value;
  memcpy (&value, header, sizeof value);
  value = ntohl (value);
  if (value == 0 || value > max_length)
    return CS_ERR_BAD_FRAME;
  *length = value;
  return CS_OK;
}
