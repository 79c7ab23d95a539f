/* Entries of a configuration that can never match, or that nothing uses.  */

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "cranberrystile/routing_check.h"

/* A quarter of a key, and at most this many bytes of it, may be shown.  */
#define MAX_SHOWN_KEY_BYTES 8

void
cs_routing_mask_key (cs_str_t key, char out[CS_MASKED_KEY_SIZE])
{
  size_t shown = key.len / 4;
  if (shown > MAX_SHOWN_KEY_BYTES)
    shown = MAX_SHOWN_KEY_BYTES;
  /* No part of a character of UTF-8 is shown.  */
  while (shown > 0 && ((unsigned char)key.data[shown] & 0xc0) == 0x80)
    shown--;
  snprintf (out, CS_MASKED_KEY_SIZE, "%.*s***", (int)shown, key.data);
}

/* Whether a path may begin with PREFIX: it begins with a slash, and has no
   query, spaces or control characters.  */
static bool
can_begin_a_path (cs_str_t prefix)
{
  for (size_t i = 0; i < prefix.len; i++)
    {
      unsigned char byte = (unsigned char)prefix.data[i];
      if (byte == '?' || byte <= ' ' || byte == 0x7f)
        return false;
    }
  return prefix.len == 0 || prefix.data[0] == '/';
}

/* Returns the route that serves the shortest path that ROUTE can match.  Other
   routes that match this path have the same prefix, so they also take all
   longer paths of ROUTE.  */
static const cs_route_t *
serving_route (const cs_routing_t *routing, const cs_route_t *route)
{
  cs_str_t path = route->prefix.len == 0 ? cs_str ("/") : route->prefix;
  return cs_routing_find_route (routing, route->host, path);
}

bool
cs_routing_is_reachable (const cs_routing_t *routing, const cs_route_t *route)
{
  return can_begin_a_path (route->prefix)
         && serving_route (routing, route) == route;
}

static cs_place_t
route_place (const cs_route_t *route, cs_field_t field)
{
  return (cs_place_t){ CS_PART_ROUTE, route->position, field };
}

static void
check_host_and_prefix (const cs_routing_t *routing, const cs_route_t *route,
                       cs_findings_t *findings)
{
  cs_str_t prefix = route->prefix;
  const cs_route_t *winner = serving_route (routing, route);
  if (route->host.len == 0)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "route_without_host",
                     route_place (route, CS_FIELD_HOST),
                     "the route has no host, so no regular request reaches "
                     "it");
  else if (memchr (route->host.data, ':', route->host.len) != NULL)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "host_with_port",
                     route_place (route, CS_FIELD_HOST),
                     "no request reaches the route: hosts are compared "
                     "without the port, and \"%.*s\" contains a colon",
                     CS_STR_ARG (route->host));
  else if (!can_begin_a_path (prefix))
    cs_findings_add (findings, CS_SEVERITY_ERROR, "prefix_never_matches",
                     route_place (route, CS_FIELD_PREFIX),
                     "no request reaches the route: no path begins with "
                     "\"%.*s\"",
                     CS_STR_ARG (prefix));
  else if (winner != NULL && winner != route)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "route_unreachable",
                     route_place (route, CS_FIELD_NONE),
                     "no request reaches the route: route %zu (\"%.*s\") "
                     "takes all requests for %.*s%.*s",
                     (size_t)winner->position, CS_STR_ARG (winner->name),
                     CS_STR_ARG (route->host), CS_STR_ARG (prefix));
  if (prefix.len == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "prefix_empty",
                     route_place (route, CS_FIELD_PREFIX),
                     "the route has no path prefix, so it matches every "
                     "path of its host; \"/\" says the same");
  else if (prefix.data[prefix.len - 1] != '/' && can_begin_a_path (prefix))
    cs_findings_add (findings, CS_SEVERITY_WARNING, "prefix_without_slash",
                     route_place (route, CS_FIELD_PREFIX),
                     "the prefix doesn't end with a slash, so it also "
                     "matches %.*sx",
                     CS_STR_ARG (prefix));
}

static void
check_weights (const cs_route_t *route, cs_findings_t *findings)
{
  uint64_t total = 0;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    total += route->weighted_services[i].weight;
  if (total == 0)
    cs_findings_add (findings, CS_SEVERITY_ERROR, "weights_all_zero",
                     route_place (route, CS_FIELD_WEIGHTS),
                     "all weights are 0, so every request is refused");
  for (size_t i = 0; total > 0 && i < route->weighted_service_count; i++)
    if (route->weighted_services[i].weight == 0)
      cs_findings_add (findings, CS_SEVERITY_WARNING, "weight_zero",
                       route_place (route, CS_FIELD_WEIGHTS),
                       "entry %zu of the split has the weight 0 and gets no "
                       "requests",
                       i);
}

static void
check_route (const cs_routing_t *routing, const cs_route_t *route,
             cs_findings_t *findings)
{
  check_host_and_prefix (routing, route, findings);
  check_weights (route, findings);
  if (route->name.len == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "route_without_name",
                     route_place (route, CS_FIELD_NAME),
                     "the route has no name, so logs can't tell it apart");
  else if (cs_routing_route_by_name (routing, route->name) != route)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "route_name_twice",
                     route_place (route, CS_FIELD_NAME),
                     "an earlier route is also called \"%.*s\"",
                     CS_STR_ARG (route->name));
}

/* Whether a route sends requests to the service at INDEX.  Routes of which all
   weights are 0 count: they have a finding of their own.  */
static bool
is_service_used (const cs_routing_t *routing, size_t index)
{
  for (size_t i = 0; i < routing->route_count; i++)
    for (size_t k = 0; k < routing->routes[i].weighted_service_count; k++)
      if (routing->routes[i].weighted_services[k].service == index)
        return true;
  return false;
}

static void
check_services (const cs_routing_t *routing, cs_findings_t *findings)
{
  for (size_t i = 0; i < routing->service_count; i++)
    {
      const cs_service_t *service = &routing->services[i];
      cs_place_t place = { CS_PART_SERVICE, i, CS_FIELD_NAME };
      if (cs_routing_service_by_name (routing, service->name) != service)
        cs_findings_add (findings, CS_SEVERITY_ERROR, "service_name_twice",
                         place,
                         "an earlier service is also called \"%.*s\"; routes "
                         "use that one",
                         CS_STR_ARG (service->name));
      else if (!is_service_used (routing, i))
        cs_findings_add (findings, CS_SEVERITY_WARNING, "service_unused",
                         (cs_place_t){ CS_PART_SERVICE, i, CS_FIELD_NONE },
                         "no route uses the service \"%.*s\"",
                         CS_STR_ARG (service->name));
    }
}

static size_t
count_keys_of (const cs_routing_t *routing, size_t organisation)
{
  size_t count = 0;
  for (size_t i = 0; i < routing->key_count; i++)
    if (routing->keys[i].organisation == organisation)
      count++;
  return count;
}

/* Reports keys that occur twice; equal keys are adjacent.  */
static void
check_keys (const cs_routing_t *routing, cs_findings_t *findings)
{
  for (size_t i = 0; i < routing->key_count; i++)
    {
      const cs_api_key_t *key = &routing->keys[i];
      const cs_api_key_t *next = key + 1;
      cs_place_t place
          = { CS_PART_ORGANISATION, key->organisation, CS_FIELD_KEYS };
      char shown[CS_MASKED_KEY_SIZE];
      cs_routing_mask_key (key->text, shown);
      if (key->text.len == 0)
        cs_findings_add (findings, CS_SEVERITY_ERROR, "key_empty", place,
                         "an empty key; no caller can present it");
      else if (i + 1 == routing->key_count
               || !cs_str_equal (key->text, next->text))
        continue;
      else if (key->organisation == next->organisation)
        cs_findings_add (findings, CS_SEVERITY_WARNING, "key_twice", place,
                         "the key %s is listed twice", shown);
      else
        cs_findings_add (
            findings, CS_SEVERITY_ERROR, "key_of_two_organisations", place,
            "the key %s is also held by \"%.*s\"; it is undefined whose "
            "requests are whose",
            shown,
            CS_STR_ARG (routing->organisations[next->organisation].name));
    }
}

static void
check_organisations (const cs_routing_t *routing, cs_findings_t *findings)
{
  for (size_t i = 0; i < routing->organisation_count; i++)
    {
      const cs_organisation_t *organisation = &routing->organisations[i];
      cs_place_t place = { CS_PART_ORGANISATION, i, CS_FIELD_NAME };
      if (cs_routing_organisation_by_name (routing, organisation->name)
          != organisation)
        cs_findings_add (findings, CS_SEVERITY_WARNING,
                         "organisation_name_twice", place,
                         "an earlier organisation is also called \"%.*s\"; "
                         "logs and limits by name don't tell them apart",
                         CS_STR_ARG (organisation->name));
      place.field = CS_FIELD_KEYS;
      if (count_keys_of (routing, i) == 0)
        cs_findings_add (findings, CS_SEVERITY_WARNING,
                         "organisation_without_keys", place,
                         "the organisation \"%.*s\" has no key, so no "
                         "request counts as its own",
                         CS_STR_ARG (organisation->name));
    }
}

static void
check_document (const cs_routing_t *routing, cs_findings_t *findings)
{
  static const cs_place_t document = { CS_PART_DOCUMENT, 0, CS_FIELD_NONE };
  bool needs_key = false;
  for (size_t i = 0; i < routing->route_count; i++)
    needs_key = needs_key || !routing->routes[i].is_public;
  if (routing->route_count == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "no_routes", document,
                     "there are no routes, so every request is answered "
                     "with 404");
  if (needs_key && routing->organisation_count == 0)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "no_organisations",
                     document,
                     "there are no organisations, so routes that aren't "
                     "public accept requests without a key");
}

void
cs_routing_check_entries (const cs_routing_t *routing, cs_findings_t *findings)
{
  check_document (routing, findings);
  for (size_t i = 0; i < routing->route_count; i++)
    check_route (routing, &routing->routes[i], findings);
  check_services (routing, findings);
  check_organisations (routing, findings);
  check_keys (routing, findings);
}

void
cs_routing_check (const cs_routing_t *routing, cs_findings_t *findings)
{
  cs_routing_check_entries (routing, findings);
  cs_routing_check_limits (routing, findings);
}
