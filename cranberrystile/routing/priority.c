/* Priority levels of routes and organisations, and the rank of requests.  */

#include <stdlib.h>

#include "common/error.h"
#include "cranberrystile/routing.h"

static int
compare (const void *a, const void *b)
{
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;
  return (left > right) - (left < right);
}

/* Sorts the COUNT values of PRIORITIES and removes duplicates.  Returns the
   new count.  */
static size_t
sort_distinct (uint32_t *priorities, size_t count)
{
  size_t kept = 0;
  if (count > 0)
    qsort (priorities, count, sizeof *priorities, compare);
  for (size_t i = 0; i < count; i++)
    if (kept == 0 || priorities[i] != priorities[kept - 1])
      priorities[kept++] = priorities[i];
  return kept;
}

static uint32_t
find_priority_level (const uint32_t *priorities, size_t count,
                     uint32_t priority)
{
  const uint32_t *found
      = bsearch (&priority, priorities, count, sizeof *priorities, compare);
  return found == NULL ? 0 : (uint32_t)(found - priorities);
}

int
cs_routing_assign_priority_levels (cs_routing_t *routing)
{
  size_t count = 0;
  uint32_t *priorities
      = calloc (routing->route_count + routing->organisation_count + 1,
                sizeof *priorities);
  if (priorities == NULL)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < routing->route_count; i++)
    priorities[count++] = routing->routes[i].priority;
  for (size_t i = 0; i < routing->organisation_count; i++)
    if (routing->organisations[i].has_priority)
      priorities[count++] = routing->organisations[i].priority;
  count = sort_distinct (priorities, count);
  for (size_t i = 0; i < routing->route_count; i++)
    routing->routes[i].priority_level
        = find_priority_level (priorities, count, routing->routes[i].priority);
  for (size_t i = 0; i < routing->organisation_count; i++)
    routing->organisations[i].priority_level = find_priority_level (
        priorities, count, routing->organisations[i].priority);
  routing->priority_level_count = (uint32_t)count;
  free (priorities);
  return CS_OK;
}

uint32_t
cs_routing_rank (const cs_routing_t *routing, const cs_route_t *route,
                 const cs_organisation_t *organisation)
{
  uint32_t primary = route->priority_level;
  if (organisation != NULL && organisation->has_priority)
    primary = organisation->priority_level;
  return primary * routing->priority_level_count + route->priority_level;
}

uint32_t
cs_routing_rank_count (const cs_routing_t *routing)
{
  return routing->priority_level_count * routing->priority_level_count;
}
