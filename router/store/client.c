#include "router/store_client.h"

#include <stdlib.h>

#include "common/address.h"
#include "common/log.h"
#include "http/reader.h"
#include "net/channel.h"
#include "platform/store.h"

#define MAX_HEAD_BYTES (16U * 1024)
/* A page of a list is about a megabyte at most; a larger body can't come from
   the store.  */
#define MAX_BODY_BYTES (8U * 1024 * 1024)
/* TCP keepalive: a pending watch has no traffic that would show a dead peer.
   Probes start after PROBE_IDLE_S and are sent one second apart.  */
#define PROBE_IDLE_S 1
#define PROBE_COUNT 2

#define STATUS_CONFLICT 409

struct cs_store_client
{
  cs_router_t *router;
  cs_store_response_fn *on_response;
  void *context;
  struct sockaddr_in address;
  cs_channel_t *channel; /* persistent; NULL: not connected */
  cs_http_reader_t *reader;
  cs_buf_t body;
  cs_timer_t timer;
  bool busy;
  bool body_too_large;
};

static void
drop_channel (cs_store_client_t *client)
{
  cs_channel_close (client->channel);
  client->channel = NULL;
}

/* Returns the era of the response, which may be new to the router, or sets
 *STATUS to 0 if the response is of an earlier era.  */
static uint64_t
check_era (cs_store_client_t *client, int *status)
{
  cs_router_t *router = client->router;
  uint64_t era = cs_store_read_era (cs_http_reader_head (client->reader));
  if (era == 0)
    return router->store_era;
  if (era < router->store_era)
    {
      cs_log (CS_EV_STORE_RESPONSE_REJECTED, "era=%llu current=%llu",
              (unsigned long long)era, (unsigned long long)router->store_era);
      *status = 0;
      return 0;
    }
  if (router->store_era != 0 && era > router->store_era)
    cs_log (CS_EV_STORE_RESTORED, "era=%llu previous=%llu",
            (unsigned long long)era, (unsigned long long)router->store_era);
  router->store_era = era;
  return era;
}

/* Completes the call.  STATUS 0 means no valid response.  An unsuccessful call
   closes the connection.  */
static void
finish_call (cs_store_client_t *client, int status)
{
  uint64_t era = 0;
  if (!client->busy)
    return;
  client->busy = false;
  cs_timer_clear (&client->timer);
  /* ON_RESPONSE may start the next call.  */
  cs_buf_t body = client->body;
  client->body = (cs_buf_t){ 0 };
  if (status != 0)
    era = check_era (client, &status);
  if (cs_http_is_success (status) && body.len == 0)
    status = 0;
  cs_store_response_t response = { .status = status, .era = era };
  if (cs_http_is_success (status) || status == STATUS_CONFLICT)
    response.body = cs_buf_str (&body);
  if (!cs_http_is_success (status))
    {
      client->router->counters.store_failures++;
      drop_channel (client);
    }
  client->on_response (client->context, &response);
  cs_buf_free (&body);
}

static void
on_timeout (void *context, cs_time_us_t now)
{
  finish_call (context, 0);
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  return true;
}

static void
on_body (void *context, cs_str_t part)
{
  cs_store_client_t *client = context;
  if (client->body_too_large)
    return;
  client->body_too_large = client->body.len + part.len > MAX_BODY_BYTES
                           || cs_buf_append (&client->body, part) != 0;
}

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = on_body };

static void
on_data (void *context, cs_str_t data)
{
  cs_store_client_t *client = context;
  size_t consumed = 0;
  if (client->busy)
    consumed = cs_http_reader_feed (client->reader, data);
  cs_http_state_t state = cs_http_reader_state (client->reader);
  if (!client->busy || state == CS_HTTP_BROKEN)
    {
      /* Bytes outside of a call, or a malformed response.  */
      drop_channel (client);
      finish_call (client, 0);
      return;
    }
  if (client->body_too_large)
    {
      cs_log (CS_EV_STORE_RESPONSE_REJECTED, "bytes=%zu max=%u",
              client->body.len, MAX_BODY_BYTES);
      drop_channel (client);
      finish_call (client, 0);
      return;
    }
  if (state != CS_HTTP_COMPLETE)
    return;
  const cs_http_head_t *head = cs_http_reader_head (client->reader);
  if (!head->keep_alive || consumed < data.len)
    drop_channel (client);
  finish_call (client, head->status);
}

static void
on_end (void *context, int error)
{
  cs_store_client_t *client = context;
  int status = 0;
  if (error == CS_OK)
    cs_http_reader_end (client->reader);
  if (client->busy
      && cs_http_reader_state (client->reader) == CS_HTTP_COMPLETE)
    status = cs_http_reader_head (client->reader)->status;
  drop_channel (client);
  finish_call (client, status);
}

static const cs_channel_handlers_t channel_handlers
    = { .on_data = on_data, .on_end = on_end };

cs_store_client_t *
cs_store_client_create (cs_router_t *router, cs_store_response_fn *on_response,
                        void *context)
{
  cs_store_client_t *client = calloc (1, sizeof *client);
  if (client == NULL)
    return NULL;
  client->router = router;
  client->on_response = on_response;
  client->context = context;
  cs_timer_init (&client->timer, router->loop, on_timeout, client);
  client->reader = cs_http_reader_create (CS_HTTP_RESPONSES, MAX_HEAD_BYTES,
                                          &reader_handlers, client);
  if (client->reader == NULL
      || cs_address_parse (cs_str (router->settings.platform),
                           &client->address)
             != 0)
    {
      cs_store_client_destroy (client);
      return NULL;
    }
  return client;
}

void
cs_store_client_destroy (cs_store_client_t *client)
{
  if (client == NULL)
    return;
  cs_timer_clear (&client->timer);
  drop_channel (client);
  cs_http_reader_destroy (client->reader);
  cs_buf_free (&client->body);
  free (client);
}

static void
open_channel (cs_store_client_t *client)
{
  const cs_router_settings_t *settings = &client->router->settings;
  client->channel = cs_channel_connect (
      client->router->loop, &client->address,
      settings->call_timeout_ms * CS_US_PER_MS,
      settings->unacknowledged_ms * CS_US_PER_MS, &channel_handlers, client);
  if (client->channel != NULL)
    cs_channel_enable_keepalive (client->channel, PROBE_IDLE_S, PROBE_COUNT);
}

void
cs_store_client_call (cs_store_client_t *client, const char *method,
                      cs_str_t path, cs_str_t body, cs_time_us_t timeout_us)
{
  cs_buf_t request = { 0 };
  client->busy = true;
  client->body_too_large = false;
  client->router->counters.store_calls++;
  cs_timer_set (&client->timer, timeout_us);
  if (client->channel == NULL)
    open_channel (client);
  cs_http_reader_next (client->reader);
  int rc
      = cs_buf_printf (&request, "%s %.*s HTTP/1.1\r\nHost: %s\r\n", method,
                       CS_STR_ARG (path), client->router->settings.platform);
  if (rc == 0 && body.len > 0)
    rc = cs_buf_printf (
        &request,
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%.*s",
        body.len, CS_STR_ARG (body));
  else if (rc == 0)
    rc = cs_buf_append (&request, cs_str ("\r\n"));
  /* If there is no connection or no memory, the call times out.  */
  if (rc == 0 && client->channel != NULL)
    cs_channel_send (client->channel, cs_buf_str (&request));
  cs_buf_free (&request);
}
