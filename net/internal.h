/* Internals of channels, shared by channel.c and linger.c.  */

#ifndef CS_NET_INTERNAL_H
#define CS_NET_INTERNAL_H

#include "net/channel.h"

struct evbuffer;

struct cs_channel
{
  cs_loop_t *loop;
  int fd;
  struct event readable;
  struct event writable;
  struct evbuffer *queue; /* created when output is first queued */
  cs_channel_handlers_t handlers;
  void *context;
  cs_timer_t timer; /* connect timeout, later the linger timeout */
  bool connecting;
  bool has_sent;
  bool send_failed; /* the error of the socket was taken by a failed send */
  bool lingering;
  bool paused;
  bool in_callback;
  bool closed;
  cs_channel_t *next_lingering; /* in the loop's list */
};

/* Writes queued output.  Returns the number of bytes written, or -1 if the
   connection is lost; then on_end has been called, or a lingering channel is
   closed.  */
int cs_channel_flush (cs_channel_t *channel);

/* Gives the peer the whole time of a lingering close again.  */
void cs_channel_extend_linger (cs_channel_t *channel);

/* Removes the channel, which is closed, from the loop's list.  */
void cs_channel_end_linger (cs_channel_t *channel);

#endif
