#include <stdlib.h>

#include "router/peer/internal.h"
#include "router/quarantine.h"

/* Older information is of no use.  */
#define MAX_AGE_MS UINT32_MAX

static void
announce (cs_mesh_t *mesh, const cs_crash_notice_t *notice)
{
  if (mesh == NULL)
    return;
  if (mesh->crash_notices == NULL)
    mesh->crash_notices = calloc (1, sizeof *mesh->crash_notices);
  if (mesh->crash_notices == NULL)
    return;
  cs_crash_notices_t *ring = mesh->crash_notices;
  ring->notices[ring->count++ % CS_CRASH_NOTICES] = *notice;
  cs_mesh_send_notices (mesh);
}

void
cs_mesh_announce_crash (cs_mesh_t *mesh, const cs_crash_t *crash)
{
  announce (mesh,
            &(cs_crash_notice_t){ .kind = CS_NOTICE_CRASH, .crash = *crash });
}

void
cs_mesh_announce_served (cs_mesh_t *mesh, const cs_part_served_t *served)
{
  announce (mesh, &(cs_crash_notice_t){ .kind = CS_NOTICE_SERVED,
                                        .served = *served });
}

void
cs_mesh_announce_blocked (cs_mesh_t *mesh, uint64_t part)
{
  announce (mesh, &(cs_crash_notice_t){ .kind = CS_NOTICE_BLOCKED,
                                        .blocked = part });
}

bool
cs_crash_notices_are_due (const cs_link_t *link)
{
  const cs_crash_notices_t *ring = link->mesh->crash_notices;
  return ring != NULL && link->crash_notices_sent < ring->count;
}

static uint32_t
age_ms (cs_time_us_t at, cs_time_us_t now)
{
  cs_time_us_t age = at < now ? (now - at) / CS_US_PER_MS : 0;
  return age > MAX_AGE_MS ? MAX_AGE_MS : (uint32_t)age;
}

static cs_time_us_t
time_of_age (uint32_t age, cs_time_us_t now)
{
  cs_time_us_t age_us = age * CS_US_PER_MS;
  return age_us < now ? now - age_us : 0;
}

/* Frames of the notices of one heartbeat, in static memory.  */
typedef struct
{
  Cs__Router__Crash crashes[CS_CRASH_NOTICES];
  Cs__Router__Crash *crash_list[CS_CRASH_NOTICES];
  Cs__Router__Served served[CS_CRASH_NOTICES];
  Cs__Router__Served *served_list[CS_CRASH_NOTICES];
  uint64_t blocked[CS_QUARANTINE_SUSPECTS + CS_CRASH_NOTICES];
} frames_t;

static void
add_notice (frames_t *frames, cs_crash_notice_t *notice,
            Cs__Router__Beat *beat, cs_time_us_t now)
{
  Cs__Router__Crash *crash;
  Cs__Router__Served *served;
  switch (notice->kind)
    {
    case CS_NOTICE_CRASH:
      crash = &frames->crashes[beat->n_crashes];
      cs__router__crash__init (crash);
      crash->target = notice->crash.target;
      crash->parts = notice->crash.parts.ids;
      crash->n_parts = notice->crash.parts.count;
      crash->age_ms = age_ms (notice->crash.at, now);
      frames->crash_list[beat->n_crashes++] = crash;
      return;
    case CS_NOTICE_SERVED:
      served = &frames->served[beat->n_served];
      cs__router__served__init (served);
      served->part = notice->served.part;
      served->age_ms = age_ms (notice->served.at, now);
      frames->served_list[beat->n_served++] = served;
      return;
    case CS_NOTICE_BLOCKED:
      frames->blocked[beat->n_blocked_parts++] = notice->blocked;
      return;
    }
}

void
cs_crash_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                                 cs_time_us_t now)
{
  static frames_t frames;
  cs_crash_notices_t *ring = link->mesh->crash_notices;
  beat->crashes = frames.crash_list;
  beat->served = frames.served_list;
  beat->blocked_parts = frames.blocked;
  if (!link->blocked_sent)
    beat->n_blocked_parts = cs_quarantine_list_blocked (
        link->mesh->router->quarantine, now, frames.blocked);
  link->blocked_sent = true;
  if (ring == NULL)
    return;
  if (ring->count - link->crash_notices_sent > CS_CRASH_NOTICES)
    link->crash_notices_sent = ring->count - CS_CRASH_NOTICES;
  while (link->crash_notices_sent < ring->count)
    add_notice (&frames,
                &ring->notices[link->crash_notices_sent++ % CS_CRASH_NOTICES],
                beat, now);
}

void
cs_crash_notices_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                                 cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  for (size_t i = 0; i < beat->n_crashes; i++)
    {
      const Cs__Router__Crash *entry = beat->crashes[i];
      cs_crash_t crash = { .target = entry->target,
                           .parts.count = (uint32_t)entry->n_parts,
                           .at = time_of_age (entry->age_ms, now) };
      for (size_t j = 0; j < entry->n_parts; j++)
        crash.parts.ids[j] = entry->parts[j];
      cs_router_crash_reported (router, &crash, now);
    }
  for (size_t i = 0; i < beat->n_served; i++)
    {
      cs_part_served_t served = { beat->served[i]->part,
                                  time_of_age (beat->served[i]->age_ms, now) };
      if (cs_quarantine_add_served (router->quarantine, &served, now))
        cs_mesh_announce_served (link->mesh, &served);
    }
  for (size_t i = 0; i < beat->n_blocked_parts; i++)
    cs_router_block_reported (router, beat->blocked_parts[i], now);
}
