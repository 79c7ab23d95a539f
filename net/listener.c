#include "net/listener.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"

#define BACKLOG 1024
/* Connections accepted per readiness event, so that a burst of connections
   does not starve other events.  */
#define MAX_ACCEPTS_PER_EVENT 32

struct cs_listener
{
  int fd;
  struct event event;
  void (*on_accept) (void *context, int fd);
  void *context;
};

static void
on_readable (evutil_socket_t fd, short what, void *argument)
{
  cs_listener_t *listener = argument;
  for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++)
    {
      int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      listener->on_accept (listener->context, accepted);
    }
}

void
cs_listener_accept_pending (cs_listener_t *listener)
{
  int accepted;
  while ((accepted
          = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    listener->on_accept (listener->context, accepted);
}

static int
open_socket (const struct sockaddr_in *address)
{
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  int saved_errno = errno;
  close (fd);
  errno = saved_errno;
  return -1;
}

cs_listener_t *
cs_listener_create (cs_loop_t *loop, cs_str_t address,
                    void (*on_accept) (void *context, int fd), void *context)
{
  struct sockaddr_in parsed;
  cs_listener_t *listener = calloc (1, sizeof *listener);
  if (listener == NULL)
    return NULL;
  errno = EINVAL;
  listener->fd
      = cs_address_parse (address, &parsed) == 0 ? open_socket (&parsed) : -1;
  if (listener->fd < 0)
    {
      free (listener);
      return NULL;
    }
  listener->on_accept = on_accept;
  listener->context = context;
  event_assign (&listener->event, cs_loop_base (loop), listener->fd,
                EV_READ | EV_PERSIST, on_readable, listener);
  event_add (&listener->event, NULL);
  return listener;
}

void
cs_listener_destroy (cs_listener_t *listener)
{
  if (listener == NULL)
    return;
  event_del (&listener->event);
  close (listener->fd);
  free (listener);
}
