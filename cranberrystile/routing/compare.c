/* What differs between two versions of a configuration.  */

#include <stddef.h>

#include "cranberrystile/routing_check.h"

typedef enum
{
  FORMAT_TEXT,
  FORMAT_NUMBER,
  FORMAT_MS,
  FORMAT_BYTES,
  FORMAT_FLAG,
  FORMAT_KIND,
  FORMAT_SERVICES,
  FORMAT_PRIORITY,
  FORMAT_COPY_TIME,
  FORMAT_SECONDS,
  FORMAT_REGIONS
} format_t;

/* A value that operators set: its name, and its place in the record.  */
typedef struct
{
  const char *name;
  format_t format;
  size_t offset;
} property_t;

static const property_t route_properties[] = {
  { "host", FORMAT_TEXT, offsetof (cs_route_t, host) },
  { "path prefix", FORMAT_TEXT, offsetof (cs_route_t, prefix) },
  { "kind", FORMAT_KIND, offsetof (cs_route_t, kind) },
  { "service", FORMAT_SERVICES, 0 },
  { "timeout", FORMAT_MS, offsetof (cs_route_t, timeout_ms) },
  { "objective", FORMAT_MS, offsetof (cs_route_t, latency_objective_ms) },
  { "objective between events", FORMAT_MS,
    offsetof (cs_route_t, event_gap_objective_ms) },
  { "attempts", FORMAT_NUMBER, offsetof (cs_route_t, max_attempts) },
  { "priority", FORMAT_NUMBER, offsetof (cs_route_t, priority) },
  { "public", FORMAT_FLAG, offsetof (cs_route_t, is_public) },
  { "resumable", FORMAT_FLAG, offsetof (cs_route_t, resumable) },
  { "session affinity", FORMAT_FLAG, offsetof (cs_route_t, session_affinity) },
  { "regions", FORMAT_REGIONS, offsetof (cs_route_t, regions) },
};

static const property_t service_properties[] = {
  { "health path", FORMAT_TEXT, offsetof (cs_service_t, health_path) },
  { "connections to a target", FORMAT_NUMBER,
    offsetof (cs_service_t, max_connections) },
  { "slots", FORMAT_NUMBER, offsetof (cs_service_t, slots) },
  { "time to copy context", FORMAT_COPY_TIME,
    offsetof (cs_service_t, kv_transfer_us_per_token) },
  { "cold time after a start", FORMAT_SECONDS,
    offsetof (cs_service_t, cold_start_s) },
  { "requests a second to a cold target", FORMAT_NUMBER,
    offsetof (cs_service_t, cold_per_s) },
};

static const property_t organisation_properties[] = {
  { "priority", FORMAT_PRIORITY, 0 },
  { "regions", FORMAT_REGIONS, offsetof (cs_organisation_t, regions) },
};

static const property_t limit_properties[] = {
  { "size of a head", FORMAT_BYTES,
    offsetof (cs_caller_limits_t, head_bytes) },
  { "size of a body", FORMAT_BYTES,
    offsetof (cs_caller_limits_t, body_bytes) },
  { "time for a head", FORMAT_MS,
    offsetof (cs_caller_limits_t, head_timeout_ms) },
  { "idle time", FORMAT_MS, offsetof (cs_caller_limits_t, idle_timeout_ms) },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

/* Two records of the same name, each with its version.  */
typedef struct
{
  cs_part_t part;
  cs_str_t name;
  const cs_routing_t *old_routing;
  const void *older;
  const cs_routing_t *new_routing;
  const void *newer;
} pair_t;

static int
write_services (const cs_routing_t *routing, const cs_route_t *route,
                cs_buf_t *out)
{
  int rc = 0;
  for (size_t i = 0; rc == 0 && i < route->weighted_service_count; i++)
    {
      const cs_weighted_service_t *entry = &route->weighted_services[i];
      cs_str_t name = routing->services[entry->service].name;
      if (route->weighted_service_count == 1)
        rc = cs_buf_append (out, name);
      else
        rc = cs_buf_printf (out, "%s%.*s (weight %u)", i == 0 ? "" : ", ",
                            CS_STR_ARG (name), entry->weight);
    }
  return rc;
}

static int
write_kind (cs_route_kind_t kind, cs_buf_t *out)
{
  switch (kind)
    {
    case CS_ROUTE_SAFE:
      return cs_buf_printf (out, "safe");
    case CS_ROUTE_STREAMING:
      return cs_buf_printf (out, "streaming");
    case CS_ROUTE_UNSAFE:
      break;
    }
  return cs_buf_printf (out, "unsafe");
}

static int
write_priority (const cs_organisation_t *organisation, cs_buf_t *out)
{
  if (!organisation->has_priority)
    return cs_buf_printf (out, "that of the route");
  return cs_buf_printf (out, "%u", organisation->priority);
}

static int
write_regions (const cs_region_list_t *regions, cs_buf_t *out)
{
  int rc = 0;
  if (!regions->is_stated)
    return cs_buf_printf (out, "any");
  for (size_t i = 0; rc == 0 && i < regions->count; i++)
    rc = cs_buf_printf (out, "%s%.*s", i == 0 ? "" : ", ",
                        CS_STR_ARG (regions->names[i]));
  return regions->count > 0 ? rc : cs_buf_printf (out, "none");
}

/* Appends the value of PROPERTY of RECORD, a part of ROUTING.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
static int
write_value (const cs_routing_t *routing, const void *record,
             const property_t *property, cs_buf_t *out)
{
  const void *field = (const char *)record + property->offset;
  switch (property->format)
    {
    case FORMAT_TEXT:
      return cs_buf_printf (out, "%.*s",
                            CS_STR_ARG (*(const cs_str_t *)field));
    case FORMAT_NUMBER:
      return cs_buf_printf (out, "%u", *(const uint32_t *)field);
    case FORMAT_MS:
      return cs_buf_printf (out, "%u ms", *(const uint32_t *)field);
    case FORMAT_BYTES:
      return cs_buf_printf (out, "%u bytes", *(const uint32_t *)field);
    case FORMAT_FLAG:
      return cs_buf_printf (out, *(const bool *)field ? "yes" : "no");
    case FORMAT_KIND:
      return write_kind (*(const cs_route_kind_t *)field, out);
    case FORMAT_SERVICES:
      return write_services (routing, record, out);
    case FORMAT_PRIORITY:
      return write_priority (record, out);
    case FORMAT_COPY_TIME:
      return cs_buf_printf (out, "%g us per token", *(const double *)field);
    case FORMAT_SECONDS:
      return cs_buf_printf (out, "%g s", *(const double *)field);
    case FORMAT_REGIONS:
      return write_regions (field, out);
    }
  return 0;
}

static void
compare_properties (const pair_t *pair, const property_t *properties,
                    size_t count, cs_findings_t *findings)
{
  for (size_t i = 0; i < count; i++)
    {
      cs_buf_t older = { 0 };
      cs_buf_t newer = { 0 };
      if (write_value (pair->old_routing, pair->older, &properties[i], &older)
              != 0
          || write_value (pair->new_routing, pair->newer, &properties[i],
                          &newer)
                 != 0)
        findings->out_of_memory = true;
      else if (!cs_str_equal (cs_buf_str (&older), cs_buf_str (&newer)))
        cs_findings_add_difference (findings, CS_CHANGE_CHANGED, pair->part,
                                    pair->name, properties[i].name,
                                    older.data == NULL ? "" : older.data,
                                    newer.data == NULL ? "" : newer.data);
      cs_buf_free (&older);
      cs_buf_free (&newer);
    }
}

/* The routes, services or organisations of a version.  */
typedef struct
{
  const cs_routing_t *routing;
  const char *records;
  size_t count;
  size_t record_size;
  size_t name_offset;
} list_t;

static list_t
list_of (const cs_routing_t *routing, cs_part_t part)
{
  if (part == CS_PART_ROUTE)
    return (list_t){ routing, (const char *)routing->routes,
                     routing->route_count, sizeof (cs_route_t),
                     offsetof (cs_route_t, name) };
  if (part == CS_PART_SERVICE)
    return (list_t){ routing, (const char *)routing->services,
                     routing->service_count, sizeof (cs_service_t),
                     offsetof (cs_service_t, name) };
  return (list_t){ routing, (const char *)routing->organisations,
                   routing->organisation_count, sizeof (cs_organisation_t),
                   offsetof (cs_organisation_t, name) };
}

static const char *
record_at (const list_t *list, size_t index)
{
  return list->records + index * list->record_size;
}

static cs_str_t
name_at (const list_t *list, size_t index)
{
  return *(const cs_str_t *)(record_at (list, index) + list->name_offset);
}

/* Returns the record of OTHER that corresponds to the record INDEX of LIST, or
   NULL: the one of the same name, and of several the one with as many before
   it.  */
static const char *
find_counterpart (const list_t *list, size_t index, const list_t *other)
{
  cs_str_t name = name_at (list, index);
  size_t before = 0;
  for (size_t i = 0; i < index; i++)
    if (cs_str_equal (name_at (list, i), name))
      before++;
  for (size_t i = 0; i < other->count; i++)
    if (cs_str_equal (name_at (other, i), name) && before-- == 0)
      return record_at (other, i);
  return NULL;
}

static void
compare_lists (const cs_routing_t *older, const cs_routing_t *newer,
               cs_part_t part, const property_t *properties, size_t count,
               cs_findings_t *findings)
{
  list_t old_list = list_of (older, part);
  list_t new_list = list_of (newer, part);
  for (size_t i = 0; i < old_list.count; i++)
    {
      pair_t pair = { part,  name_at (&old_list, i),
                      older, record_at (&old_list, i),
                      newer, find_counterpart (&old_list, i, &new_list) };
      if (pair.newer == NULL)
        cs_findings_add_difference (findings, CS_CHANGE_REMOVED, part,
                                    pair.name, NULL, NULL, NULL);
      else
        compare_properties (&pair, properties, count, findings);
    }
  for (size_t i = 0; i < new_list.count; i++)
    if (find_counterpart (&new_list, i, &old_list) == NULL)
      cs_findings_add_difference (findings, CS_CHANGE_ADDED, part,
                                  name_at (&new_list, i), NULL, NULL, NULL);
}

/* Whether KEY, which belongs to ROUTING, has the same holder in OTHER.  */
static bool
is_key_kept (const cs_routing_t *routing, const cs_api_key_t *key,
             const cs_routing_t *other)
{
  const cs_organisation_t *holder = cs_routing_find_key (other, key->text);
  return holder != NULL
         && cs_str_equal (holder->name,
                          routing->organisations[key->organisation].name);
}

static void
compare_keys (const cs_routing_t *older, const cs_routing_t *newer,
              cs_findings_t *findings)
{
  char shown[CS_MASKED_KEY_SIZE];
  for (size_t i = 0; i < older->key_count; i++)
    if (!is_key_kept (older, &older->keys[i], newer))
      {
        cs_routing_mask_key (older->keys[i].text, shown);
        cs_findings_add_difference (
            findings, CS_CHANGE_REMOVED, CS_PART_ORGANISATION,
            older->organisations[older->keys[i].organisation].name, "key",
            shown, NULL);
      }
  for (size_t i = 0; i < newer->key_count; i++)
    if (!is_key_kept (newer, &newer->keys[i], older))
      {
        cs_routing_mask_key (newer->keys[i].text, shown);
        cs_findings_add_difference (
            findings, CS_CHANGE_ADDED, CS_PART_ORGANISATION,
            newer->organisations[newer->keys[i].organisation].name, "key",
            NULL, shown);
      }
}

void
cs_routing_compare (const cs_routing_t *older, const cs_routing_t *newer,
                    cs_findings_t *findings)
{
  pair_t limits = { CS_PART_LIMITS, { "", 0 }, older,
                    &older->limits, newer,     &newer->limits };
  compare_lists (older, newer, CS_PART_ROUTE, route_properties,
                 COUNT (route_properties), findings);
  compare_lists (older, newer, CS_PART_SERVICE, service_properties,
                 COUNT (service_properties), findings);
  compare_lists (older, newer, CS_PART_ORGANISATION, organisation_properties,
                 COUNT (organisation_properties), findings);
  compare_keys (older, newer, findings);
  compare_properties (&limits, limit_properties, COUNT (limit_properties),
                      findings);
  cs_routing_compare_risks (older, newer, findings);
}
