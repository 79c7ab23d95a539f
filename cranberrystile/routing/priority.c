/* The order in which the configuration ranks requests.  */

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

/* Sorts the COUNT values of LIST and drops those that stand twice; returns how
   many are left.  */
static size_t
sort_distinct (uint32_t *list, size_t count)
{
  size_t kept = 0;
  if (count > 0)
    qsort (list, count, sizeof *list, compare);
  for (size_t i = 0; i < count; i++)
    if (kept == 0 || list[i] != list[kept - 1])
      list[kept++] = list[i];
  return kept;
}

static uint32_t
level_of (const uint32_t *list, size_t count, uint32_t priority)
{
  const uint32_t *found
      = bsearch (&priority, list, count, sizeof *list, compare);
  return found == NULL ? 0 : (uint32_t)(found - list);
}

int
cs_routing_set_levels (cs_routing_t *routing)
{
  size_t count = 0;
  uint32_t *list = calloc (
      routing->route_count + routing->organisation_count + 1, sizeof *list);
  if (list == NULL)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < routing->route_count; i++)
    list[count++] = routing->routes[i].priority;
  for (size_t i = 0; i < routing->organisation_count; i++)
    if (routing->organisations[i].has_priority)
      list[count++] = routing->organisations[i].priority;
  count = sort_distinct (list, count);
  for (size_t i = 0; i < routing->route_count; i++)
    routing->routes[i].level
        = level_of (list, count, routing->routes[i].priority);
  for (size_t i = 0; i < routing->organisation_count; i++)
    routing->organisations[i].level
        = level_of (list, count, routing->organisations[i].priority);
  routing->levels = (uint32_t)count;
  free (list);
  return CS_OK;
}

uint32_t
cs_routing_rank (const cs_routing_t *routing, const cs_route_t *route,
                 const cs_organisation_t *organisation)
{
  uint32_t first = route->level;
  if (organisation != NULL && organisation->has_priority)
    first = organisation->level;
  return first * routing->levels + route->level;
}

uint32_t
cs_routing_ranks (const cs_routing_t *routing)
{
  return routing->levels * routing->levels;
}
