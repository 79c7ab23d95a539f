/* Connections on the event loop thread: they wait for a request, or for the
   peer to close after the last response.  */

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "daemon/web/internal.h"

#define READ_BYTES 16384
#define MS_PER_S 1000
/* Time limit of a lingering close; the router's channels use the same.  */
#define LINGER_MS 2000

static bool
on_head (void *context, const cs_http_head_t *head)
{
  cs_web_request_t *request = context;
  request->head_done = true;
  return false;
}

static void
on_body (void *context, cs_str_t buffer)
{
  cs_web_request_t *request = context;
  if (request->body_rc != 0)
    return;
  if (request->body->len + buffer.len > request->max_body_bytes)
    request->body_rc = CS_ERR_TOO_LARGE;
  else
    request->body_rc = cs_buf_append (request->body, buffer);
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
  cs_buf_free (&request->read_ahead);
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

/* Passes a request whose head has arrived to the workers.  */
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
cs_web_close_connection (cs_web_request_t *request)
{
  unlink_idle (request);
  cs_web_free_connection (request);
}

/* Waits for input, with the timeout of the state of the connection.  */
static void
await_input (cs_web_request_t *request)
{
  const cs_web_options_t *options = &request->web->options;
  uint32_t ms = options->idle_timeout_ms;
  if (request->lingering)
    ms = LINGER_MS;
  else if (cs_http_reader_has_begun (request->reader))
    ms = options->request_timeout_ms;
  struct timeval timeout = { ms / MS_PER_S, ms % MS_PER_S * 1000 };
  event_add (request->event, &timeout);
}

void
cs_web_begin_linger (cs_web_request_t *request)
{
  shutdown (request->fd, SHUT_WR);
  request->lingering = true;
  request->linger_until = cs_clock_now () + LINGER_MS * CS_US_PER_MS;
  cs_buf_clear (&request->read_ahead);
}

/* Responds to input that cannot be parsed as a request, and closes the
   connection.  */
static void
reject_malformed (cs_web_request_t *request)
{
  bool too_large = cs_http_reader_error (request->reader) == CS_ERR_TOO_LARGE;
  cs_web_printf (request,
                 "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                 "Connection: close\r\n\r\n",
                 too_large ? "431 Request Header Fields Too Large"
                           : "400 Bad Request");
  cs_web_begin_linger (request);
  await_input (request);
}

/* Parses DATA up to the end of a request head, and passes a complete one to
   the workers.  */
static void
process_input (cs_web_request_t *request, cs_str_t data)
{
  size_t consumed = cs_http_reader_feed (request->reader, data);
  if (cs_http_reader_state (request->reader) == CS_HTTP_BROKEN)
    {
      reject_malformed (request);
      return;
    }
  if (!request->head_done)
    {
      await_input (request);
      return;
    }
  cs_str_t rest = { data.data + consumed, data.len - consumed };
  if (cs_buf_append (&request->read_ahead, rest) != 0)
    cs_web_close_connection (request);
  else
    enqueue (request);
}

void
cs_web_on_event (evutil_socket_t fd, short what, void *argument)
{
  cs_web_request_t *request = argument;
  char buffer[READ_BYTES];
  bool timed_out = (what & EV_TIMEOUT) != 0;
  /* After a standstill of the process, timeouts that are due are reported
     before input that has arrived, or in its place.  */
  ssize_t received = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT);
  if (received < 0 && ((errno == EAGAIN && !timed_out) || errno == EINTR))
    await_input (request);
  else if (received <= 0
           || (request->lingering && cs_clock_now () >= request->linger_until))
    cs_web_close_connection (request);
  else if (request->lingering)
    await_input (request);
  else
    process_input (request, (cs_str_t){ buffer, (size_t)received });
}

void
cs_web_await_request (cs_web_request_t *request)
{
  cs_web_t *web = request->web;
  request->previous_idle = NULL;
  request->next_idle = web->idle;
  if (web->idle != NULL)
    web->idle->previous_idle = request;
  web->idle = request;
  if (request->read_ahead.len == 0)
    {
      await_input (request);
      return;
    }
  cs_buf_t read_ahead = request->read_ahead;
  request->read_ahead = (cs_buf_t){ 0 };
  process_input (request, cs_buf_str (&read_ahead));
  cs_buf_free (&read_ahead);
}
