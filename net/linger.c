/* Channels without an owner: closed, but the connection is not yet.  */

#include <sys/socket.h>

#include "internal.h"

/* How long a lingering close waits for the peer to read queued output, and
   then to close.  */
#define LINGER_US (2 * CS_US_PER_S)

static cs_channel_t **
lingering_channels (cs_loop_t *loop)
{
  return (cs_channel_t **)cs_loop_lingering_channels (loop);
}

void
cs_channel_end_linger (cs_channel_t *channel)
{
  cs_channel_t **at = lingering_channels (channel->loop);
  while (*at != NULL && *at != channel)
    at = &(*at)->next_lingering;
  if (*at != NULL)
    *at = channel->next_lingering;
}

void
cs_channel_extend_linger (cs_channel_t *channel)
{
  cs_timer_set (&channel->timer, LINGER_US);
}

/* The kernel reports a socket as writable only once a good part of its buffer
   is free.  A peer that reads less than that in LINGER_US still reads.  */
static void
on_timer (void *context, cs_time_us_t now)
{
  cs_channel_t *channel = context;
  if (cs_channel_queued (channel) == 0 || cs_channel_flush (channel) == 0)
    cs_channel_close (channel);
}

static void
linger (cs_channel_t *channel, bool read)
{
  if (channel->closed || channel->lingering)
    return;
  channel->lingering = true;
  cs_channel_t **list = lingering_channels (channel->loop);
  channel->next_lingering = *list;
  *list = channel;
  cs_channel_pause (channel, !read);
  cs_timer_clear (&channel->timer);
  cs_timer_init (&channel->timer, channel->loop, on_timer, channel);
  cs_channel_extend_linger (channel);
  if (cs_channel_queued (channel) == 0)
    shutdown (channel->fd, SHUT_WR);
}

void
cs_channel_close_gracefully (cs_channel_t *channel)
{
  linger (channel, true);
}

void
cs_channel_close_unread (cs_channel_t *channel)
{
  linger (channel, false);
}

bool
cs_channels_have_lingering_output (cs_loop_t *loop)
{
  const cs_channel_t *channel = *lingering_channels (loop);
  while (channel != NULL && cs_channel_queued (channel) == 0)
    channel = channel->next_lingering;
  return channel != NULL;
}

void
cs_channels_close_lingering (cs_loop_t *loop)
{
  cs_channel_t **list = lingering_channels (loop);
  while (*list != NULL)
    cs_channel_close (*list);
}
