#include <stdlib.h>

#include "router/peer/internal.h"
#include "router/quarantine.h"

/* Older notices are not sent: the peer's other links have brought them.  */
#define MAX_AGE_US (30 * CS_US_PER_S)
/* More are dropped: where hundreds of targets crash in a second, no prompt is
   the cause.  */
#define MAX_NOTICES_PER_S 100

static void
free_notice (cs_crash_notice_t *notice)
{
  if (notice->kind != CS_NOTICE_CRASH)
    return;
  cs_id_list_free (&notice->crash.causes.requests);
  cs_id_list_free (&notice->crash.causes.parts);
}

void
cs_crash_notices_free (cs_crash_notices_t *ring)
{
  if (ring == NULL)
    return;
  for (size_t i = 0; i < CS_CRASH_NOTICES && i < ring->count; i++)
    free_notice (&ring->notices[i]);
  free (ring);
}

/* Takes what NOTICE holds.  */
static void
announce (cs_mesh_t *mesh, cs_crash_notice_t *notice)
{
  if (mesh == NULL || notice->hops > CS_MAX_HOPS)
    {
      free_notice (notice);
      return;
    }
  if (mesh->crash_notices == NULL)
    mesh->crash_notices = calloc (1, sizeof *mesh->crash_notices);
  cs_crash_notices_t *ring = mesh->crash_notices;
  if (ring == NULL
      || !cs_notice_is_within_rate (&ring->rate, MAX_NOTICES_PER_S,
                                    cs_loop_now (mesh->router->loop)))
    {
      free_notice (notice);
      return;
    }
  cs_crash_notice_t *place = &ring->notices[ring->count % CS_CRASH_NOTICES];
  if (ring->count++ >= CS_CRASH_NOTICES)
    free_notice (place);
  *place = *notice;
  cs_mesh_send_notices (mesh);
}

void
cs_mesh_announce_crash (cs_mesh_t *mesh, const cs_crash_t *crash,
                        uint32_t hops)
{
  cs_crash_notice_t notice = { .kind = CS_NOTICE_CRASH, .hops = hops };
  notice.crash = (cs_crash_t){ .target = crash->target, .at = crash->at };
  cs_causes_t *causes = &notice.crash.causes;
  (void)cs_id_list_copy (&causes->requests, &crash->causes.requests,
                         CS_CRASH_REQUESTS_MAX);
  (void)cs_id_list_copy (&causes->parts, &crash->causes.parts,
                         CS_CRASH_PARTS_MAX);
  announce (mesh, &notice);
}

void
cs_mesh_announce_served (cs_mesh_t *mesh, const cs_part_time_t *served,
                         uint32_t hops)
{
  cs_crash_notice_t notice = { .kind = CS_NOTICE_SERVED, .hops = hops };
  notice.part = *served;
  announce (mesh, &notice);
}

void
cs_mesh_announce_blocked (cs_mesh_t *mesh, const cs_part_time_t *blocked)
{
  cs_crash_notice_t notice = { .kind = CS_NOTICE_BLOCKED };
  notice.part = *blocked;
  announce (mesh, &notice);
}

bool
cs_crash_notices_are_due (const cs_link_t *link)
{
  const cs_crash_notices_t *ring = link->mesh->crash_notices;
  return ring != NULL && link->crash_notices_sent < ring->count;
}

/* The notices of one heartbeat, in static memory.  */
typedef struct
{
  Cs__Router__Crash crashes[CS_CRASH_NOTICES];
  Cs__Router__Crash *crash_list[CS_CRASH_NOTICES];
  Cs__Router__Served served[CS_CRASH_NOTICES];
  Cs__Router__Served *served_list[CS_CRASH_NOTICES];
  Cs__Router__Blocked blocked[CS_QUARANTINE_SUSPECTS + CS_CRASH_NOTICES];
  Cs__Router__Blocked *blocked_list[CS_QUARANTINE_SUSPECTS + CS_CRASH_NOTICES];
} frames_t;

/* Adds the last MAX_PARTS parts of the crash.  */
static void
add_crash (frames_t *frames, cs_crash_notice_t *notice, uint32_t max_parts,
           Cs__Router__Beat *beat, cs_time_us_t now)
{
  const cs_id_list_t *parts = &notice->crash.causes.parts;
  uint32_t count = parts->count < max_parts ? parts->count : max_parts;
  Cs__Router__Crash *crash = &frames->crashes[beat->n_crashes];
  cs__router__crash__init (crash);
  crash->target = notice->crash.target;
  crash->requests = notice->crash.causes.requests.ids;
  crash->n_requests = notice->crash.causes.requests.count;
  crash->n_parts = count;
  if (count > 0)
    crash->parts = parts->ids + parts->count - count;
  crash->age_ms = cs_notice_age_ms (notice->crash.at, now);
  crash->hops = notice->hops;
  frames->crash_list[beat->n_crashes++] = crash;
}

static void
add_served (frames_t *frames, const cs_crash_notice_t *notice,
            Cs__Router__Beat *beat, cs_time_us_t now)
{
  Cs__Router__Served *served = &frames->served[beat->n_served];
  cs__router__served__init (served);
  served->part = notice->part.part;
  served->age_ms = cs_notice_age_ms (notice->part.at, now);
  served->hops = notice->hops;
  frames->served_list[beat->n_served++] = served;
}

static void
add_blocked (frames_t *frames, const cs_part_time_t *part,
             Cs__Router__Beat *beat, cs_time_us_t now)
{
  Cs__Router__Blocked *blocked = &frames->blocked[beat->n_blocked];
  cs__router__blocked__init (blocked);
  blocked->part = part->part;
  blocked->age_ms = cs_notice_age_ms (part->at, now);
  frames->blocked_list[beat->n_blocked++] = blocked;
}

static void
add_notice (frames_t *frames, cs_crash_notice_t *notice, uint32_t max_parts,
            Cs__Router__Beat *beat, cs_time_us_t now)
{
  switch (notice->kind)
    {
    case CS_NOTICE_CRASH:
      if (now < notice->crash.at + MAX_AGE_US)
        add_crash (frames, notice, max_parts, beat, now);
      return;
    case CS_NOTICE_SERVED:
      if (now < notice->part.at + MAX_AGE_US)
        add_served (frames, notice, beat, now);
      return;
    case CS_NOTICE_BLOCKED:
      add_blocked (frames, &notice->part, beat, now);
      return;
    }
}

/* The blocked parts, for a new link.  */
static void
add_all_blocked (cs_link_t *link, frames_t *frames, Cs__Router__Beat *beat,
                 cs_time_us_t now)
{
  cs_part_time_t parts[CS_QUARANTINE_SUSPECTS];
  size_t count = cs_quarantine_list_blocked (link->mesh->router->quarantine,
                                             now, parts);
  for (size_t i = 0; i < count; i++)
    add_blocked (frames, &parts[i], beat, now);
  link->blocked_sent = true;
}

void
cs_crash_notices_fill_heartbeat (cs_link_t *link, Cs__Router__Beat *beat,
                                 cs_time_us_t now)
{
  static frames_t frames;
  cs_crash_notices_t *ring = link->mesh->crash_notices;
  beat->crashes = frames.crash_list;
  beat->served = frames.served_list;
  beat->blocked = frames.blocked_list;
  if (!link->blocked_sent)
    add_all_blocked (link, &frames, beat, now);
  if (ring == NULL)
    return;
  if (ring->count - link->crash_notices_sent > CS_CRASH_NOTICES)
    link->crash_notices_sent = ring->count - CS_CRASH_NOTICES;
  while (link->crash_notices_sent < ring->count)
    add_notice (&frames,
                &ring->notices[link->crash_notices_sent++ % CS_CRASH_NOTICES],
                link->max_crash_parts, beat, now);
}

static void
read_crash (cs_router_t *router, const Cs__Router__Crash *entry,
            cs_time_us_t now)
{
  cs_crash_t crash
      = { .target = entry->target,
          .causes.requests
          = { entry->requests, (uint32_t)entry->n_requests, 0 },
          .causes.parts = { entry->parts, (uint32_t)entry->n_parts, 0 },
          .at = cs_notice_time (entry->age_ms, now) };
  cs_router_crash_reported (router, &crash, entry->hops + 1, now);
}

void
cs_crash_notices_read_heartbeat (cs_link_t *link, const Cs__Router__Beat *beat,
                                 cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  for (size_t i = 0; i < beat->n_crashes; i++)
    read_crash (router, beat->crashes[i], now);
  for (size_t i = 0; i < beat->n_served; i++)
    {
      const Cs__Router__Served *entry = beat->served[i];
      cs_part_time_t served
          = { entry->part, cs_notice_time (entry->age_ms, now) };
      if (cs_quarantine_add_served (router->quarantine, &served, now))
        cs_mesh_announce_served (link->mesh, &served, entry->hops + 1);
    }
  for (size_t i = 0; i < beat->n_blocked; i++)
    {
      const Cs__Router__Blocked *entry = beat->blocked[i];
      cs_part_time_t blocked
          = { entry->part, cs_notice_time (entry->age_ms, now) };
      cs_router_block_reported (router, &blocked, now);
    }
}
