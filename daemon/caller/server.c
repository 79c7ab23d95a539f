/* The HTTP servers for callers and for operators, and their routes.  */

#include <string.h>

#include "daemon/handlers.h"
#include "http/response.h"

/* A connection is closed if a request that has begun to arrive makes no
   progress for READ_TIMEOUT_MS, or after KEEP_ALIVE_TIMEOUT_MS without a
   request.  */
#define READ_TIMEOUT_MS 10000
#define KEEP_ALIVE_TIMEOUT_MS 2000
#define OPERATOR_WORKERS 4

typedef struct
{
  const char *path;
  const char *method; /* NULL: any method */
  bool prefix;        /* PATH matches as a prefix */
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
  const char *uri = cs_web_path (exchange->request);
  const route_t *route = find_route (uri);
  if (atomic_load (&exchange->daemon->stopping))
    cs_exchange_fail (exchange, CS_ERR_STOPPING, NULL, 1);
  else if (route == NULL)
    cs_exchange_fail (exchange, CS_ERR_NOT_FOUND, NULL, 0);
  else if (route->method != NULL
           && strcmp (route->method, cs_web_method (exchange->request)) != 0)
    cs_exchange_fail (exchange, CS_ERR_BAD_REQUEST,
                      "The method is not allowed here.", 0);
  else
    route->handle (exchange);
}

static void
handle_request (cs_web_request_t *request, void *context)
{
  cs_daemon_t *daemon = context;
  cs_exchange_t exchange;
  cs_time_us_t now = cs_clock_now ();
  atomic_fetch_add (&daemon->requests, 1);
  atomic_store (&daemon->arrived, now);
  cs_exchange_begin (&exchange, daemon, request, now);
  serve (&exchange);
  cs_exchange_end (&exchange);
  atomic_fetch_sub (&daemon->requests, 1);
}

cs_web_t *
cs_server_start_callers (cs_daemon_t *daemon, cs_name_t *bound)
{
  cs_web_options_t options = {
    .listen = daemon->settings.caller_listen,
    .workers = daemon->settings.workers,
    .request_timeout_ms = READ_TIMEOUT_MS,
    .idle_timeout_ms = KEEP_ALIVE_TIMEOUT_MS,
    .handle = handle_request,
    .context = daemon,
  };
  return cs_web_start (&options, bound);
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
find_operator_route (const cs_web_request_t *request)
{
  size_t count = sizeof operator_routes / sizeof operator_routes[0];
  for (size_t i = 0; i < count; i++)
    if (strcmp (operator_routes[i].path, cs_web_path (request)) == 0
        && strcmp (operator_routes[i].method, cs_web_method (request)) == 0)
      return &operator_routes[i];
  return NULL;
}

static bool
has_operator_key (const cs_daemon_t *daemon, const cs_web_request_t *request)
{
  cs_buf_t expected = { 0 };
  const char *given = cs_web_header (request, "Authorization");
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

static void
handle_operator (cs_web_request_t *request, void *context)
{
  cs_daemon_t *daemon = context;
  cs_buf_t body = { 0 };
  const char *content_type = "application/json";
  const operator_route_t *route = find_operator_route (request);
  int status = 404;
  if (route != NULL && route->needs_key && !has_operator_key (daemon, request))
    status = 401;
  else if (route != NULL)
    status = route->operate (daemon, cs_web_query (request), &body,
                             &content_type);
  cs_web_printf (request,
                 "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                 "Content-Length: %zu\r\n\r\n%.*s",
                 status, cs_http_reason (status), content_type, body.len,
                 CS_STR_ARG (cs_buf_str (&body)));
  cs_buf_free (&body);
}

cs_web_t *
cs_server_start_operators (cs_daemon_t *daemon, cs_name_t *bound)
{
  cs_web_options_t options = {
    .listen = daemon->settings.operator_listen,
    .workers = OPERATOR_WORKERS,
    .request_timeout_ms = READ_TIMEOUT_MS,
    .idle_timeout_ms = KEEP_ALIVE_TIMEOUT_MS,
    .handle = handle_operator,
    .context = daemon,
  };
  return cs_web_start (&options, bound);
}
