/* The server of callers' requests.  */

#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>

#include "daemon/handlers.h"

/* Pause between two parts of a request after which a slow sender is given up,
   and how long an idle connection may keep its worker.  */
#define REQUEST_TIMEOUT_MS "10000"
#define KEEP_ALIVE_MS "2000"

typedef struct
{
  const char *path;
  const char *method; /* NULL: any */
  bool prefix;
  cs_handler_fn *handle;
} route_t;

/* Sorted by path.  */
static const route_t routes[] = {
  { "/v1/chat/completions", "POST", false, cs_handle_chat_completions },
  { "/v1/completions", "POST", false, cs_handle_completions },
  { "/v1/models", "GET", false, cs_handle_models },
  { "/v1/services/", NULL, true, cs_handle_service },
};

static const route_t *
find_route (const char *uri)
{
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      bool same
          = routes[i].prefix
                ? strncmp (uri, routes[i].path, strlen (routes[i].path)) == 0
                : strcmp (uri, routes[i].path) == 0;
      if (same)
        return &routes[i];
    }
  return NULL;
}

static void
serve (cs_exchange_t *exchange)
{
  const char *uri = exchange->info->local_uri;
  const route_t *route = uri == NULL ? NULL : find_route (uri);
  if (atomic_load (&exchange->daemon->stopping))
    cs_exchange_fail (exchange, CS_ERR_STOPPING, NULL, 1);
  else if (route == NULL)
    cs_exchange_fail (exchange, CS_ERR_NOT_FOUND, NULL, 0);
  else if (route->method != NULL
           && strcmp (route->method, exchange->info->request_method) != 0)
    cs_exchange_fail (exchange, CS_ERR_BAD_REQUEST,
                      "The method is not allowed here.", 0);
  else
    route->handle (exchange);
}

static int
handle_request (struct mg_connection *connection, void *context)
{
  cs_daemon_t *daemon = context;
  cs_exchange_t exchange;
  cs_time_us_t now = cs_clock_now ();
  atomic_fetch_add (&daemon->requests, 1);
  atomic_store (&daemon->arrived, now);
  cs_exchange_begin (&exchange, daemon, connection, now);
  serve (&exchange);
  cs_exchange_end (&exchange);
  atomic_fetch_sub (&daemon->requests, 1);
  return 200;
}

/* CivetWeb would write its own lines to standard error.  */
static int
drop_message (const struct mg_connection *connection, const char *message)
{
  return 1;
}

static struct mg_context *
start (cs_daemon_t *daemon, const char **options, mg_request_handler handler,
       const char *address, cs_name_t *bound)
{
  struct mg_callbacks callbacks = { .log_message = drop_message };
  struct mg_server_port port;
  char text[CS_NAME_MAX + 1];
  struct mg_context *server = mg_start (&callbacks, daemon, options);
  if (server == NULL)
    return NULL;
  mg_set_request_handler (server, "**", handler, daemon);
  const char *colon = strrchr (address, ':');
  if (mg_get_server_ports (server, 1, &port) != 1 || colon == NULL)
    {
      mg_stop (server);
      return NULL;
    }
  snprintf (text, sizeof text, "%.*s:%d", (int)(colon - address), address,
            port.port);
  cs_name_set (bound, cs_str (text));
  return server;
}

struct mg_context *
cs_server_start_callers (cs_daemon_t *daemon, cs_name_t *bound)
{
  const cs_settings_t *settings = &daemon->settings;
  bool tls = settings->tls_certificate[0] != '\0';
  char listen[CS_SETTING_TEXT_MAX + 2];
  char workers[16];
  snprintf (listen, sizeof listen, "%s%s", settings->caller_listen,
            tls ? "s" : "");
  snprintf (workers, sizeof workers, "%u", settings->workers);
  const char *options[] = { "listening_ports",
                            listen,
                            "num_threads",
                            workers,
                            "connection_queue",
                            "256",
                            "listen_backlog",
                            "1024",
                            "tcp_nodelay",
                            "1",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            KEEP_ALIVE_MS,
                            "request_timeout_ms",
                            REQUEST_TIMEOUT_MS,
                            "decode_url",
                            "no",
                            tls ? "ssl_certificate" : NULL,
                            settings->tls_certificate,
                            NULL };
  return start (daemon, options, handle_request, settings->caller_listen,
                bound);
}

typedef struct
{
  const char *path;
  const char *method;
  bool needs_key;
  cs_operator_fn *operate;
} operator_route_t;

/* Sorted by path.  */
static const operator_route_t operator_routes[] = {
  { "/drain", "POST", true, cs_operate_drain },
  { "/explain", "GET", true, cs_operate_explain },
  { "/healthz", "GET", false, cs_operate_healthz },
  { "/metrics", "GET", false, cs_operate_metrics },
  { "/readyz", "GET", false, cs_operate_readyz },
  { "/status", "GET", true, cs_operate_status },
};

static const operator_route_t *
find_operator_route (const struct mg_request_info *info)
{
  size_t count = sizeof operator_routes / sizeof operator_routes[0];
  for (size_t i = 0; i < count; i++)
    if (strcmp (operator_routes[i].path, info->local_uri) == 0
        && strcmp (operator_routes[i].method, info->request_method) == 0)
      return &operator_routes[i];
  return NULL;
}

static bool
has_operator_key (const cs_daemon_t *daemon, struct mg_connection *connection)
{
  cs_buf_t expected = { 0 };
  const char *given = mg_get_header (connection, "Authorization");
  if (daemon->settings.operator_key[0] == '\0')
    return true;
  if (given == NULL
      || cs_buf_printf (&expected, "Bearer %s", daemon->settings.operator_key)
             != 0)
    return false;
  bool same = strcmp (expected.data, given) == 0;
  cs_buf_free (&expected);
  return same;
}

static int
handle_operator (struct mg_connection *connection, void *context)
{
  cs_daemon_t *daemon = context;
  cs_buf_t body = { 0 };
  const char *content_type = "application/json";
  const struct mg_request_info *info = mg_get_request_info (connection);
  const operator_route_t *route = find_operator_route (info);
  int status = 404;
  if (route != NULL && route->needs_key
      && !has_operator_key (daemon, connection))
    status = 401;
  else if (route != NULL)
    status = route->operate (
        daemon, info->query_string == NULL ? "" : info->query_string, &body,
        &content_type);
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, mg_get_response_code_text (connection, status),
             content_type, body.len);
  if (body.len > 0)
    mg_write (connection, body.data, body.len);
  cs_buf_free (&body);
  return status;
}

struct mg_context *
cs_server_start_operators (cs_daemon_t *daemon, cs_name_t *bound)
{
  const char *options[] = { "listening_ports",
                            daemon->settings.operator_listen,
                            "num_threads",
                            "4",
                            "request_timeout_ms",
                            REQUEST_TIMEOUT_MS,
                            NULL };
  return start (daemon, options, handle_operator,
                daemon->settings.operator_listen, bound);
}
