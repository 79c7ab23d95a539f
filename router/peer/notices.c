#include <stdlib.h>

#include "router/apply.h"
#include "router/cold.h"
#include "router/peer/internal.h"

/* Time for which notices are collected before they are sent: a release makes
   many targets leave together.  */
#define COLLECT_US (20 * CS_US_PER_MS)

/* More notices of limits are dropped.  The routers concerned learn of them
   from their own answers, or from a later notice.  */
#define MAX_LIMITS_PER_S 200

/* More notices of cold targets are dropped.  Lists of targets and the targets'
   own words bring them, too.  Some 15 bytes each.  */
#define MAX_COLD_PER_S 200

bool
cs_notice_is_within_rate (cs_notice_rate_t *rate, uint32_t max_per_s,
                          cs_time_us_t now)
{
  if (now - rate->second_began_at >= CS_US_PER_S)
    *rate = (cs_notice_rate_t){ .second_began_at = now };
  return rate->count++ < max_per_s;
}

static void
add_notice (cs_mesh_t *mesh, cs_notices_t *notices, const cs_target_t *target,
            uint32_t hops)
{
  size_t at = notices->count % CS_NOTICES;
  cs_target_release (notices->targets[at]);
  notices->targets[at] = cs_target_reference ((cs_target_t *)target);
  notices->hops[at] = hops;
  notices->count++;
  cs_mesh_send_notices (mesh);
}

void
cs_mesh_announce_leaving (cs_mesh_t *mesh, const cs_target_t *target)
{
  if (mesh != NULL)
    add_notice (mesh, &mesh->leaving, target, 0);
}

void
cs_mesh_announce_limit (cs_mesh_t *mesh, const cs_target_t *target,
                        uint32_t hops)
{
  if (mesh != NULL && hops <= CS_MAX_HOPS
      && cs_notice_is_within_rate (&mesh->limits.rate, MAX_LIMITS_PER_S,
                                   cs_loop_now (mesh->router->loop)))
    add_notice (mesh, &mesh->limits, target, hops);
}

void
cs_mesh_announce_cold (cs_mesh_t *mesh, const cs_target_t *target,
                       uint32_t hops)
{
  if (mesh != NULL && hops <= CS_MAX_HOPS
      && cs_notice_is_within_rate (&mesh->cold.rate, MAX_COLD_PER_S,
                                   cs_loop_now (mesh->router->loop)))
    add_notice (mesh, &mesh->cold, target, hops);
}

void
cs_mesh_send_notices (cs_mesh_t *mesh)
{
  if (mesh->notice_due)
    return;
  mesh->notice_due = true;
  cs_timer_set (&mesh->notice_timer, COLLECT_US);
}

uint32_t
cs_notice_age_ms (cs_time_us_t at, cs_time_us_t now)
{
  cs_time_us_t age = at < now ? (now - at) / CS_US_PER_MS : 0;
  return age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

cs_time_us_t
cs_notice_time (uint32_t age_ms, cs_time_us_t now)
{
  cs_time_us_t age_us = age_ms * CS_US_PER_MS;
  return age_us < now ? now - age_us : 0;
}

/* Returns the first of NOTICES that is still kept and was not sent yet.  */
static uint64_t
first_unsent (const cs_notices_t *notices, uint64_t sent)
{
  return notices->count - sent > CS_NOTICES ? notices->count - CS_NOTICES
                                            : sent;
}

static void
fill_leaving (cs_link_t *link, Cs__Router__Beat *beat)
{
  static Cs__Router__Leaving entries[CS_NOTICES];
  static Cs__Router__Leaving *list[CS_NOTICES];
  const cs_notices_t *notices = &link->mesh->leaving;
  beat->leaving = list;
  for (uint64_t at = first_unsent (notices, link->leaving_sent);
       at < notices->count; at++)
    {
      const cs_target_t *target = notices->targets[at % CS_NOTICES];
      Cs__Router__Leaving *entry = &entries[beat->n_leaving];
      cs__router__leaving__init (entry);
      entry->target = (char *)target->id.text;
      entry->started_ms = target->started_ms;
      entry->address = target->address.sin_addr.s_addr;
      entry->port = ntohs (target->address.sin_port);
      list[beat->n_leaving++] = entry;
    }
  link->leaving_sent = notices->count;
}

/* Each notice carries what the target says now, so that an earlier one can't
   bring back a limit that has ended.  */
static void
fill_limits (cs_link_t *link, Cs__Router__Beat *beat, cs_time_us_t now)
{
  static Cs__Router__Limit entries[CS_NOTICES];
  static Cs__Router__Limit *list[CS_NOTICES];
  const cs_notices_t *notices = &link->mesh->limits;
  beat->limits = list;
  for (uint64_t at = first_unsent (notices, link->limits_sent);
       at < notices->count; at++)
    {
      const cs_target_t *target = notices->targets[at % CS_NOTICES];
      Cs__Router__Limit *entry = &entries[beat->n_limits];
      cs__router__limit__init (entry);
      entry->target = target->incarnation;
      entry->is_limited = target->named_limit.is_limited;
      entry->per_s = target->named_limit.per_s;
      entry->age_ms = cs_notice_age_ms (target->named_limit.stated_at, now);
      entry->hops = notices->hops[at % CS_NOTICES];
      list[beat->n_limits++] = entry;
    }
  link->limits_sent = notices->count;
}

static void
fill_cold (cs_link_t *link, Cs__Router__Beat *beat, cs_time_us_t now)
{
  static Cs__Router__Cold entries[CS_NOTICES];
  static Cs__Router__Cold *list[CS_NOTICES];
  const cs_notices_t *notices = &link->mesh->cold;
  beat->cold = list;
  for (uint64_t at = first_unsent (notices, link->cold_sent);
       at < notices->count; at++)
    {
      const cs_target_t *target = notices->targets[at % CS_NOTICES];
      Cs__Router__Cold *entry = &entries[beat->n_cold];
      cs__router__cold__init (entry);
      entry->target = target->incarnation;
      entry->remaining_ms = cs_cold_stated_ms (&target->cold, now);
      entry->hops = notices->hops[at % CS_NOTICES];
      if (entry->remaining_ms > 0)
        list[beat->n_cold++] = entry;
    }
  link->cold_sent = notices->count;
}

void
cs_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                           cs_time_us_t now)
{
  /* A peer without a list of targets wouldn't know them.  */
  if (link->targets_revision.number == 0)
    return;
  fill_leaving (link, beat);
  fill_limits (link, beat, now);
  fill_cold (link, beat, now);
}

static void
read_leaving (cs_router_t *router, const Cs__Router__Leaving *entry)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = entry->address;
  address.sin_port = htons ((uint16_t)entry->port);
  cs_target_t *target = cs_fleet_find_incarnation (
      router->fleet, cs_str (entry->target), entry->started_ms, &address);
  if (target != NULL)
    cs_apply_target_leaving (router, target, "peer");
}

static void
read_limit (cs_router_t *router, const Cs__Router__Limit *entry,
            cs_time_us_t now)
{
  cs_limit_statement_t statement = { .is_limited = entry->is_limited,
                                     .per_s = entry->per_s,
                                     .at = cs_notice_time (entry->age_ms, now),
                                     .hops = entry->hops + 1 };
  cs_target_t *target = cs_fleet_find_by_hash (router->fleet, entry->target);
  if (target != NULL && entry->per_s >= 0)
    cs_apply_target_limit (router, target, &statement, now);
}

static void
read_cold (cs_router_t *router, const Cs__Router__Cold *entry,
           cs_time_us_t now)
{
  cs_cold_statement_t statement
      = { .source = CS_COLD_PEER,
          .remaining_us = entry->remaining_ms * CS_US_PER_MS };
  cs_target_t *target = cs_fleet_find_by_hash (router->fleet, entry->target);
  if (target != NULL)
    cs_cold_apply (
        router, target, &statement,
        entry->hops < CS_MAX_HOPS ? entry->hops + 1 : CS_MAX_HOPS + 1, now);
}

void
cs_notices_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                           cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  for (size_t i = 0; i < beat->n_leaving; i++)
    read_leaving (router, beat->leaving[i]);
  for (size_t i = 0; i < beat->n_limits; i++)
    read_limit (router, beat->limits[i], now);
  for (size_t i = 0; i < beat->n_cold; i++)
    read_cold (router, beat->cold[i], now);
}

void
cs_notices_free (cs_mesh_t *mesh)
{
  cs_timer_clear (&mesh->notice_timer);
  for (size_t i = 0; i < CS_NOTICES; i++)
    {
      cs_target_release (mesh->leaving.targets[i]);
      cs_target_release (mesh->limits.targets[i]);
      cs_target_release (mesh->cold.targets[i]);
    }
  free (mesh->crash_notices);
}
