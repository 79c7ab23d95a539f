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
cs_mesh_announce_cold (cs_mesh_t *mesh, cs_target_t *target, uint32_t hops)
{
  /* Peers have the first list, too.  */
  if (mesh == NULL || hops > CS_MAX_HOPS || !mesh->router->fleet_synced)
    return;
  target->cold.notice = ++mesh->cold.count;
  target->cold.told_by = 0;
  cs_mesh_send_notices (mesh);
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

static int
reserve_cold (cs_cold_notices_t *cold, size_t count)
{
  if (count <= cold->capacity)
    return CS_OK;
  cs_cold_notice_t *notices
      = reallocarray (cold->notices, count, sizeof *notices);
  if (notices == NULL)
    return CS_ERR_NO_MEMORY;
  cold->notices = notices;
  Cs__Router__Cold **messages
      = reallocarray (cold->messages, count, sizeof (Cs__Router__Cold *));
  if (messages == NULL)
    return CS_ERR_NO_MEMORY;
  cold->messages = messages;
  cold->capacity = count;
  return CS_OK;
}

static size_t
count_cold (const cs_mesh_t *mesh, uint64_t since)
{
  size_t count;
  size_t found = 0;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  for (size_t i = 0; i < count; i++)
    found += targets[i]->cold.notice > since;
  return found;
}

/* Collects the notices after number SINCE of targets that are still cold.  */
static int
collect_cold (cs_mesh_t *mesh, uint64_t since, cs_time_us_t now)
{
  size_t count;
  cs_cold_notices_t *cold = &mesh->cold;
  cs_target_t *const *targets = cs_fleet_targets (mesh->router->fleet, &count);
  if (cold->collected_at == now && cold->since == since
      && cold->until == cold->count)
    return CS_OK;
  cold->collected = 0;
  cold->collected_at = 0;
  if (reserve_cold (cold, count_cold (mesh, since)) != 0)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    {
      const cs_cold_limit_t *limit = &targets[i]->cold;
      uint32_t remaining_ms
          = limit->notice > since && limit->notice_hops <= CS_MAX_HOPS
                ? cs_cold_stated_ms (limit, now)
                : 0;
      if (remaining_ms == 0)
        continue;
      cs_cold_notice_t *notice = &cold->notices[cold->collected++];
      cs__router__cold__init (&notice->message);
      notice->message.target = targets[i]->incarnation;
      notice->message.remaining_ms = remaining_ms;
      notice->message.hops = limit->notice_hops;
      notice->told_by = limit->told_by;
    }
  cold->since = since;
  cold->until = cold->count;
  cold->collected_at = now;
  return CS_OK;
}

static void
fill_cold (cs_link_t *link, Cs__Router__Beat *beat, cs_time_us_t now)
{
  cs_cold_notices_t *cold = &link->mesh->cold;
  if (link->cold_sent == cold->count
      || collect_cold (link->mesh, link->cold_sent, now) != 0)
    return;
  beat->cold = cold->messages;
  for (size_t i = 0; i < cold->collected; i++)
    if (cold->notices[i].told_by != link->id)
      beat->cold[beat->n_cold++] = &cold->notices[i].message;
  link->cold_sent = cold->count;
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
read_cold (cs_link_t *link, const Cs__Router__Cold *entry, cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  cs_cold_statement_t statement
      = { .source = CS_COLD_PEER,
          .remaining_us = entry->remaining_ms * CS_US_PER_MS };
  cs_target_t *target = cs_fleet_find_by_hash (router->fleet, entry->target);
  if (target == NULL)
    return;
  uint64_t known = target->cold.notice;
  cs_cold_apply (router, target, &statement,
                 entry->hops < CS_MAX_HOPS ? entry->hops + 1 : CS_MAX_HOPS + 1,
                 now);
  if (target->cold.notice != known)
    target->cold.told_by = link->id;
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
    read_cold (link, beat->cold[i], now);
}

void
cs_notices_free (cs_mesh_t *mesh)
{
  cs_timer_clear (&mesh->notice_timer);
  for (size_t i = 0; i < CS_NOTICES; i++)
    {
      cs_target_release (mesh->leaving.targets[i]);
      cs_target_release (mesh->limits.targets[i]);
    }
  free (mesh->cold.notices);
  free (mesh->cold.messages);
  cs_crash_notices_free (mesh->crash_notices);
}
