#include <string.h>
#include <strings.h>

#include "cranberrystile/routing.h"

static cs_str_t
without_port (cs_str_t host)
{
  const char *colon = host.len == 0 ? NULL : memchr (host.data, ':', host.len);
  if (colon != NULL)
    host.len = (size_t)(colon - host.data);
  return host;
}

const cs_route_t *
cs_routing_find_route (const cs_routing_t *routing, cs_str_t host,
                       cs_str_t path)
{
  host = without_port (host);
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const cs_route_t *route = &routing->routes[i];
      if (route->host.len == host.len
          && cs_str_starts_with (path, route->prefix)
          && strncasecmp (route->host.data, host.data, host.len) == 0)
        return route;
    }
  return NULL;
}

const cs_service_t *
cs_routing_pick_service (const cs_routing_t *routing, const cs_route_t *route,
                         double fraction)
{
  uint64_t total = 0;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    total += route->weighted_services[i].weight;
  double remaining = fraction * (double)total;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      if (remaining < route->weighted_services[i].weight)
        return &routing->services[route->weighted_services[i].service];
      remaining -= route->weighted_services[i].weight;
    }
  return NULL;
}
