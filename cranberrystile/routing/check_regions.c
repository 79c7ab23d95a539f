/* Allowed regions in which there is no target.  */

#include "cranberrystile/routing_check.h"

typedef struct
{
  const cs_routing_t *routing;
  const cs_target_places_t *places;
  cs_findings_t *findings;
} region_check_t;

/* Whether requests on ROUTE may go to the service of PLACE.  NULL: those on
   any route may.  */
static bool
uses_service (const region_check_t *check, const cs_route_t *route,
              const cs_target_place_t *place)
{
  if (route == NULL)
    return true;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      uint32_t service = route->weighted_services[i].service;
      if (route->weighted_services[i].weight > 0
          && cs_str_equal (check->routing->services[service].name,
                           cs_name_str (&place->service)))
        return true;
    }
  return false;
}

/* Whether a target of ROUTE, or of any if that is NULL, is allowed by both
   lists.  NULL allows all.  */
static bool
has_target (const region_check_t *check, const cs_route_t *route,
            const cs_region_list_t *first, const cs_region_list_t *second)
{
  const cs_target_places_t *places = check->places;
  for (size_t i = 0; i < places->count; i++)
    {
      const cs_target_place_t *place = &places->list[i];
      if (uses_service (check, route, place)
          && cs_region_list_allows (first, places->regions,
                                    &place->data_centre)
          && cs_region_list_allows (second, places->regions,
                                    &place->data_centre))
        return true;
    }
  return false;
}

/* Checks the regions LIST of ROUTE, or of an organisation if that is NULL.  */
static void
check_list (const region_check_t *check, const cs_route_t *route,
            const cs_region_list_t *list, cs_place_t place)
{
  const char *whose = route == NULL ? "" : " of the route's services";
  if (!list->is_stated)
    return;
  if (!has_target (check, route, list, NULL))
    {
      cs_findings_add (check->findings, CS_SEVERITY_ERROR, "no_target_allowed",
                       place, "no target%s is in an allowed region", whose);
      return;
    }
  for (size_t i = 0; i < list->count; i++)
    {
      cs_region_list_t single
          = { .is_stated = true, .names = &list->names[i], .count = 1 };
      if (!has_target (check, route, &single, NULL))
        cs_findings_add (check->findings, CS_SEVERITY_WARNING,
                         "region_without_targets", place,
                         "no target%s is in the region \"%.*s\"", whose,
                         CS_STR_ARG (list->names[i]));
    }
}

/* Warns of routes that ORGANISATION can't use, although targets are in the
   regions that either of them allows.  */
static void
check_pairs (const region_check_t *check,
             const cs_organisation_t *organisation, cs_place_t place)
{
  const cs_region_list_t *list = &organisation->regions;
  if (!list->is_stated || !has_target (check, NULL, list, NULL))
    return;
  for (size_t i = 0; i < check->routing->route_count; i++)
    {
      const cs_route_t *route = &check->routing->routes[i];
      if (has_target (check, route, &route->regions, NULL)
          && !has_target (check, route, &route->regions, list))
        cs_findings_add (
            check->findings, CS_SEVERITY_WARNING, "route_without_target",
            place, "no target in an allowed region serves the route \"%.*s\"",
            CS_STR_ARG (route->name));
    }
}

void
cs_routing_check_regions (const cs_routing_t *routing,
                          const cs_target_places_t *places,
                          cs_findings_t *findings)
{
  region_check_t check = { routing, places, findings };
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const cs_route_t *route = &routing->routes[i];
      check_list (
          &check, route, &route->regions,
          (cs_place_t){ CS_PART_ROUTE, route->position, CS_FIELD_REGIONS });
    }
  for (size_t i = 0; i < routing->organisation_count; i++)
    {
      const cs_organisation_t *organisation = &routing->organisations[i];
      cs_place_t place = { CS_PART_ORGANISATION, i, CS_FIELD_REGIONS };
      check_list (&check, NULL, &organisation->regions, place);
      check_pairs (&check, organisation, place);
    }
}
