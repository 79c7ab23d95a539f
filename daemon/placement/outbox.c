#include "placement/outbox.h"

#include <stdlib.h>
#include <string.h>

static cs_frame_t *
copy_frame (const cs_frame_t *frame)
{
  size_t len = cs__peer__frame__get_packed_size (frame);
  uint8_t *packed = malloc (len + 1);
  if (packed == NULL)
    return NULL;
  cs__peer__frame__pack (frame, packed);
  cs_frame_t *copy = cs__peer__frame__unpack (NULL, len, packed);
  free (packed);
  return copy;
}

void
outbox_add (outbox_t *outbox, uint64_t host, const cs_frame_t *frame)
{
  if (outbox->count == outbox->capacity)
    {
      size_t capacity = outbox->capacity == 0 ? 8 : outbox->capacity * 2;
      outbox_item_t *grown
          = realloc (outbox->items, capacity * sizeof *outbox->items);
      if (grown == NULL)
        return;
      outbox->items = grown;
      outbox->capacity = capacity;
    }
  cs_frame_t *copy = copy_frame (frame);
  if (copy == NULL)
    return;
  outbox->items[outbox->count].host = host;
  outbox->items[outbox->count].frame = copy;
  outbox->count++;
}

void
outbox_send (outbox_t *outbox, cs_peers_t *peers)
{
  for (size_t i = 0; i < outbox->count; i++)
    {
      /* Unreachable hosts are reported by their links.  */
      if (peers != NULL)
        (void)cs_peers_send (peers, outbox->items[i].host,
                             outbox->items[i].frame);
      cs_frame_free (outbox->items[i].frame);
    }
  free (outbox->items);
  memset (outbox, 0, sizeof *outbox);
}
