#include "router/caller.h"

#include <stdlib.h>

#include "common/log.h"
#include "cranberrystile/error_response.h"
#include "http/response.h"
#include "router/caller/internal.h"

/* Pipelined requests are buffered up to this size; then reading from the
   caller pauses until the current request has been served.  */
#define MAX_PIPELINED_BYTES (64U * 1024)

/* Fraction of the idle timeout that callers are told.  The rest is for the
   delays of a busy link, on which a request and a close could cross.  */
#define STATED_IDLE_SHARE 0.8
/* A caller sends its first request this soon after it has connected, even if
   the network is slow.  */
#define FIRST_REQUEST_US (1 * CS_US_PER_S)

static void
unlink_caller (cs_caller_t *caller)
{
  if (caller->previous != NULL)
    caller->previous->next = caller->next;
  else
    caller->router->callers = caller->next;
  if (caller->next != NULL)
    caller->next->previous = caller->previous;
}

static void
release (cs_caller_t *caller)
{
  cs_http_reader_destroy (caller->reader);
  caller->router->body_bytes -= caller->body.len;
  cs_buf_free (&caller->body);
  cs_buf_free (&caller->pipelined);
  free (caller);
}

/* Closes the connection with CLOSE_CHANNEL.  */
static void
disconnect (cs_caller_t *caller, void (*close_channel) (cs_channel_t *))
{
  unlink_caller (caller);
  cs_caller_output_drained (caller);
  cs_timer_clear (&caller->timer);
  close_channel (caller->channel);
  caller->destroyed = true;
}

static void
destroy (cs_caller_t *caller, void (*close_channel) (cs_channel_t *))
{
  disconnect (caller, close_channel);
  if (!caller->reading)
    release (caller);
}

void
cs_caller_reject (cs_caller_t *caller, int error)
{
  const cs_error_response_t *error_response = cs_error_response_for (error);
  cs_str_t empty = { "", 0 };
  cs_buf_t body = { 0 };
  cs_buf_t response = { 0 };
  caller->router->counters.failed[-error]++;
  cs_log (CS_EV_REQUEST_FAILED, "error=%s status=%d", cs_error_name (error),
          error_response->status);
  if (cs_error_response_body (error, empty, empty, 0, &body) == 0
      && cs_http_write_response (error_response->status,
                                 cs_str ("Content-Type: application/json\r\n"),
                                 cs_buf_str (&body), false, true, &response)
             == 0)
    cs_channel_send (caller->channel, cs_buf_str (&response));
  cs_buf_free (&body);
  cs_buf_free (&response);
  destroy (caller, cs_channel_close_gracefully);
}

/* Closes a connection without a request.  A request that crosses the close is
   not read, so that its caller knows that it has not run.  */
static void
close_idle (cs_caller_t *caller)
{
  destroy (caller, cs_channel_close_unread);
}

static void
on_timer (void *context, cs_time_us_t now)
{
  cs_caller_t *caller = context;
  if (caller->pipelined.len == 0 && cs_channel_has_unread (caller->channel)
      && cs_overdue_may_read (&caller->overdue, now))
    {
      cs_timer_set (&caller->timer, 0);
      cs_channel_read (caller->channel);
    }
  else if (cs_http_reader_has_begun (caller->reader))
    cs_caller_reject (caller, CS_ERR_SLOW_CALLER);
  else
    close_idle (caller);
}

static void
set_idle_timer (cs_caller_t *caller)
{
  caller->overdue.since = 0;
  cs_timer_set (&caller->timer,
                cs_caller_limits (caller)->idle_timeout_ms * CS_US_PER_MS);
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  cs_caller_t *caller = context;
  const cs_str_t *expect = cs_http_head_find (head, "expect");
  if (head->has_length && head->length > cs_caller_limits (caller)->body_bytes)
    {
      caller->too_large = true;
      return false;
    }
  if (expect != NULL && cs_http_name_is (*expect, "100-continue")
      && (head->chunked || head->length > 0))
    cs_channel_send (
        caller->channel,
        (cs_str_t){ continue_response, sizeof continue_response - 1 });
  return true;
}

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = cs_caller_receive_body };

/* Forwards the request that has been read.  Called only from read_requests,
   which frees a destroyed caller afterwards.  */
static void
serve (cs_caller_t *caller)
{
  cs_router_t *router = caller->router;
  cs_time_us_t now = cs_loop_now (router->loop);
  cs_http_head_t *head = cs_http_reader_head (caller->reader);
  cs_timer_clear (&caller->timer);
  /* An overloaded router may get to a request long after its caller has
     disconnected.  */
  if (cs_channel_has_ended (caller->channel))
    {
      router->counters.callers_gone++;
      cs_log (CS_EV_CALLER_CLOSED, "why=gone");
      disconnect (caller, cs_channel_close);
      return;
    }
  caller->close_after = !head->keep_alive;
  caller->forward
      = cs_forward_create (router, caller, head, &caller->body, now);
  cs_http_reader_next (caller->reader);
  if (caller->forward == NULL)
    cs_caller_reject (caller, CS_ERR_NO_MEMORY);
  else
    cs_forward_run (caller->forward, now);
}

/* Consumes DATA up to the end of the current request.  */
static void
read_request (cs_caller_t *caller, cs_str_t *data)
{
  bool had_begun = cs_http_reader_has_begun (caller->reader);
  size_t consumed = cs_http_reader_feed (caller->reader, *data);
  data->data += consumed;
  data->len -= consumed;
  if (caller->too_large)
    {
      cs_caller_reject (caller, CS_ERR_TOO_LARGE);
      return;
    }
  if (caller->body_memory_full)
    {
      cs_caller_reject_body (caller);
      return;
    }
  switch (cs_http_reader_state (caller->reader))
    {
    case CS_HTTP_BROKEN:
      cs_caller_reject (caller, cs_http_reader_error (caller->reader)
                                        == CS_ERR_TOO_LARGE
                                    ? CS_ERR_HEAD_TOO_LARGE
                                    : CS_ERR_BAD_REQUEST);
      return;
    case CS_HTTP_COMPLETE:
      serve (caller);
      return;
    case CS_HTTP_IN_HEAD:
      if (!had_begun && cs_http_reader_has_begun (caller->reader))
        {
          caller->overdue.since = 0;
          cs_timer_set (&caller->timer,
                        cs_caller_limits (caller)->head_timeout_ms
                            * CS_US_PER_MS);
        }
      return;
    case CS_HTTP_IN_BODY:
      set_idle_timer (caller);
      return;
    }
}

/* Whether the next request may be read: not before the ones that were
   buffered, nor while the caller has not read the responses.  */
static bool
may_read_request (const cs_caller_t *caller)
{
  return caller->forward == NULL && !caller->destroyed
         && caller->pipelined.len == 0 && !cs_caller_is_behind (caller);
}

/* Serves the requests in DATA until one is waiting for its response, and
   buffers the rest.  */
static void
read_requests (cs_caller_t *caller, cs_str_t data)
{
  caller->reading = true;
  while (data.len > 0 && may_read_request (caller))
    read_request (caller, &data);
  caller->reading = false;
  if (caller->destroyed)
    {
      release (caller);
      return;
    }
  if (data.len > 0
      && (cs_buf_append (&caller->pipelined, data) != 0
          || caller->pipelined.len > MAX_PIPELINED_BYTES))
    cs_channel_pause (caller->channel, true);
}

static void
on_data (void *context, cs_str_t data)
{
  read_requests (context, data);
}

static void
on_end (void *context, int error)
{
  cs_caller_t *caller = context;
  if (caller->forward != NULL)
    cs_forward_abandon (caller->forward);
  destroy (caller, cs_channel_close);
}

/* Resumes reading after a response, starting with the buffered
   data.  */
static void
read_pipelined (cs_caller_t *caller)
{
  cs_buf_t pipelined = caller->pipelined;
  caller->pipelined = (cs_buf_t){ 0 };
  cs_channel_pause (caller->channel, false);
  read_requests (caller, cs_buf_str (&pipelined));
  cs_buf_free (&pipelined);
}

static void
on_drained (void *context)
{
  cs_caller_t *caller = context;
  cs_caller_output_drained (caller);
  if (caller->forward != NULL)
    cs_forward_drained (caller->forward);
  else if (!caller->reading && caller->pipelined.len > 0)
    read_pipelined (caller);
}

static const cs_channel_handlers_t channel_handlers
    = { .on_data = on_data, .on_end = on_end, .on_drained = on_drained };

void
cs_caller_accept (void *context, int fd)
{
  cs_router_t *router = context;
  cs_caller_t *caller = calloc (1, sizeof *caller);
  if (caller == NULL)
    goto fail;
  caller->router = router;
  caller->reader = cs_http_reader_create (
      CS_HTTP_REQUESTS, cs_caller_limits (caller)->head_bytes,
      &reader_handlers, caller);
  if (caller->reader == NULL)
    goto fail;
  caller->channel
      = cs_channel_adopt (router->loop, fd, &channel_handlers, caller);
  if (caller->channel == NULL)
    goto fail_adopted;
  cs_timer_init (&caller->timer, router->loop, on_timer, caller);
  caller->next = router->callers;
  if (caller->next != NULL)
    caller->next->previous = caller;
  router->callers = caller;
  router->counters.connections++;
  caller->accepted_at = cs_loop_now (router->loop);
  set_idle_timer (caller);
  return;
fail:
  evutil_closesocket (fd);
fail_adopted:
  if (caller != NULL)
    cs_http_reader_destroy (caller->reader);
  free (caller);
}

bool
cs_caller_should_close (const cs_caller_t *caller)
{
  return caller->close_after || caller->router->stopping;
}

int
cs_caller_write_connection_fields (const cs_caller_t *caller, bool close,
                                   cs_buf_t *out)
{
  double idle_ms = cs_caller_limits (caller)->idle_timeout_ms;
  unsigned stated_s = (unsigned)(idle_ms * STATED_IDLE_SHARE / 1000);
  if (close)
    return cs_buf_append (out, cs_str ("Connection: close\r\n"));
  if (stated_s == 0)
    return CS_OK;
  return cs_buf_printf (out, "Keep-Alive: timeout=%u\r\n", stated_s);
}

void
cs_caller_complete (cs_caller_t *caller, bool close)
{
  caller->forward = NULL;
  if (close)
    {
      destroy (caller, cs_channel_close_gracefully);
      return;
    }
  set_idle_timer (caller);
  if (!caller->reading && caller->pipelined.len > 0
      && !cs_caller_is_behind (caller))
    read_pipelined (caller);
}

void
cs_caller_abort (cs_caller_t *caller, bool ends_at_close)
{
  destroy (caller, ends_at_close ? cs_channel_reset : cs_channel_close);
}

void
cs_callers_close_idle (cs_router_t *router, cs_time_us_t now)
{
  cs_caller_t *next;
  for (cs_caller_t *caller = router->callers; caller != NULL; caller = next)
    {
      next = caller->next;
      if (caller->forward == NULL && !cs_http_reader_has_begun (caller->reader)
          && now - caller->accepted_at > FIRST_REQUEST_US
          && !cs_channel_has_unread (caller->channel))
        close_idle (caller);
    }
}

void
cs_callers_close_all (cs_router_t *router)
{
  while (router->callers != NULL)
    {
      cs_caller_t *caller = router->callers;
      if (caller->forward != NULL)
        cs_forward_abandon (caller->forward);
      destroy (caller, cs_channel_close);
    }
}
