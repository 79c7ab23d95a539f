#include <stdlib.h>
#include <string.h>

#include "common/compress.h"
#include "cranberrystile/version_history.h"
#include "protocol/framing.h"
#include "router/peer/internal.h"

int
cs_router_frame_pack (const cs_router_frame_t *frame, cs_buf_t *out)
{
  return cs_frame_append (&frame->base, out);
}

int
cs_router_frame_pack_compressed (const cs_router_frame_t *frame, cs_buf_t *out)
{
  cs_router_frame_t outer = CS__ROUTER__FRAME__INIT;
  cs_buf_t compressed = { 0 };
  int rc = CS_ERR_NO_MEMORY;
  size_t size = cs__router__frame__get_packed_size (frame);
  uint8_t *bytes = malloc (size);
  if (bytes == NULL)
    goto out;
  cs__router__frame__pack (frame, bytes);
  rc = cs_compress ((cs_str_t){ (const char *)bytes, size }, &compressed);
  if (rc != 0)
    goto out;
  outer.body_case = CS__ROUTER__FRAME__BODY_COMPRESSED;
  outer.compressed.data = (uint8_t *)compressed.data;
  outer.compressed.len = compressed.len;
  rc = cs_router_frame_pack (&outer, out);
out:
  cs_buf_free (&compressed);
  free (bytes);
  return rc;
}

/* Returns the frame in OUTER, or NULL if it is malformed.  */
static cs_router_frame_t *
decompress_frame (const cs_router_frame_t *outer)
{
  cs_router_frame_t *frame = NULL;
  cs_buf_t bytes = { 0 };
  cs_str_t compressed
      = { (const char *)outer->compressed.data, outer->compressed.len };
  if (cs_decompress (compressed, CS_FRAME_MAX, &bytes) == 0)
    frame = cs__router__frame__unpack (NULL, bytes.len,
                                       (const uint8_t *)bytes.data);
  cs_buf_free (&bytes);
  return frame;
}

static bool
are_valid_targets (const Cs__Router__Targets *targets)
{
  for (size_t i = 0; i < targets->n_targets; i++)
    if (!cs_name_is_valid (targets->targets[i]->id)
        || !cs_name_is_valid (targets->targets[i]->service)
        || strlen (targets->targets[i]->data_centre) > CS_NAME_MAX
        || targets->targets[i]->port > UINT16_MAX)
      return false;
  for (size_t i = 0; i < targets->n_removed; i++)
    if (!cs_name_is_valid (targets->removed[i]))
      return false;
  return targets->since <= targets->revision;
}

static bool
are_valid_names (char *const *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!cs_name_is_valid (names[i]))
      return false;
  return true;
}

static bool
are_valid_notices (const Cs__Router__Beat *beat)
{
  for (size_t i = 0; i < beat->n_leaving; i++)
    if (!cs_name_is_valid (beat->leaving[i]->target)
        || beat->leaving[i]->port > UINT16_MAX)
      return false;
  for (size_t i = 0; i < beat->n_crashes; i++)
    if (beat->crashes[i]->n_parts > CS_CRASH_PARTS_MAX
        || beat->crashes[i]->n_requests > CS_CRASH_REQUESTS_MAX)
      return false;
  return true;
}

static bool
are_valid_evacuations (const Cs__Router__Evacuations *evacuations)
{
  for (size_t i = 0; i < evacuations->n_kept; i++)
    if (!cs_name_is_valid (evacuations->kept[i]->data_centre))
      return false;
  return are_valid_names (evacuations->data_centres,
                          evacuations->n_data_centres);
}

static bool
is_valid_frame (const cs_router_frame_t *frame)
{
  switch (frame->body_case)
    {
    case CS__ROUTER__FRAME__BODY_HELLO:
      return cs_name_is_valid (frame->hello->name)
             && cs_name_is_valid (frame->hello->data_centre)
             && cs_name_is_valid (frame->hello->address);
    case CS__ROUTER__FRAME__BODY_BEAT:
      return are_valid_notices (frame->beat);
    case CS__ROUTER__FRAME__BODY_ROUTING:
      return frame->routing->document.len > 0;
    case CS__ROUTER__FRAME__BODY_STREAMS:
      return frame->streams->n_streams == frame->streams->n_versions;
    case CS__ROUTER__FRAME__BODY_STREAMS_SAVED:
    case CS__ROUTER__FRAME__BODY_MEMBERS:
    case CS__ROUTER__FRAME__BODY_FIND_VERSION:
    case CS__ROUTER__FRAME__BODY_VERSION_FOUND:
      return true;
    case CS__ROUTER__FRAME__BODY_VERSIONS:
      return frame->versions->n_versions <= CS_VERSION_HISTORY_MAX;
    case CS__ROUTER__FRAME__BODY_EVACUATIONS:
      return are_valid_evacuations (frame->evacuations);
    case CS__ROUTER__FRAME__BODY_TARGETS:
      return are_valid_targets (frame->targets);
    default:
      return false;
    }
}

int
cs_router_frame_parse (cs_str_t bytes, cs_router_frame_t **frame,
                       size_t *consumed)
{
  uint32_t len;
  *frame = NULL;
  *consumed = 0;
  if (bytes.len < CS_FRAME_HEADER_SIZE)
    return CS_OK;
  if (cs_frame_length ((const unsigned char *)bytes.data, CS_FRAME_MAX, &len)
      != 0)
    return CS_ERR_BAD_FRAME;
  if (bytes.len - CS_FRAME_HEADER_SIZE < len)
    return CS_OK;
  *frame = cs__router__frame__unpack (
      NULL, len, (const uint8_t *)bytes.data + CS_FRAME_HEADER_SIZE);
  if (*frame != NULL
      && (*frame)->body_case == CS__ROUTER__FRAME__BODY_COMPRESSED)
    {
      cs_router_frame_t *outer = *frame;
      *frame = decompress_frame (outer);
      cs__router__frame__free_unpacked (outer, NULL);
    }
  if (*frame == NULL)
    return CS_ERR_BAD_FRAME;
  if (!is_valid_frame (*frame))
    {
      cs__router__frame__free_unpacked (*frame, NULL);
      *frame = NULL;
      return CS_ERR_BAD_FRAME;
    }
  *consumed = CS_FRAME_HEADER_SIZE + len;
  return CS_OK;
}
