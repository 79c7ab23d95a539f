#include "router/apply.h"

#include <stdlib.h>

#include "common/compress.h"
#include "common/error.h"
#include "common/log.h"
#include "platform/store.h"
#include "router/cold.h"
#include "router/mesh.h"
#include "router/stream_versions.h"

/* Limit on the decompressed size of a configuration.  The store holds values
   up to about a megabyte; JSON as other programs format it may be longer.  */
#define MAX_DOCUMENT_BYTES (4U << 20)

static void
log_routing (const cs_routing_t *routing, cs_revision_t revision,
             const char *source, cs_time_us_t took)
{
  cs_log (CS_EV_ROUTING_APPLIED,
          "version=%llu revision=%llu source=%s routes=%zu services=%zu "
          "organisations=%zu keys=%zu head_timeout_ms=%u idle_timeout_ms=%u "
          "took_ms=%llu",
          (unsigned long long)routing->version,
          (unsigned long long)revision.number, source, routing->route_count,
          routing->service_count, routing->organisation_count,
          routing->key_count, routing->limits.head_timeout_ms,
          routing->limits.idle_timeout_ms,
          (unsigned long long)(took / CS_US_PER_MS));
}

static void
reject_routing (cs_revision_t revision, const char *source, const char *reason)
{
  cs_log (CS_EV_ROUTING_REJECTED, "revision=%llu source=%s reason=\"%s\"",
          (unsigned long long)revision.number, source, reason);
}

/* Decodes SPEC and makes it the current routing.  Returns false if it is
   invalid or not newer than the current one.  */
static bool
apply_if_newer (cs_router_t *router, const json_t *spec,
                cs_revision_t revision, const char *source)
{
  cs_routing_t *routing = NULL;
  cs_buf_t reason = { 0 };
  cs_time_us_t began = cs_loop_now (router->loop);
  if (cs_store_read_routing (spec, &routing, &reason) != 0)
    {
      reject_routing (revision, source,
                      reason.data == NULL ? "out of memory" : reason.data);
      cs_buf_free (&reason);
      return false;
    }
  if (router->routing != NULL && routing->version <= router->routing->version)
    {
      cs_routing_release (routing);
      return false;
    }
  log_routing (routing, revision, source, cs_loop_now (router->loop) - began);
  cs_routing_release (router->routing);
  router->routing = routing;
  cs_buf_free (&router->routing_document);
  return true;
}

void
cs_apply_routing (cs_router_t *router, const json_t *spec,
                  cs_revision_t revision)
{
  if (!apply_if_newer (router, spec, revision, "platform")
      || router->mesh == NULL)
    return;
  /* Kept to pass on to peers.  On allocation failure they have to fetch it
     from the platform.  */
  char *text = json_dumps (spec, JSON_COMPACT);
  if (text != NULL
      && cs_compress (cs_str (text), &router->routing_document) != 0)
    cs_buf_free (&router->routing_document);
  free (text);
}

void
cs_apply_peer_routing (cs_router_t *router, cs_str_t document,
                       cs_revision_t revision)
{
  cs_buf_t text = { 0 };
  json_t *spec = NULL;
  if (cs_decompress (document, MAX_DOCUMENT_BYTES, &text) != 0)
    {
      reject_routing (revision, "peer", "document cannot be decompressed");
      goto out;
    }
  spec = json_loadb (text.data, text.len, 0, NULL);
  cs_buf_free (&text);
  if (apply_if_newer (router, spec, revision, "peer"))
    {
      cs_buf_append (&router->routing_document, document);
      if (cs_revision_compare (revision, router->routing_sync.revision) > 0)
        router->routing_sync.revision = revision;
    }
out:
  cs_buf_free (&text);
  json_decref (spec);
}

static void
on_target_added (cs_router_t *router, const cs_target_entry_t *entry,
                 const char *source)
{
  cs_log (CS_EV_TARGET_LISTED,
          "target=%.*s source=%s service=%.*s data_centre=%.*s slots=%u "
          "started=%llu version=%llx revision=%llu",
          CS_STR_ARG (entry->id), source, CS_STR_ARG (entry->service),
          CS_STR_ARG (entry->data_centre), entry->slots,
          (unsigned long long)entry->started_ms,
          (unsigned long long)entry->version,
          (unsigned long long)entry->revision.number);
  cs_stream_versions_see (router->stream_versions, entry->version,
                          cs_loop_now (router->loop));
}

void
cs_apply_target (cs_router_t *router, const cs_target_entry_t *entry,
                 const char *source)
{
  bool added;
  cs_time_us_t now = cs_loop_now (router->loop);
  if (cs_fleet_put (router->fleet, entry, now, &added) != 0)
    {
      cs_log (CS_EV_TARGET_REMOVED, "target=%.*s reason=\"out of memory\"",
              CS_STR_ARG (entry->id));
      return;
    }
  if (added)
    on_target_added (router, entry, source);
  else if (entry->draining)
    cs_log (CS_EV_TARGET_LEAVING, "target=%.*s source=%s revision=%llu",
            CS_STR_ARG (entry->id), source,
            (unsigned long long)entry->revision.number);
  cs_target_t *target = cs_fleet_find_incarnation (
      router->fleet, entry->id, entry->started_ms, &entry->address);
  if (target == NULL)
    return;
  cs_cold_apply_entry (router, target, entry, added, now);
  /* Those of the first list are known to the other routers.  */
  if (added && router->fleet_synced)
    cs_pace_begin (&target->pace, now);
}

void
cs_apply_target_leaving (cs_router_t *router, cs_target_t *target,
                         const char *source)
{
  if (!cs_fleet_set_leaving (router->fleet, target))
    return;
  cs_log (CS_EV_TARGET_LEAVING, "target=%s source=%s in_flight=%u",
          target->id.text, source, target->in_flight);
  cs_connections_close_idle (target, true, cs_loop_now (router->loop));
  cs_mesh_announce_leaving (router->mesh, target);
}

static void
log_limit (const cs_target_t *target, const char *source)
{
  const cs_named_limit_t *limit = &target->named_limit;
  if (limit->is_limited)
    cs_log (CS_EV_TARGET_LIMITED, "target=%s source=%s per_s=%.2f",
            target->id.text, source, limit->per_s);
  else
    cs_log (CS_EV_TARGET_LIMIT_ENDED, "target=%s source=%s", target->id.text,
            source);
}

void
cs_apply_target_limit (cs_router_t *router, cs_target_t *target,
                       const cs_limit_statement_t *statement, cs_time_us_t now)
{
  cs_limit_result_t result = cs_named_limit_record (
      &target->named_limit, statement, cs_random_unit (&router->random), now);
  if (result == CS_LIMIT_KNOWN)
    return;
  if (result == CS_LIMIT_CHANGED)
    log_limit (target, statement->hops == 0 ? "response" : "peer");
  cs_mesh_announce_limit (router->mesh, target, statement->hops);
}

void
cs_apply_request_sent (cs_router_t *router, cs_target_t *target,
                       cs_time_us_t now)
{
  if (cs_cold_is_in_force (&target->cold, now))
    router->counters.cold_sent++;
  cs_cold_take (&target->cold, now);
  if (cs_named_limit_lapse (&target->named_limit, now))
    log_limit (target, "lapse");
  cs_named_limit_take (&target->named_limit,
                       cs_mesh_count_routers (router->mesh), now);
}
