/* The streams that this router has begun, and their way to the platform's
   store: through the hub, or by the router's own calls.  */

#include "router/mesh.h"
#include "router/store/stream_internal.h"

/* Streams that begin within this time are saved, or passed on, together.  */
#define COLLECT_US (10 * CS_US_PER_MS)
/* A stream that was sent whole may be cut off before it has arrived.  Its
   caller takes it up within this time, or, if nothing shows the cut, within
   this much more than callers wait for an event.  */
#define DELIVERY_US (1 * CS_US_PER_S)
/* A hub that hasn't saved a stream within this time is not relied on.  */
#define MAX_UNSAVED_US (600 * CS_US_PER_MS)

void
cs_stream_request_save (cs_stream_versions_t *versions, cs_time_us_t now)
{
  if (versions->unsaved_since == 0)
    versions->unsaved_since = now;
  if (versions->pass_at == 0)
    versions->pass_at = now + COLLECT_US;
}

static void
on_not_recorded (cs_stream_versions_t *versions, cs_time_us_t now)
{
  versions->router->counters.streams_not_recorded++;
  versions->lost_until = now + CS_STREAM_LIFE_US;
}

uint64_t
cs_stream_versions_begin (cs_stream_versions_t *versions, uint64_t service,
                          const cs_stream_record_t *record, cs_time_us_t now)
{
  cs_stream_record_t numbered = *record;
  uint64_t version;
  if (record->version == 0)
    return 0;
  if (versions->synced_at == 0)
    cs_stream_versions_update (versions, now);
  numbered.number = ++versions->last_number;
  if (cs_stream_table_put (versions->own, &numbered, now) != 0)
    {
      on_not_recorded (versions, now);
      return 0;
    }
  bool is_single
      = cs_version_history_count (&versions->history, service, now, &version)
        < 2;
  if (is_single
      && (cs_stream_history_is_complete (versions, now)
          || cs_version_history_is_base (&versions->history, record->version)))
    return 0;
  if (!versions->is_read
      && (is_single
          || cs_version_history_base (&versions->history, service, now) == 0))
    versions->list_wanted = true;
  if (!is_single)
    cs_stream_request_save (versions, now);
  cs_stream_calls_start (versions, now);
  return numbered.number;
}

void
cs_stream_versions_end (cs_stream_versions_t *versions, uint64_t stream,
                        cs_time_us_t now)
{
  const cs_stream_record_t *known
      = cs_stream_table_find (versions->own, stream, now);
  if (known == NULL)
    return;
  cs_stream_record_t record = *known;
  cs_time_us_t kept_us = DELIVERY_US;
  /* One of the base version goes on there also without a record.  */
  if (!cs_version_history_is_base (&versions->history, record.version))
    kept_us += versions->patience_us;
  if (record.until > now + kept_us)
    record.until = now + kept_us;
  cs_stream_table_put (versions->own, &record, now);
  if (versions->ended_count < CS_STREAM_ENDED_MAX)
    versions->ended[versions->ended_count++] = stream;
}

void
cs_stream_versions_carry (cs_stream_versions_t *versions, uint64_t stream,
                          uint64_t version, cs_time_us_t now)
{
  const cs_stream_record_t *known
      = cs_stream_table_find (versions->own, stream, now);
  cs_stream_record_t record = { .stream = stream,
                                .version = version,
                                .until = now + CS_STREAM_LIFE_US,
                                .is_carried = true };
  record.number = known != NULL && known->version == version
                      ? known->number
                      : ++versions->last_number;
  if (version == 0 || cs_stream_table_put (versions->own, &record, now) != 0)
    on_not_recorded (versions, now);
  versions->carries_until = now + CS_STREAM_LIFE_US;
  versions->save_due = true;
  cs_timer_set (&versions->timer, 0);
}

void
cs_stream_versions_saved (cs_stream_versions_t *versions, uint64_t number,
                          cs_time_us_t now)
{
  cs_stream_wait_t *saved = NULL;
  cs_stream_wait_t **link = &versions->waits;
  if (number <= versions->saved_number)
    return;
  versions->saved_number = number;
  versions->save_us
      = versions->unsaved_since == 0 ? 0 : now - versions->unsaved_since;
  versions->unsaved_since = number < versions->last_number ? now : 0;
  while (*link != NULL)
    {
      cs_stream_wait_t *wait = *link;
      if (wait->number > number)
        {
          link = &wait->next;
          continue;
        }
      *link = wait->next;
      wait->is_waiting = false;
      wait->next = saved;
      saved = wait;
    }
  while (saved != NULL)
    {
      cs_stream_wait_t *wait = saved;
      saved = wait->next;
      wait->on_saved (wait->context, now);
    }
}

bool
cs_stream_versions_wait (cs_stream_versions_t *versions,
                         cs_stream_wait_t *wait)
{
  if (wait->number <= versions->saved_number)
    return true;
  wait->is_waiting = true;
  wait->next = versions->waits;
  versions->waits = wait;
  return false;
}

void
cs_stream_versions_end_wait (cs_stream_versions_t *versions,
                             cs_stream_wait_t *wait)
{
  cs_stream_wait_t **link = &versions->waits;
  if (!wait->is_waiting)
    return;
  while (*link != wait)
    link = &(*link)->next;
  *link = wait->next;
  wait->is_waiting = false;
}

bool
cs_stream_hub_is_late (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  return versions->unsaved_since != 0
         && now > versions->unsaved_since + MAX_UNSAVED_US;
}

bool
cs_stream_versions_are_saved_soon (const cs_stream_versions_t *versions,
                                   cs_time_us_t now)
{
  return versions->failures == 0 && !cs_stream_hub_is_late (versions, now);
}

bool
cs_stream_saves_itself (const cs_stream_versions_t *versions, cs_time_us_t now)
{
  return now < versions->carries_until
         || cs_stream_hub_is_late (versions, now);
}

bool
cs_stream_pass (cs_stream_versions_t *versions, cs_time_us_t now)
{
  cs_stream_changes_t changes = { .table = versions->own,
                                  .number = versions->last_number,
                                  .ended = versions->ended,
                                  .ended_count = versions->ended_count };
  bool is_passed = !cs_stream_saves_itself (versions, now)
                   && cs_mesh_pass_streams (versions->router->mesh, &changes);
  versions->pass_at = 0;
  versions->ended_count = 0;
  return is_passed;
}
