#include "internal.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>

static void
free_channel (cs_channel_t *channel)
{
  if (channel->queue != NULL)
    evbuffer_free (channel->queue);
  free (channel);
}

void
cs_channel_close (cs_channel_t *channel)
{
  if (channel == NULL || channel->closed)
    return;
  channel->closed = true;
  if (channel->lingering)
    cs_channel_end_linger (channel);
  event_del (&channel->readable);
  event_del (&channel->writable);
  cs_timer_clear (&channel->timer);
  close (channel->fd);
  if (!channel->in_callback)
    free_channel (channel);
}

/* Called after each callback.  Frees the channel and returns true if the
   callback closed it.  */
static bool
leave_callback (cs_channel_t *channel)
{
  channel->in_callback = false;
  if (!channel->closed)
    return false;
  free_channel (channel);
  return true;
}

void
cs_channel_reset (cs_channel_t *channel)
{
  struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (channel->fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
              sizeof reset_on_close);
  cs_channel_close (channel);
}

static void
handle_end (cs_channel_t *channel, int error)
{
  event_del (&channel->readable);
  event_del (&channel->writable);
  cs_timer_clear (&channel->timer);
  if (channel->lingering)
    {
      cs_channel_close (channel);
      return;
    }
  if (channel->connecting)
    error = CS_ERR_CONNECT;
  channel->in_callback = true;
  channel->handlers.on_end (channel->context, error);
  leave_callback (channel);
}

/* Returns the result of a connection from which no more can be read.  After a
   reset, the kernel reports an end of the stream once the error has been
   reported by a send, or if the peer had closed its side before.  */
static int
end_of_input (const cs_channel_t *channel)
{
  int error = 0;
  socklen_t len = sizeof error;
  getsockopt (channel->fd, SOL_SOCKET, SO_ERROR, &error, &len);
  return error != 0 || channel->send_failed ? CS_ERR_CUT : CS_OK;
}

static void
on_readable (evutil_socket_t fd, short what, void *argument)
{
  cs_channel_t *channel = argument;
  size_t size;
  char *buffer = cs_loop_read_buffer (channel->loop, &size);
  ssize_t got = recv (fd, buffer, size, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      handle_end (channel, got == 0 ? end_of_input (channel) : CS_ERR_CUT);
      return;
    }
  if (channel->lingering)
    return;
  channel->in_callback = true;
  channel->handlers.on_data (channel->context,
                             (cs_str_t){ buffer, (size_t)got });
  leave_callback (channel);
}

void
cs_channel_read (cs_channel_t *channel)
{
  on_readable (channel->fd, EV_READ, channel);
}

static void
output_drained (cs_channel_t *channel)
{
  if (channel->lingering)
    {
      shutdown (channel->fd, SHUT_WR);
      return;
    }
  if (channel->handlers.on_drained == NULL)
    return;
  channel->in_callback = true;
  channel->handlers.on_drained (channel->context);
  leave_callback (channel);
}

int
cs_channel_flush (cs_channel_t *channel)
{
  int sent = 0;
  if (evbuffer_get_length (channel->queue) > 0)
    {
      sent = evbuffer_write (channel->queue, channel->fd);
      if (sent < 0 && errno != EAGAIN && errno != EINTR)
        {
          handle_end (channel, CS_ERR_CUT);
          return -1;
        }
      if (sent > 0)
        channel->has_sent = true;
      if (sent > 0 && channel->lingering)
        cs_channel_extend_linger (channel);
    }
  if (evbuffer_get_length (channel->queue) > 0)
    event_add (&channel->writable, NULL);
  else
    output_drained (channel);
  return sent > 0 ? sent : 0;
}

static bool
complete_connect (cs_channel_t *channel)
{
  int error = 0;
  socklen_t len = sizeof error;
  getsockopt (channel->fd, SOL_SOCKET, SO_ERROR, &error, &len);
  if (error != 0)
    {
      handle_end (channel, CS_ERR_CONNECT);
      return false;
    }
  channel->connecting = false;
  cs_timer_clear (&channel->timer);
  if (!channel->paused)
    event_add (&channel->readable, NULL);
  if (channel->handlers.on_open == NULL)
    return true;
  channel->in_callback = true;
  channel->handlers.on_open (channel->context);
  return !leave_callback (channel);
}

static void
on_writable (evutil_socket_t fd, short what, void *argument)
{
  cs_channel_t *channel = argument;
  if (channel->connecting && !complete_connect (channel))
    return;
  if (channel->queue != NULL)
    cs_channel_flush (channel);
}

static void
on_timer (void *context, cs_time_us_t now)
{
  cs_channel_t *channel = context;
  handle_end (channel, CS_ERR_CUT);
}

static cs_channel_t *
create (cs_loop_t *loop, int fd, const cs_channel_handlers_t *handlers,
        void *context)
{
  cs_channel_t *channel = calloc (1, sizeof *channel);
  int one = 1;
  if (channel == NULL)
    {
      close (fd);
      return NULL;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  channel->loop = loop;
  channel->fd = fd;
  cs_channel_set_owner (channel, handlers, context);
  event_assign (&channel->readable, cs_loop_base (loop), fd,
                EV_READ | EV_PERSIST, on_readable, channel);
  event_assign (&channel->writable, cs_loop_base (loop), fd, EV_WRITE,
                on_writable, channel);
  cs_timer_init (&channel->timer, loop, on_timer, channel);
  return channel;
}

cs_channel_t *
cs_channel_connect (cs_loop_t *loop, const struct sockaddr_in *address,
                    cs_time_us_t connect_us, cs_time_us_t user_timeout_us,
                    const cs_channel_handlers_t *handlers, void *context)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  cs_channel_t *channel = create (loop, fd, handlers, context);
  if (channel == NULL)
    return NULL;
  unsigned timeout_ms = (unsigned)(user_timeout_us / CS_US_PER_MS);
  if (timeout_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
  channel->connecting = true;
  cs_timer_set (&channel->timer, connect_us);
  event_add (&channel->writable, NULL);
  return channel;
}

cs_channel_t *
cs_channel_adopt (cs_loop_t *loop, int fd,
                  const cs_channel_handlers_t *handlers, void *context)
{
  cs_channel_t *channel = create (loop, fd, handlers, context);
  if (channel != NULL)
    event_add (&channel->readable, NULL);
  return channel;
}

void
cs_channel_set_owner (cs_channel_t *channel,
                      const cs_channel_handlers_t *handlers, void *context)
{
  channel->handlers = *handlers;
  channel->context = context;
  channel->has_sent = false;
}

/* Output of this size is queued in memory of its exact size: evbuffer_add may
   take twice as much.  */
#define EXACT_BYTES 4096

static void
free_copy (const void *data, size_t len, void *context)
{
  free (context);
}

/* Returns 0, or -1 when out of memory.  */
static int
add_copy (struct evbuffer *queue, cs_str_t data)
{
  if (data.len < EXACT_BYTES)
    return evbuffer_add (queue, data.data, data.len);
  char *copy = malloc (data.len);
  if (copy == NULL)
    return -1;
  memcpy (copy, data.data, data.len);
  if (evbuffer_add_reference (queue, copy, data.len, free_copy, copy) == 0)
    return 0;
  free (copy);
  return -1;
}

static int
queue_output (cs_channel_t *channel, cs_str_t data)
{
  if (channel->queue == NULL)
    channel->queue = evbuffer_new ();
  if (channel->queue == NULL || add_copy (channel->queue, data) != 0)
    return CS_ERR_NO_MEMORY;
  if (!channel->connecting)
    event_add (&channel->writable, NULL);
  return CS_OK;
}

int
cs_channel_send (cs_channel_t *channel, cs_str_t data)
{
  if (channel->closed)
    return CS_OK;
  if (!channel->connecting && cs_channel_queued (channel) == 0)
    {
      ssize_t sent = send (channel->fd, data.data, data.len, MSG_NOSIGNAL);
      /* A send error is reported by the next read or queued write.  */
      if (sent > 0)
        {
          channel->has_sent = true;
          data.data += sent;
          data.len -= (size_t)sent;
        }
      else if (sent < 0 && errno != EAGAIN && errno != EINTR)
        channel->send_failed = true;
    }
  return data.len == 0 ? CS_OK : queue_output (channel, data);
}

size_t
cs_channel_queued (const cs_channel_t *channel)
{
  return channel->queue == NULL ? 0 : evbuffer_get_length (channel->queue);
}

bool
cs_channel_has_unacknowledged (const cs_channel_t *channel)
{
  int bytes = 0;
  return cs_channel_queued (channel) > 0
         || (ioctl (channel->fd, SIOCOUTQ, &bytes) == 0 && bytes > 0);
}

bool
cs_channel_has_sent (const cs_channel_t *channel)
{
  return channel->has_sent;
}

void
cs_channel_pause (cs_channel_t *channel, bool paused)
{
  if (channel->closed || channel->paused == paused)
    return;
  channel->paused = paused;
  if (channel->connecting)
    return;
  if (paused)
    event_del (&channel->readable);
  else
    event_add (&channel->readable, NULL);
}

bool
cs_channel_has_unread (const cs_channel_t *channel)
{
  char byte;
  return recv (channel->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
cs_channel_has_input (const cs_channel_t *channel)
{
  struct pollfd wait = { channel->fd, POLLIN, 0 };
  /* Unlike recv, poll leaves the error of a reset to be read.  */
  return !channel->connecting && !channel->paused && poll (&wait, 1, 0) > 0;
}

bool
cs_channel_has_ended (const cs_channel_t *channel)
{
  char byte;
  ssize_t got = recv (channel->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void
cs_channel_enable_keepalive (cs_channel_t *channel, int idle_s, int count)
{
  int one = 1;
  setsockopt (channel->fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (channel->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (channel->fd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof one);
  setsockopt (channel->fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}
