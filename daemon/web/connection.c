/* Connections on the server's thread: they wait for a request, or for their
   peer to close after the last answer.  */

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "daemon/web/internal.h"

#define READ_BYTES 16384
#define MS_PER_S 1000
/* How long a finished connection waits for its peer to close; as the router's
   channels do.  */
#define LINGER_MS 2000

static bool
on_head (void *context, const cs_http_head_t *head)
{
  cs_web_request_t *request = context;
  request->head_done = true;
  return false;
}

static void
on_body (void *context, cs_str_t part)
{
  cs_web_request_t *request = context;
  if (request->body_rc != 0)
    return;
  if (request->body->len + part.len > request->body_most)
    request->body_rc = CS_ERR_TOO_LARGE;
  else
    request->body_rc = cs_buf_append (request->body, part);
}

const cs_http_handlers_t cs_web_reader_handlers
    = { .on_head = on_head, .on_body = on_body };

void
cs_web_free_connection (cs_web_request_t *request)
{
  if (request->event != NULL)
    event_free (request->event);
  close (request->fd);
  cs_http_reader_destroy (request->reader);
  cs_buf_free (&request->ahead);
  free (request->path);
  free (request);
}

static void
unlink_idle (cs_web_request_t *request)
{
  if (request->previous_idle != NULL)
    request->previous_idle->next_idle = request->next_idle;
  else
    request->web->idle = request->next_idle;
  if (request->next_idle != NULL)
    request->next_idle->previous_idle = request->previous_idle;
  request->next_idle = NULL;
  request->previous_idle = NULL;
}

/* Gives a request whose head has arrived to the workers.  */
static void
enqueue (cs_web_request_t *request)
{
  cs_web_t *web = request->web;
  event_del (request->event);
  unlink_idle (request);
  pthread_mutex_lock (&web->lock);
  request->next = NULL;
  if (web->last != NULL)
    web->last->next = request;
  else
    web->first = request;
  web->last = request;
  pthread_cond_signal (&web->arrived);
  pthread_mutex_unlock (&web->lock);
}

void
cs_web_drop (cs_web_request_t *request)
{
  unlink_idle (request);
  cs_web_free_connection (request);
}

static void
wait_for_more (cs_web_request_t *request)
{
  const cs_web_options_t *options = &request->web->options;
  uint32_t ms = options->idle_timeout_ms;
  if (request->finishing)
    ms = LINGER_MS;
  else if (cs_http_reader_has_begun (request->reader))
    ms = options->request_timeout_ms;
  struct timeval limit = { ms / MS_PER_S, ms % MS_PER_S * 1000 };
  event_add (request->event, &limit);
}

void
cs_web_finish (cs_web_request_t *request)
{
  shutdown (request->fd, SHUT_WR);
  request->finishing = true;
  request->finish_until = cs_clock_now () + LINGER_MS * CS_US_PER_MS;
  cs_buf_clear (&request->ahead);
}

/* Answers what cannot be read as a request, and closes.  */
static void
reject (cs_web_request_t *request)
{
  bool large = cs_http_reader_error (request->reader) == CS_ERR_TOO_LARGE;
  cs_web_printf (request,
                 "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                 "Connection: close\r\n\r\n",
                 large ? "431 Request Header Fields Too Large"
                       : "400 Bad Request");
  cs_web_finish (request);
  wait_for_more (request);
}

/* Reads DATA up to the end of a head.  */
static void
take (cs_web_request_t *request, cs_str_t data)
{
  size_t taken = cs_http_reader_feed (request->reader, data);
  if (cs_http_reader_state (request->reader) == CS_HTTP_BROKEN)
    {
      reject (request);
      return;
    }
  if (!request->head_done)
    {
      wait_for_more (request);
      return;
    }
  cs_str_t rest = { data.data + taken, data.len - taken };
  if (cs_buf_append (&request->ahead, rest) != 0)
    cs_web_drop (request);
  else
    enqueue (request);
}

void
cs_web_on_event (evutil_socket_t fd, short what, void *argument)
{
  cs_web_request_t *request = argument;
  char part[READ_BYTES];
  if ((what & EV_TIMEOUT) != 0)
    {
      cs_web_drop (request);
      return;
    }
  ssize_t got = recv (fd, part, sizeof part, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    wait_for_more (request);
  else if (got <= 0
           || (request->finishing && cs_clock_now () >= request->finish_until))
    cs_web_drop (request);
  else if (request->finishing)
    wait_for_more (request);
  else
    take (request, (cs_str_t){ part, (size_t)got });
}

void
cs_web_wait_on (cs_web_request_t *request)
{
  cs_web_t *web = request->web;
  request->previous_idle = NULL;
  request->next_idle = web->idle;
  if (web->idle != NULL)
    web->idle->previous_idle = request;
  web->idle = request;
  if (request->ahead.len == 0)
    {
      wait_for_more (request);
      return;
    }
  cs_buf_t ahead = request->ahead;
  request->ahead = (cs_buf_t){ 0 };
  take (request, cs_buf_str (&ahead));
  cs_buf_free (&ahead);
}
