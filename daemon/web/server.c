#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/error.h"
#include "daemon/web/internal.h"

#define MAX_HEAD_BYTES (16U * 1024)
#define BACKLOG 1024
#define MS_PER_S 1000

static void
set_timeouts (int fd, uint32_t ms)
{
  struct timeval timeout = { ms / MS_PER_S, ms % MS_PER_S * 1000 };
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_accept (evutil_socket_t fd, short what, void *argument)
{
  cs_web_t *web = argument;
  int accepted = accept4 (fd, NULL, NULL, SOCK_CLOEXEC);
  if (accepted < 0)
    return;
  cs_web_request_t *request = calloc (1, sizeof *request);
  if (request == NULL)
    {
      close (accepted);
      return;
    }
  set_timeouts (accepted, web->options.request_timeout_ms);
  request->web = web;
  request->fd = accepted;
  request->reader = cs_http_reader_create (CS_HTTP_REQUESTS, MAX_HEAD_BYTES,
                                           &cs_web_reader_handlers, request);
  request->event
      = event_new (web->base, accepted, EV_READ, cs_web_on_event, request);
  if (request->reader == NULL || request->event == NULL)
    cs_web_free_connection (request);
  else
    cs_web_await_request (request);
}

static void
on_wake (evutil_socket_t fd, short what, void *argument)
{
  cs_web_t *web = argument;
  char bytes[64];
  while (read (fd, bytes, sizeof bytes) == sizeof bytes)
    continue;
  pthread_mutex_lock (&web->lock);
  cs_web_request_t *returned = web->returned;
  bool stopping = web->stopping;
  web->returned = NULL;
  pthread_mutex_unlock (&web->lock);
  while (returned != NULL)
    {
      cs_web_request_t *request = returned;
      returned = request->next;
      cs_web_await_request (request);
    }
  if (stopping)
    event_base_loopbreak (web->base);
}

static void
wake_event_loop (cs_web_t *web)
{
  /* The write fails if the pipe is full, which wakes the thread as well.  */
  if (write (web->wake[1], "", 1) < 0)
    return;
}

static void
return_connection (cs_web_request_t *request)
{
  cs_web_t *web = request->web;
  pthread_mutex_lock (&web->lock);
  request->next = web->returned;
  web->returned = request;
  pthread_mutex_unlock (&web->lock);
  wake_event_loop (web);
}

/* Waits for the next request.  Returns NULL if the server is stopping and no
   request is left.  */
static cs_web_request_t *
dequeue (cs_web_t *web)
{
  pthread_mutex_lock (&web->lock);
  while (web->first == NULL && !web->stopping)
    pthread_cond_wait (&web->arrived, &web->lock);
  cs_web_request_t *request = web->first;
  if (request != NULL)
    {
      web->first = request->next;
      if (web->first == NULL)
        web->last = NULL;
    }
  pthread_mutex_unlock (&web->lock);
  return request;
}

static void *
run_worker (void *argument)
{
  cs_web_t *web = argument;
  cs_web_request_t *request;
  while ((request = dequeue (web)) != NULL)
    {
      if (cs_web_serve (request))
        return_connection (request);
      else
        cs_web_free_connection (request);
    }
  return NULL;
}

static void *
run_event_loop (void *argument)
{
  cs_web_t *web = argument;
  event_base_dispatch (web->base);
  return NULL;
}

static int
open_socket (const char *listen_address, cs_name_t *bound)
{
  struct sockaddr_in address;
  socklen_t len = sizeof address;
  char ip[INET_ADDRSTRLEN];
  char text[CS_NAME_MAX + 1];
  int on = 1;
  if (cs_address_parse (cs_str (listen_address), &address) != 0)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (const struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    {
      close (fd);
      return -1;
    }
  inet_ntop (AF_INET, &address.sin_addr, ip, sizeof ip);
  snprintf (text, sizeof text, "%s:%u", ip, ntohs (address.sin_port));
  cs_name_set (bound, cs_str (text));
  return fd;
}

static bool
create_events (cs_web_t *web)
{
  web->base = event_base_new ();
  if (web->base == NULL || pipe (web->wake) != 0)
    return false;
  evutil_make_socket_nonblocking (web->wake[0]);
  evutil_make_socket_nonblocking (web->wake[1]);
  web->accept_event = event_new (web->base, web->listen_fd,
                                 EV_READ | EV_PERSIST, on_accept, web);
  web->wake_event = event_new (web->base, web->wake[0], EV_READ | EV_PERSIST,
                               on_wake, web);
  return web->accept_event != NULL && web->wake_event != NULL
         && event_add (web->accept_event, NULL) == 0
         && event_add (web->wake_event, NULL) == 0;
}

static bool
start_threads (cs_web_t *web)
{
  web->workers = calloc (web->options.workers, sizeof *web->workers);
  if (web->workers == NULL
      || pthread_create (&web->thread, NULL, run_event_loop, web) != 0)
    return false;
  while (web->worker_count < web->options.workers)
    {
      if (pthread_create (&web->workers[web->worker_count], NULL, run_worker,
                          web)
          != 0)
        break;
      web->worker_count++;
    }
  return web->worker_count > 0;
}

/* Frees WEB.  No thread may be running any more.  */
static void
destroy (cs_web_t *web)
{
  for (cs_web_request_t *at = web->returned; at != NULL;)
    {
      cs_web_request_t *next = at->next;
      cs_web_free_connection (at);
      at = next;
    }
  while (web->idle != NULL)
    cs_web_close_connection (web->idle);
  if (web->accept_event != NULL)
    event_free (web->accept_event);
  if (web->wake_event != NULL)
    event_free (web->wake_event);
  if (web->base != NULL)
    event_base_free (web->base);
  if (web->listen_fd >= 0)
    close (web->listen_fd);
  for (int i = 0; i < 2; i++)
    if (web->wake[i] >= 0)
      close (web->wake[i]);
  pthread_mutex_destroy (&web->lock);
  pthread_cond_destroy (&web->arrived);
  free (web->workers);
  free (web);
}

cs_web_t *
cs_web_start (const cs_web_options_t *options, cs_name_t *bound)
{
  cs_web_t *web = calloc (1, sizeof *web);
  if (web == NULL)
    return NULL;
  web->options = *options;
  web->wake[0] = -1;
  web->wake[1] = -1;
  pthread_mutex_init (&web->lock, NULL);
  pthread_cond_init (&web->arrived, NULL);
  web->listen_fd = open_socket (options->listen, bound);
  if (web->listen_fd < 0 || !create_events (web))
    {
      destroy (web);
      return NULL;
    }
  if (!start_threads (web))
    {
      cs_web_stop (web);
      return NULL;
    }
  return web;
}

void
cs_web_stop (cs_web_t *web)
{
  pthread_mutex_lock (&web->lock);
  web->stopping = true;
  pthread_cond_broadcast (&web->arrived);
  pthread_mutex_unlock (&web->lock);
  for (uint32_t i = 0; i < web->worker_count; i++)
    pthread_join (web->workers[i], NULL);
  wake_event_loop (web);
  if (web->worker_count > 0)
    pthread_join (web->thread, NULL);
  destroy (web);
}
