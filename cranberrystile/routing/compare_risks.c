/* Changes of a configuration that may take something away from callers.  */

#include "cranberrystile/routing_check.h"

const cs_route_t *
cs_routing_route_by_name (const cs_routing_t *routing, cs_str_t name)
{
  const cs_route_t *first = NULL;
  for (size_t i = 0; i < routing->route_count; i++)
    {
      const cs_route_t *route = &routing->routes[i];
      if (cs_str_equal (route->name, name)
          && (first == NULL || route->position < first->position))
        first = route;
    }
  return first;
}

const cs_service_t *
cs_routing_service_by_name (const cs_routing_t *routing, cs_str_t name)
{
  for (size_t i = 0; i < routing->service_count; i++)
    if (cs_str_equal (routing->services[i].name, name))
      return &routing->services[i];
  return NULL;
}

const cs_organisation_t *
cs_routing_organisation_by_name (const cs_routing_t *routing, cs_str_t name)
{
  for (size_t i = 0; i < routing->organisation_count; i++)
    if (cs_str_equal (routing->organisations[i].name, name))
      return &routing->organisations[i];
  return NULL;
}

static const cs_place_t document = { CS_PART_DOCUMENT, 0, CS_FIELD_NONE };

static void
compare_versions (const cs_routing_t *older, const cs_routing_t *newer,
                  cs_findings_t *findings)
{
  cs_place_t place = { CS_PART_DOCUMENT, 0, CS_FIELD_VERSION };
  if (newer->version <= older->version)
    cs_findings_add (findings, CS_SEVERITY_WARNING, "version_not_newer", place,
                     "the version %llu isn't above %llu, so routers that have "
                     "that one ignore it",
                     (unsigned long long)newer->version,
                     (unsigned long long)older->version);
}

/* Whether requests of ROUTE, which belongs to ROUTING, may go to the service
   NAME.  */
static bool
uses_service (const cs_routing_t *routing, const cs_route_t *route,
              cs_str_t name)
{
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      const cs_weighted_service_t *entry = &route->weighted_services[i];
      if (entry->weight > 0
          && cs_str_equal (routing->services[entry->service].name, name))
        return true;
    }
  return false;
}

/* Whether each service of route A of ROUTING_A is also one of route B of
   ROUTING_B.  */
static bool
covers_services (const cs_routing_t *routing_a, const cs_route_t *a,
                 const cs_routing_t *routing_b, const cs_route_t *b)
{
  for (size_t i = 0; i < a->weighted_service_count; i++)
    if (a->weighted_services[i].weight > 0)
      {
        uint32_t service = a->weighted_services[i].service;
        if (!uses_service (routing_b, b, routing_a->services[service].name))
          return false;
      }
  return true;
}

/* Compares who serves the requests that ROUTE of OLDER serves.  */
static void
compare_route (const cs_routing_t *older, const cs_route_t *route,
               const cs_routing_t *newer, cs_findings_t *findings)
{
  const cs_route_t *successor
      = cs_routing_find_route (newer, route->host, route->prefix);
  const cs_route_t *namesake = cs_routing_route_by_name (newer, route->name);
  if (!cs_routing_is_reachable (older, route))
    return;
  if (successor == NULL)
    cs_findings_add (findings, CS_SEVERITY_WARNING,
                     namesake == NULL ? "route_removed" : "route_moved",
                     document,
                     "no route serves %.*s%.*s any longer, which \"%.*s\" "
                     "does in the other version",
                     CS_STR_ARG (route->host), CS_STR_ARG (route->prefix),
                     CS_STR_ARG (route->name));
  if (namesake == NULL)
    namesake = successor;
  if (namesake != NULL
      && !(covers_services (older, route, newer, namesake)
           && covers_services (newer, namesake, older, route)))
    cs_findings_add (
        findings, CS_SEVERITY_WARNING, "route_service_changed",
        (cs_place_t){ CS_PART_ROUTE, namesake->position, CS_FIELD_WEIGHTS },
        "requests of \"%.*s\" go to other services than in the "
        "other version",
        CS_STR_ARG (route->name));
}

/* Whether the organisation NAME holds a key in NEWER that OLDER doesn't
   have.  */
static bool
has_new_key (const cs_routing_t *older, const cs_routing_t *newer,
             cs_str_t name)
{
  for (size_t i = 0; i < newer->key_count; i++)
    if (cs_str_equal (newer->organisations[newer->keys[i].organisation].name,
                      name)
        && cs_routing_find_key (older, newer->keys[i].text) == NULL)
      return true;
  return false;
}

static void
compare_key (const cs_routing_t *older, const cs_api_key_t *key,
             const cs_routing_t *newer, cs_findings_t *findings)
{
  cs_str_t name = older->organisations[key->organisation].name;
  const cs_organisation_t *holder = cs_routing_find_key (newer, key->text);
  char shown[CS_MASKED_KEY_SIZE];
  cs_routing_mask_key (key->text, shown);
  if (holder == NULL && !has_new_key (older, newer, name))
    cs_findings_add (findings, CS_SEVERITY_WARNING, "key_removed", document,
                     "the key %s of \"%.*s\" is removed, and the organisation "
                     "gets no other in its place",
                     shown, CS_STR_ARG (name));
  else if (holder != NULL && !cs_str_equal (holder->name, name))
    cs_findings_add (findings, CS_SEVERITY_WARNING, "key_moved",
                     (cs_place_t){ CS_PART_ORGANISATION,
                                   (size_t)(holder - newer->organisations),
                                   CS_FIELD_KEYS },
                     "the key %s passes from \"%.*s\" to \"%.*s\"", shown,
                     CS_STR_ARG (name), CS_STR_ARG (holder->name));
}

void
cs_routing_compare_risks (const cs_routing_t *older, const cs_routing_t *newer,
                          cs_findings_t *findings)
{
  compare_versions (older, newer, findings);
  for (size_t i = 0; i < older->route_count; i++)
    compare_route (older, &older->routes[i], newer, findings);
  for (size_t i = 0; i < older->key_count; i++)
    compare_key (older, &older->keys[i], newer, findings);
}
