#include "cranberrystile/routing.h"

#include <stdlib.h>
#include <string.h>

/* Callers abandon a stream after the longest of this, four times the objective
   for its first event and eight times that for the pauses between events.  */
#define MIN_PATIENCE_MS 2000
#define PATIENCE_OBJECTIVES 4
#define PATIENCE_GAPS 8

cs_routing_t *
cs_routing_create (void)
{
  cs_routing_t *routing = calloc (1, sizeof *routing);
  if (routing != NULL)
    routing->references = 1;
  return routing;
}

cs_routing_t *
cs_routing_reference (cs_routing_t *routing)
{
  if (routing != NULL)
    routing->references++;
  return routing;
}

static void
free_str (cs_str_t s)
{
  free ((char *)s.data);
}

static void
free_regions (cs_region_list_t *list)
{
  for (size_t i = 0; i < list->count; i++)
    free_str (list->names[i]);
  free (list->names);
}

void
cs_routing_release (cs_routing_t *routing)
{
  if (routing == NULL || --routing->references > 0)
    return;
  for (size_t i = 0; i < routing->route_count; i++)
    {
      free_str (routing->routes[i].name);
      free_str (routing->routes[i].host);
      free_str (routing->routes[i].prefix);
      free (routing->routes[i].weighted_services);
      free_regions (&routing->routes[i].regions);
    }
  for (size_t i = 0; i < routing->service_count; i++)
    {
      free_str (routing->services[i].name);
      free_str (routing->services[i].health_path);
    }
  for (size_t i = 0; i < routing->organisation_count; i++)
    {
      free_str (routing->organisations[i].name);
      free_regions (&routing->organisations[i].regions);
    }
  for (size_t i = 0; i < routing->key_count; i++)
    free_str (routing->keys[i].text);
  free (routing->routes);
  free (routing->services);
  free (routing->organisations);
  free (routing->keys);
  free (routing);
}

static int
compare_str (cs_str_t a, cs_str_t b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  int order = len == 0 ? 0 : memcmp (a.data, b.data, len);
  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

static int
compare_keys (const void *a, const void *b)
{
  return compare_str (((const cs_api_key_t *)a)->text,
                      ((const cs_api_key_t *)b)->text);
}

/* Longest prefix first, so that the first match is the longest.  Equal ones
   stay in the order of the configuration, which qsort doesn't guarantee.  */
static int
compare_routes (const void *a, const void *b)
{
  const cs_route_t *left = a;
  const cs_route_t *right = b;
  if (left->prefix.len != right->prefix.len)
    return left->prefix.len < right->prefix.len ? 1 : -1;
  return (left->position > right->position)
         - (left->position < right->position);
}

int
cs_routing_finalise (cs_routing_t *routing)
{
  if (routing->key_count > 0)
    qsort (routing->keys, routing->key_count, sizeof *routing->keys,
           compare_keys);
  if (routing->route_count > 0)
    qsort (routing->routes, routing->route_count, sizeof *routing->routes,
           compare_routes);
  return cs_routing_assign_priority_levels (routing);
}

const cs_organisation_t *
cs_routing_find_key (const cs_routing_t *routing, cs_str_t key)
{
  cs_api_key_t wanted = { .text = key };
  if (routing->key_count == 0)
    return NULL;
  const cs_api_key_t *found
      = bsearch (&wanted, routing->keys, routing->key_count,
                 sizeof *routing->keys, compare_keys);
  return found == NULL ? NULL : &routing->organisations[found->organisation];
}

cs_time_us_t
cs_routing_stream_patience_us (const cs_routing_t *routing)
{
  uint64_t patience_ms = MIN_PATIENCE_MS;
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const cs_route_t *route = &routing->routes[i];
      uint64_t first_ms
          = (uint64_t)route->latency_objective_ms * PATIENCE_OBJECTIVES;
      uint64_t gap_ms
          = (uint64_t)route->event_gap_objective_ms * PATIENCE_GAPS;
      if (route->kind != CS_ROUTE_STREAMING)
        continue;
      patience_ms = first_ms > patience_ms ? first_ms : patience_ms;
      patience_ms = gap_ms > patience_ms ? gap_ms : patience_ms;
    }
  return patience_ms * CS_US_PER_MS;
}
