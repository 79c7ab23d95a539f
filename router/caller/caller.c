#include "router/caller.h"

#include <stdlib.h>

#include "common/log.h"
#include "cranberrystile/answer.h"
#include "http/answer.h"
#include "router/caller/internal.h"

/* Requests that a caller sends ahead are kept up to this size; then it is not
   read from until it has been answered.  */
#define AHEAD_BYTES (64U * 1024)

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
  cs_buf_free (&caller->ahead);
  free (caller);
}

/* Ends the caller; FINISH lets it read what has been sent.  */
static void
disconnect (cs_caller_t *caller, bool finish)
{
  unlink_caller (caller);
  cs_timer_clear (&caller->timer);
  if (finish)
    cs_channel_close_gracefully (caller->channel);
  else
    cs_channel_close (caller->channel);
  caller->gone = true;
}

static void
destroy (cs_caller_t *caller, bool finish)
{
  disconnect (caller, finish);
  if (!caller->reading)
    release (caller);
}

void
cs_caller_reject (cs_caller_t *caller, int error)
{
  const cs_answer_t *row = cs_answer_for (error);
  cs_str_t none = { "", 0 };
  cs_buf_t body = { 0 };
  cs_buf_t answer = { 0 };
  caller->router->counters.failed[-error]++;
  cs_log (CS_EV_REQUEST_FAILED, "error=%s status=%d", cs_error_name (error),
          row->status);
  if (cs_answer_body (error, none, none, 0, &body) == 0
      && cs_http_write_response (row->status,
                                 cs_str ("Content-Type: application/json\r\n"),
                                 cs_buf_str (&body), false, true, &answer)
             == 0)
    cs_channel_send (caller->channel, cs_buf_str (&answer));
  cs_buf_free (&body);
  cs_buf_free (&answer);
  destroy (caller, true);
}

static void
on_timer (void *context, cs_time_us_t now)
{
  cs_caller_t *caller = context;
  if (cs_http_reader_has_begun (caller->reader))
    cs_caller_reject (caller, CS_ERR_SLOW_CALLER);
  else
    destroy (caller, true);
}

static void
set_idle_timer (cs_caller_t *caller)
{
  cs_timer_set (&caller->timer,
                cs_caller_limits (caller)->idle_timeout_ms * CS_US_PER_MS);
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  cs_caller_t *caller = context;
  const cs_str_t *expect = cs_http_head_find (head, "expect");
  if (head->has_length && head->length > cs_caller_limits (caller)->body_bytes)
    {
      caller->too_large = true;
      return false;
    }
  if (expect != NULL && cs_http_name_is (*expect, "100-continue")
      && (head->chunked || head->length > 0))
    cs_channel_send (caller->channel, (cs_str_t){ go_on, sizeof go_on - 1 });
  return true;
}

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = cs_caller_take_body };

/* Gives the request that has been read to a forward.  Called while reading, so
   that the caller is released after.  */
static void
serve (cs_caller_t *caller)
{
  cs_router_t *router = caller->router;
  cs_time_us_t now = cs_loop_now (router->loop);
  cs_http_head_t *head = cs_http_reader_head (caller->reader);
  cs_timer_clear (&caller->timer);
  /* A router that is short of time may come to a request long after its caller
     has left.  */
  if (cs_channel_has_ended (caller->channel))
    {
      router->counters.callers_gone++;
      disconnect (caller, false);
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

/* Reads DATA up to the end of a request.  */
static void
read_request (cs_caller_t *caller, cs_str_t *data)
{
  bool had_begun = cs_http_reader_has_begun (caller->reader);
  size_t taken = cs_http_reader_feed (caller->reader, *data);
  data->data += taken;
  data->len -= taken;
  if (caller->too_large)
    {
      cs_caller_reject (caller, CS_ERR_TOO_LARGE);
      return;
    }
  if (caller->no_room)
    {
      cs_caller_refuse_body (caller);
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
        cs_timer_set (&caller->timer,
                      cs_caller_limits (caller)->head_timeout_ms
                          * CS_US_PER_MS);
      return;
    case CS_HTTP_IN_BODY:
      set_idle_timer (caller);
      return;
    }
}

/* Serves requests out of DATA until one has to wait for its answer, and keeps
   the rest.  */
static void
read_requests (cs_caller_t *caller, cs_str_t data)
{
  caller->reading = true;
  while (data.len > 0 && caller->forward == NULL && !caller->gone)
    read_request (caller, &data);
  caller->reading = false;
  if (caller->gone)
    {
      release (caller);
      return;
    }
  if (data.len > 0
      && (cs_buf_append (&caller->ahead, data) != 0
          || caller->ahead.len > AHEAD_BYTES))
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
  destroy (caller, false);
}

static void
on_drained (void *context)
{
  cs_caller_t *caller = context;
  if (caller->forward != NULL)
    cs_forward_drained (caller->forward);
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
  set_idle_timer (caller);
  return;
fail:
  evutil_closesocket (fd);
fail_adopted:
  if (caller != NULL)
    cs_http_reader_destroy (caller->reader);
  free (caller);
}

void
cs_caller_send (cs_caller_t *caller, cs_str_t data)
{
  cs_channel_send (caller->channel, data);
}

size_t
cs_caller_queued (const cs_caller_t *caller)
{
  return cs_channel_queued (caller->channel);
}

bool
cs_caller_should_close (const cs_caller_t *caller)
{
  return caller->close_after || caller->router->stopping;
}

/* Reads on after an answer; what was sent ahead comes first.  */
static void
read_ahead (cs_caller_t *caller)
{
  cs_buf_t ahead = caller->ahead;
  caller->ahead = (cs_buf_t){ 0 };
  cs_channel_pause (caller->channel, false);
  read_requests (caller, cs_buf_str (&ahead));
  cs_buf_free (&ahead);
}

void
cs_caller_complete (cs_caller_t *caller, bool close)
{
  caller->forward = NULL;
  if (close)
    {
      destroy (caller, true);
      return;
    }
  set_idle_timer (caller);
  if (!caller->reading && caller->ahead.len > 0)
    read_ahead (caller);
}

void
cs_caller_break (cs_caller_t *caller)
{
  destroy (caller, false);
}

void
cs_callers_close_idle (cs_router_t *router)
{
  cs_caller_t *next;
  for (cs_caller_t *caller = router->callers; caller != NULL; caller = next)
    {
      next = caller->next;
      if (caller->forward == NULL
          && !cs_http_reader_has_begun (caller->reader))
        destroy (caller, true);
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
      destroy (caller, false);
    }
}
