/* Passes the versions of streams on to the hub of the data centre, which saves
   them in the platform's store for all its members with one call.  */

#include <stdlib.h>

#include "router/peer/internal.h"
#include "router/stream_versions.h"

typedef struct
{
  uint64_t after; /* the records with higher numbers are added */
  uint64_t *streams;
  uint64_t *versions;
  size_t count;
} frame_t;

static void
add_record (void *context, const cs_stream_record_t *record)
{
  frame_t *frame = context;
  if (record->number <= frame->after)
    return;
  frame->streams[frame->count] = record->stream;
  frame->versions[frame->count] = record->version;
  frame->count++;
}

bool
cs_mesh_pass_streams (cs_mesh_t *mesh, const cs_stream_changes_t *changes)
{
  cs_link_t *hub
      = cs_mesh_is_first_hub (mesh) ? NULL : cs_loads_find_hub (mesh);
  Cs__Router__Streams streams = CS__ROUTER__STREAMS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  if (hub == NULL || !hub->saves_streams)
    return false;
  size_t count = cs_stream_table_count (changes->table);
  frame_t records = { .after = hub->streams_sent };
  records.streams = calloc (count + 1, sizeof *records.streams);
  records.versions = calloc (count + 1, sizeof *records.versions);
  bool is_passed = records.streams != NULL && records.versions != NULL;
  if (!is_passed)
    goto out;
  cs_stream_table_each (changes->table, add_record, &records);
  streams.number = changes->number;
  streams.streams = records.streams;
  streams.n_streams = records.count;
  streams.versions = records.versions;
  streams.n_versions = records.count;
  streams.ended = (uint64_t *)changes->ended;
  streams.n_ended = changes->ended_count;
  frame.body_case = CS__ROUTER__FRAME__BODY_STREAMS;
  frame.streams = &streams;
  cs_link_send (hub, &frame);
  hub->streams_sent = changes->number;
out:
  free (records.streams);
  free (records.versions);
  return is_passed;
}

void
cs_streams_read (cs_link_t *link, const Cs__Router__Streams *streams,
                 cs_time_us_t now)
{
  cs_stream_versions_t *versions = link->mesh->router->stream_versions;
  if (versions == NULL)
    return;
  for (size_t i = 0; i < streams->n_ended; i++)
    cs_stream_versions_end (versions, streams->ended[i], now);
  link->streams_received = streams->number;
  for (size_t i = 0; i < streams->n_streams; i++)
    cs_stream_versions_carry (versions, streams->streams[i],
                              streams->versions[i], now);
}

void
cs_streams_read_saved (cs_link_t *link, const Cs__Router__StreamsSaved *saved,
                       cs_time_us_t now)
{
  cs_stream_versions_t *versions = link->mesh->router->stream_versions;
  if (versions != NULL && saved->number <= link->streams_sent)
    cs_stream_versions_saved (versions, saved->number, now);
}

void
cs_mesh_streams_saving (cs_mesh_t *mesh)
{
  if (mesh == NULL)
    return;
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    link->streams_saving = link->streams_received;
}

void
cs_mesh_streams_saved (cs_mesh_t *mesh)
{
  Cs__Router__StreamsSaved saved = CS__ROUTER__STREAMS_SAVED__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  if (mesh == NULL)
    return;
  frame.body_case = CS__ROUTER__FRAME__BODY_STREAMS_SAVED;
  frame.streams_saved = &saved;
  for (cs_link_t *link = mesh->links; link != NULL; link = link->next)
    {
      if (link->streams_saving <= link->streams_saved)
        continue;
      link->streams_saved = link->streams_saving;
      saved.number = link->streams_saved;
      cs_link_send (link, &frame);
    }
}
