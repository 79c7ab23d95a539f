#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "router/peer/internal.h"

/* Longest packed frame in bytes: a routing document, which the platform bounds
   by a megabyte, or a whole list of targets.  */
#define FRAME_MOST (4U << 20)
#define HEAD_BYTES 4

int
cs_router_frame_pack (const cs_router_frame_t *frame, cs_buf_t *out)
{
  size_t len = cs__router__frame__get_packed_size (frame);
  uint32_t head = htonl ((uint32_t)len);
  uint8_t *packed = malloc (len + 1);
  if (packed == NULL || len > FRAME_MOST)
    {
      free (packed);
      return CS_ERR_NO_MEMORY;
    }
  cs__router__frame__pack (frame, packed);
  int rc = cs_buf_append (out, (cs_str_t){ (const char *)&head, HEAD_BYTES });
  if (rc == 0)
    rc = cs_buf_append (out, (cs_str_t){ (const char *)packed, len });
  free (packed);
  return rc;
}

static bool
is_good_name (const char *text)
{
  size_t len = strlen (text);
  return len > 0 && len <= CS_NAME_MAX;
}

static bool
are_good_targets (const Cs__Router__Targets *targets)
{
  for (size_t i = 0; i < targets->n_targets; i++)
    if (!is_good_name (targets->targets[i]->id)
        || !is_good_name (targets->targets[i]->service)
        || strlen (targets->targets[i]->data_centre) > CS_NAME_MAX
        || targets->targets[i]->port > UINT16_MAX)
      return false;
  for (size_t i = 0; i < targets->n_removed; i++)
    if (!is_good_name (targets->removed[i]))
      return false;
  return targets->since <= targets->revision;
}

static bool
is_good_frame (const cs_router_frame_t *frame)
{
  switch (frame->body_case)
    {
    case CS__ROUTER__FRAME__BODY_HELLO:
      return is_good_name (frame->hello->name)
             && is_good_name (frame->hello->data_centre)
             && is_good_name (frame->hello->address);
    case CS__ROUTER__FRAME__BODY_BEAT:
      return true;
    case CS__ROUTER__FRAME__BODY_ROUTING:
      return frame->routing->document.len > 0;
    case CS__ROUTER__FRAME__BODY_TARGETS:
      return are_good_targets (frame->targets);
    default:
      return false;
    }
}

int
cs_router_frame_take (cs_str_t bytes, cs_router_frame_t **frame, size_t *taken)
{
  uint32_t len;
  *frame = NULL;
  *taken = 0;
  if (bytes.len < HEAD_BYTES)
    return CS_OK;
  memcpy (&len, bytes.data, HEAD_BYTES);
  len = ntohl (len);
  if (len == 0 || len > FRAME_MOST)
    return CS_ERR_BAD_FRAME;
  if (bytes.len - HEAD_BYTES < len)
    return CS_OK;
  *frame = cs__router__frame__unpack (
      NULL, len, (const uint8_t *)bytes.data + HEAD_BYTES);
  if (*frame == NULL)
    return CS_ERR_BAD_FRAME;
  if (!is_good_frame (*frame))
    {
      cs__router__frame__free_unpacked (*frame, NULL);
      *frame = NULL;
      return CS_ERR_BAD_FRAME;
    }
  *taken = HEAD_BYTES + len;
  return CS_OK;
}
