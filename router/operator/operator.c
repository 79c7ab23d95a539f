#include "router/operator.h"

#include <stdlib.h>

#include "http/reader.h"
#include "http/response.h"
#include "net/channel.h"
#include "platform/paths.h"

#define MAX_HEAD_BYTES (8U * 1024)
/* Connections without a request for this long are closed.  The load balancer
   checks readiness every second.  */
#define IDLE_TIMEOUT_US (30 * CS_US_PER_S)

typedef struct
{
  cs_router_t *router;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_timer_t timer;
  bool close; /* after the current response */
} client_t;

/* Closes the connection; if GRACEFUL, after queued output has been sent.  */
static void
destroy (client_t *client, bool graceful)
{
  cs_timer_clear (&client->timer);
  if (graceful)
    cs_channel_close_gracefully (client->channel);
  else
    cs_channel_close (client->channel);
  cs_http_reader_destroy (client->reader);
  free (client);
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
  size_t paced = 0;
  cs_target_t *const *all = cs_fleet_targets (router->fleet, &targets);
  for (size_t i = 0; i < targets; i++)
    paced += cs_pace_weight (&all[i]->pace) < 1;
  int rc = cs_router_counters_print (&router->counters, out);
  if (rc == 0)
    rc = cs_latency_print (&router->first_byte, "first_byte", out);
  if (rc == 0)
    rc = cs_latency_print (&router->total, "total", out);
  if (rc == 0)
    rc = cs_buf_printf (out,
                        "cranberrystile_router_requests_in_flight %u\n"
                        "cranberrystile_router_output_bytes %zu\n"
                        "cranberrystile_router_targets %zu\n"
                        "cranberrystile_router_paced_targets %zu\n"
                        "cranberrystile_router_evacuated_data_centres %zu\n"
                        "cranberrystile_router_routing_version %llu\n"
                        "cranberrystile_router_ready %d\n",
                        router->in_flight, router->output_bytes, targets,
                        paced, cs_evacuations_count (router->evacuations),
                        router->routing == NULL
                            ? 0ULL
                            : (unsigned long long)router->routing->version,
                        cs_router_is_ready (router));
  return rc;
}

static int
write_response (client_t *client, cs_buf_t *out)
{
  const cs_http_head_t *head = cs_http_reader_head (client->reader);
  cs_buf_t body = { 0 };
  int status = 404;
  int rc = CS_OK;
  if (cs_str_equal (head->target, cs_str (CS_PATH_READY)))
    status = cs_router_is_ready (client->router) ? 200 : 503;
  else if (cs_str_equal (head->target, cs_str (CS_PATH_METRICS)))
    {
      status = 200;
      rc = print_metrics (client->router, &body);
    }
  client->close = !head->keep_alive;
  if (rc == 0)
    rc = cs_http_write_response (
        status, cs_str ("Content-Type: text/plain\r\n"), cs_buf_str (&body),
        cs_str_equal (head->method, cs_str ("HEAD")), client->close, out);
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
  client_t *client = context;
  cs_timer_set (&client->timer, IDLE_TIMEOUT_US);
  while (data.len > 0)
    {
      cs_buf_t out = { 0 };
      size_t consumed = cs_http_reader_feed (client->reader, data);
      data.data += consumed;
      data.len -= consumed;
      cs_http_state_t state = cs_http_reader_state (client->reader);
      if (state == CS_HTTP_BROKEN)
        {
          destroy (client, false);
          return;
        }
      if (state != CS_HTTP_COMPLETE)
        return;
      int rc = write_response (client, &out);
      if (rc == 0)
        cs_channel_send (client->channel, cs_buf_str (&out));
      cs_buf_free (&out);
      if (rc != 0 || client->close)
        {
          destroy (client, true);
          return;
        }
      cs_http_reader_next (client->reader);
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
  client_t *client = calloc (1, sizeof *client);
  if (client == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  client->router = router;
  client->reader = cs_http_reader_create (CS_HTTP_REQUESTS, MAX_HEAD_BYTES,
                                          &reader_handlers, client);
  if (client->reader != NULL)
    client->channel
        = cs_channel_adopt (router->loop, fd, &channel_handlers, client);
  else
    evutil_closesocket (fd);
  if (client->channel == NULL)
    {
      cs_http_reader_destroy (client->reader);
      free (client);
      return;
    }
  cs_timer_init (&client->timer, router->loop, on_timer, client);
  cs_timer_set (&client->timer, IDLE_TIMEOUT_US);
}
