#include "router/intake.h"

#include <stdlib.h>

#include "common/log.h"
#include "platform/store.h"

static void
log_routing (const cs_routing_t *routing, uint64_t revision,
             const char *source)
{
  cs_log (CS_EV_ROUTING_IN_FORCE,
          "version=%llu revision=%llu source=%s routes=%zu services=%zu "
          "organisations=%zu keys=%zu",
          (unsigned long long)routing->version, (unsigned long long)revision,
          source, routing->route_count, routing->service_count,
          routing->organisation_count, routing->key_count);
}

/* Keeps the document for peers; without memory they ask the platform.  */
static void
keep_document (cs_router_t *router, const json_t *spec)
{
  cs_buf_free (&router->routing_document);
  if (router->mesh == NULL)
    return;
  char *text = json_dumps (spec, JSON_COMPACT);
  if (text != NULL)
    cs_buf_append (&router->routing_document, cs_str (text));
  free (text);
}

void
cs_intake_routing (cs_router_t *router, const json_t *spec, uint64_t revision,
                   const char *source)
{
  cs_routing_t *routing = NULL;
  cs_buf_t reason = { 0 };
  if (cs_store_read_routing (spec, &routing, &reason) != 0)
    {
      cs_log (CS_EV_ROUTING_REJECTED, "revision=%llu source=%s reason=\"%s\"",
              (unsigned long long)revision, source,
              reason.data == NULL ? "no memory" : reason.data);
      cs_buf_free (&reason);
      return;
    }
  if (router->routing != NULL && routing->version <= router->routing->version)
    {
      cs_routing_release (routing);
      return;
    }
  log_routing (routing, revision, source);
  cs_routing_release (router->routing);
  router->routing = routing;
  if (revision > router->routing_news.revision)
    router->routing_news.revision = revision;
  keep_document (router, spec);
}

void
cs_intake_target (cs_router_t *router, const cs_target_entry_t *entry,
                  const char *source)
{
  bool added;
  if (cs_fleet_put (router->fleet, entry, &added) != 0)
    cs_log (CS_EV_TARGET_GONE, "target=%.*s reason=\"no memory\"",
            CS_STR_ARG (entry->id));
  else if (added)
    cs_log (CS_EV_TARGET_LISTED,
            "target=%.*s source=%s service=%.*s data_centre=%.*s slots=%u "
            "started=%llu revision=%llu",
            CS_STR_ARG (entry->id), source, CS_STR_ARG (entry->service),
            CS_STR_ARG (entry->data_centre), entry->slots,
            (unsigned long long)entry->started_ms,
            (unsigned long long)entry->revision);
  else if (entry->draining)
    cs_log (CS_EV_TARGET_LEAVING, "target=%.*s source=%s revision=%llu",
            CS_STR_ARG (entry->id), source,
            (unsigned long long)entry->revision);
}
