#include "daemon/frame.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define NONCE_BYTES 16
#define PROOF_BYTES 32

int
cs_frame_pack (const cs_frame_t *frame, cs_buf_t *out)
{
  return cs_frame_append (&frame->base, out);
}

static bool
is_valid_host (const Cs__Peer__Host *host)
{
  return host != NULL && host->id != 0 && cs_name_is_valid (host->name)
         && cs_name_is_valid (host->data_centre)
         && cs_name_is_valid (host->peer_address)
         && cs_name_is_valid (host->caller_address);
}

static bool
are_valid_hosts (const Cs__Peer__Hosts *hosts)
{
  for (size_t i = 0; i < hosts->n_hosts; i++)
    if (!is_valid_host (hosts->hosts[i]))
      return false;
  return true;
}

static bool
is_valid_configuration (const Cs__Peer__Configuration *configuration)
{
  bool note = configuration->note.len > 0;
  bool document = configuration->document.len > 0;
  return configuration->revision > 0 && note != document;
}

static bool
is_valid_frame (const cs_frame_t *frame)
{
  switch (frame->body_case)
    {
    case CS__PEER__FRAME__BODY_CHALLENGE:
      return frame->challenge->nonce.len == NONCE_BYTES;
    case CS__PEER__FRAME__BODY_HELLO:
      return is_valid_host (frame->hello->host)
             && frame->hello->nonce.len == NONCE_BYTES
             && frame->hello->proof.len == PROOF_BYTES;
    case CS__PEER__FRAME__BODY_WELCOME:
      return is_valid_host (frame->welcome->host)
             && frame->welcome->proof.len == PROOF_BYTES;
    case CS__PEER__FRAME__BODY_HOSTS:
      return are_valid_hosts (frame->hosts);
    case CS__PEER__FRAME__BODY_ASK:
      return frame->ask->pool != 0 && frame->ask->weight > 0;
    case CS__PEER__FRAME__BODY_TARGET_WORD:
      return strlen (frame->target_word->instance) <= CS_NAME_MAX;
    case CS__PEER__FRAME__BODY_CONFIGURATION:
      return is_valid_configuration (frame->configuration);
    case CS__PEER__FRAME__BODY__NOT_SET:
      return false;
    default:
      return true;
    }
}

cs_frame_t *
cs_frame_unpack (cs_str_t bytes)
{
  cs_frame_t *frame
      = cs__peer__frame__unpack (NULL, bytes.len, (const uint8_t *)bytes.data);
  if (frame == NULL)
    return NULL;
  if (!is_valid_frame (frame))
    {
      cs_frame_free (frame);
      return NULL;
    }
  return frame;
}

void
cs_frame_free (cs_frame_t *frame)
{
  if (frame != NULL)
    cs__peer__frame__free_unpacked (frame, NULL);
}

static int
read_full (int fd, void *out, size_t len)
{
  char *at = out;
  while (len > 0)
    {
      ssize_t got = recv (fd, at, len, 0);
      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return CS_ERR_CUT;
      at += got;
      len -= (size_t)got;
    }
  return 0;
}

int
cs_frame_read (int fd, uint32_t max_length, cs_frame_t **frame,
               uint64_t *bytes)
{
  unsigned char head[CS_FRAME_HEADER_SIZE];
  uint32_t length;
  *frame = NULL;
  if (read_full (fd, head, sizeof head) != 0)
    return CS_ERR_CUT;
  if (cs_frame_length (head, max_length, &length) != 0)
    return CS_ERR_BAD_FRAME;
  char *body = malloc (length);
  if (body == NULL)
    return CS_ERR_NO_MEMORY;
  int rc = read_full (fd, body, length);
  if (rc == 0)
    {
      cs_str_t body_bytes = { body, length };
      *bytes += CS_FRAME_HEADER_SIZE + length;
      *frame = cs_frame_unpack (body_bytes);
      rc = *frame == NULL ? CS_ERR_BAD_FRAME : 0;
    }
  free (body);
  return rc;
}
