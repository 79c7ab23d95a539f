#include "router/operator.h"

#include <stdlib.h>

#include "http/answer.h"
#include "http/reader.h"
#include "net/channel.h"
#include "platform/paths.h"

#define HEAD_BYTES (8U * 1024)
/* The balancer asks each second; a connection without a request for this long
   is forgotten.  */
#define IDLE_US (30 * CS_US_PER_S)

typedef struct
{
  cs_router_t *router;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_timer_t timer;
  bool close;
} asker_t;

static void
destroy (asker_t *asker, bool finish)
{
  cs_timer_clear (&asker->timer);
  if (finish)
    cs_channel_close_gracefully (asker->channel);
  else
    cs_channel_close (asker->channel);
  cs_http_reader_destroy (asker->reader);
  free (asker);
}

static void
on_timer (void *context, cs_time_us_t now)
{
  destroy (context, true);
}

static int
print_metrics (const cs_router_t *router, cs_buf_t *out)
{
  size_t targets;
  cs_fleet_targets (router->fleet, &targets);
  int rc = cs_router_counters_print (&router->counters, out);
  if (rc == 0)
    rc = cs_latency_print (&router->first_byte, "first_byte", out);
  if (rc == 0)
    rc = cs_latency_print (&router->total, "total", out);
  if (rc == 0)
    rc = cs_buf_printf (out,
                        "cranberrystile_router_requests_in_flight %u\n"
                        "cranberrystile_router_targets %zu\n"
                        "cranberrystile_router_routing_version %llu\n"
                        "cranberrystile_router_ready %d\n",
                        router->in_flight, targets,
                        router->routing == NULL
                            ? 0ULL
                            : (unsigned long long)router->routing->version,
                        cs_router_is_ready (router));
  return rc;
}

static int
answer (asker_t *asker, cs_buf_t *out)
{
  const cs_http_head_t *head = cs_http_reader_head (asker->reader);
  cs_buf_t body = { 0 };
  int status = 404;
  int rc = CS_OK;
  if (cs_str_equal (head->target, cs_str (CS_PATH_READY)))
    status = cs_router_is_ready (asker->router) ? 200 : 503;
  else if (cs_str_equal (head->target, cs_str (CS_PATH_METRICS)))
    {
      status = 200;
      rc = print_metrics (asker->router, &body);
    }
  asker->close = !head->keep_alive;
  if (rc == 0)
    rc = cs_http_write_response (
        status, cs_str ("Content-Type: text/plain\r\n"), cs_buf_str (&body),
        cs_str_equal (head->method, cs_str ("HEAD")), asker->close, out);
  cs_buf_free (&body);
  return rc;
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  return true;
}

static void
on_body (void *context, cs_str_t part)
{
}

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = on_body };

static void
on_data (void *context, cs_str_t data)
{
  asker_t *asker = context;
  cs_timer_set (&asker->timer, IDLE_US);
  while (data.len > 0)
    {
      cs_buf_t out = { 0 };
      size_t taken = cs_http_reader_feed (asker->reader, data);
      data.data += taken;
      data.len -= taken;
      cs_http_state_t state = cs_http_reader_state (asker->reader);
      if (state == CS_HTTP_BROKEN)
        {
          destroy (asker, false);
          return;
        }
      if (state != CS_HTTP_COMPLETE)
        return;
      int rc = answer (asker, &out);
      if (rc == 0)
        cs_channel_send (asker->channel, cs_buf_str (&out));
      cs_buf_free (&out);
      if (rc != 0 || asker->close)
        {
          destroy (asker, true);
          return;
        }
      cs_http_reader_next (asker->reader);
    }
}

static void
on_end (void *context, int error)
{
  destroy (context, false);
}

static const cs_channel_handlers_t channel_handlers
    = { .on_data = on_data, .on_end = on_end };

void
cs_operator_accept (void *context, int fd)
{
  cs_router_t *router = context;
  asker_t *asker = calloc (1, sizeof *asker);
  if (asker == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  asker->router = router;
  asker->reader = cs_http_reader_create (CS_HTTP_REQUESTS, HEAD_BYTES,
                                         &reader_handlers, asker);
  if (asker->reader != NULL)
    asker->channel
        = cs_channel_adopt (router->loop, fd, &channel_handlers, asker);
  else
    evutil_closesocket (fd);
  if (asker->channel == NULL)
    {
      cs_http_reader_destroy (asker->reader);
      free (asker);
      return;
    }
  cs_timer_init (&asker->timer, router->loop, on_timer, asker);
  cs_timer_set (&asker->timer, IDLE_US);
}
