#include <stdlib.h>

#include "common/hash.h"
#include "common/log.h"
#include "router/peer/internal.h"

/* Peers accept a connection within a few round trips.  */
#define CONNECT_TIMEOUT_US (300 * CS_US_PER_MS)
/* A link is dropped when sent bytes stay unacknowledged for this long.  */
#define USER_TIMEOUT_US (1000 * CS_US_PER_MS)
/* While more than this is queued for a peer, further frames to it are dropped.
   The peer's heartbeats then show which state it lacks.  */
#define MAX_QUEUED_BYTES (8U << 20)
/* Parts of a crash that peers of earlier releases read.  */
#define DEFAULT_CRASH_PARTS 16

void
cs_link_close (cs_link_t *link)
{
  cs_link_t **at = &link->mesh->links;
  while (*at != NULL && *at != link)
    at = &(*at)->next;
  if (*at != NULL)
    *at = link->next;
  cs_version_questions_end (link);
  cs_channel_close (link->channel);
  cs_buf_free (&link->received);
  cs_load_table_free (&link->peer_own);
  cs_load_table_free (&link->peer_others);
  cs_load_table_free (&link->sent_own);
  cs_load_table_free (&link->sent_others);
  free (link);
}

void
cs_link_send_bytes (cs_link_t *link, cs_str_t bytes)
{
  if (cs_channel_queued (link->channel) < MAX_QUEUED_BYTES)
    cs_channel_send (link->channel, bytes);
}

void
cs_link_send (cs_link_t *link, const cs_router_frame_t *frame)
{
  cs_buf_t bytes = { 0 };
  if (cs_router_frame_pack (frame, &bytes) == 0)
    cs_link_send_bytes (link, cs_buf_str (&bytes));
  cs_buf_free (&bytes);
}

static void
send_hello (cs_link_t *link)
{
  cs_router_settings_t *settings = &link->mesh->router->settings;
  Cs__Router__Hello hello = CS__ROUTER__HELLO__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  hello.name = settings->name;
  hello.data_centre = settings->data_centre;
  hello.address = settings->peers;
  hello.capacity = cs_router_settings_capacity (settings);
  hello.reads_compressed = true;
  hello.saves_streams = true;
  hello.finds_versions = true;
  hello.reads_versions = true;
  hello.max_crash_parts = CS_CRASH_PARTS_MAX;
  hello.reads_evacuations = link->mesh->router->evacuations != NULL;
  hello.needs_members = !cs_directory_has_list (link->mesh->directory);
  frame.body_case = CS__ROUTER__FRAME__BODY_HELLO;
  frame.hello = &hello;
  cs_link_send (link, &frame);
}

static void
drop_link (cs_link_t *link, cs_time_us_t now)
{
  cs_mesh_t *mesh = link->mesh;
  uint64_t id = link->id;
  bool dialled = link->dialled;
  if (link->hello_received)
    cs_log (CS_EV_PEER_LOST, "peer=%016llx", (unsigned long long)id);
  cs_link_close (link);
  if (dialled)
    cs_mesh_on_link_lost (mesh, id, now);
}

static void
read_hello (cs_link_t *link, const Cs__Router__Hello *hello)
{
  cs_mesh_t *mesh = link->mesh;
  cs_router_entry_t entry = { .name = cs_str (hello->name),
                              .data_centre = cs_str (hello->data_centre),
                              .address = cs_str (hello->address),
                              .capacity = hello->capacity };
  cs_mesh_add_member (mesh, &entry);
  link->id = cs_hash (cs_str (hello->name), 0);
  link->data_centre = cs_hash (cs_str (hello->data_centre), 0);
  link->capacity = hello->capacity;
  link->reads_compressed = hello->reads_compressed;
  link->saves_streams = hello->saves_streams;
  link->finds_versions = hello->finds_versions;
  link->reads_versions = hello->reads_versions;
  link->max_crash_parts = hello->max_crash_parts > 0 ? hello->max_crash_parts
                                                     : DEFAULT_CRASH_PARTS;
  link->reads_evacuations = hello->reads_evacuations;
  link->hello_received = true;
  cs_log (CS_EV_PEER_CONNECTED, "peer=%016llx name=%s data_centre=%s",
          (unsigned long long)link->id, hello->name, hello->data_centre);
  cs_mesh_on_link_established (mesh, link->id);
  if (hello->needs_members)
    cs_members_send (link);
  cs_known_versions_send (link, cs_loop_now (mesh->router->loop));
  /* The peer's next heartbeat echoes this one, and then dates its state.  */
  cs_link_send_heartbeat (link, cs_loop_now (mesh->router->loop));
}

/* Returns CS_ERR_BAD_FRAME for a frame that isn't allowed in this state: the
   first one must be Hello, and only the first.  */
static int
read_frame (cs_link_t *link, const cs_router_frame_t *frame, cs_time_us_t now)
{
  link->last_received_at = now;
  if (link->hello_received
      != (frame->body_case != CS__ROUTER__FRAME__BODY_HELLO))
    return CS_ERR_BAD_FRAME;
  switch (frame->body_case)
    {
    case CS__ROUTER__FRAME__BODY_HELLO:
      read_hello (link, frame->hello);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_BEAT:
      cs_loads_read_heartbeat (link, frame->beat);
      cs_sync_read_heartbeat (link, frame->beat, now);
      cs_notices_read_heartbeat (link, frame->beat, now);
      cs_crash_notices_read_heartbeat (link, frame->beat, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_ROUTING:
      cs_sync_read_routing (link, frame->routing);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_TARGETS:
      cs_sync_read_targets (link, frame->targets, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_EVACUATIONS:
      cs_sync_read_evacuations (link, frame->evacuations, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_VERSIONS:
      cs_known_versions_read (link, frame->versions, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_MEMBERS:
      cs_members_read (link->mesh, frame->members);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_STREAMS:
      cs_streams_read (link, frame->streams, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_STREAMS_SAVED:
      cs_streams_read_saved (link, frame->streams_saved, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_FIND_VERSION:
      cs_version_questions_read (link, frame->find_version, now);
      return CS_OK;
    case CS__ROUTER__FRAME__BODY_VERSION_FOUND:
      cs_stream_versions_answer (link->mesh->router->stream_versions,
                                 frame->version_found->number,
                                 frame->version_found->version, now);
      return CS_OK;
    default:
      return CS_ERR_BAD_FRAME;
    }
}

/* Handles all complete frames in BYTES and leaves the rest there.  */
static int
read_frames (cs_link_t *link, cs_str_t *bytes, cs_time_us_t now)
{
  cs_router_frame_t *frame;
  size_t consumed;
  int rc;
  while ((rc = cs_router_frame_parse (*bytes, &frame, &consumed)) == 0
         && frame != NULL)
    {
      rc = read_frame (link, frame, now);
      cs__router__frame__free_unpacked (frame, NULL);
      if (rc != 0)
        return rc;
      bytes->data += consumed;
      bytes->len -= consumed;
    }
  return rc;
}

static void
on_data (void *context, cs_str_t data)
{
  cs_link_t *link = context;
  cs_time_us_t now = cs_loop_now (link->mesh->router->loop);
  cs_buf_t buffered = link->received;
  cs_str_t bytes = data;
  link->received = (cs_buf_t){ 0 };
  int rc = CS_OK;
  if (buffered.len > 0)
    {
      rc = cs_buf_append (&buffered, data);
      bytes = cs_buf_str (&buffered);
    }
  if (rc == 0)
    rc = read_frames (link, &bytes, now);
  if (rc == 0 && bytes.len > 0)
    rc = cs_buf_append (&link->received, bytes);
  cs_buf_free (&buffered);
  if (rc == 0)
    return;
  cs_log (CS_EV_PEER_REJECTED, "peer=%016llx error=%s",
          (unsigned long long)link->id, cs_error_name (rc));
  drop_link (link, now);
}

static void
on_end (void *context, int error)
{
  cs_link_t *link = context;
  drop_link (link, cs_loop_now (link->mesh->router->loop));
}

static void
on_open (void *context)
{
  send_hello (context);
}

static const cs_channel_handlers_t handlers
    = { .on_open = on_open, .on_data = on_data, .on_end = on_end };

static cs_link_t *
create_link (cs_mesh_t *mesh)
{
  cs_link_t *link = calloc (1, sizeof *link);
  if (link == NULL)
    return NULL;
  link->mesh = mesh;
  link->last_received_at = cs_loop_now (mesh->router->loop);
  return link;
}

/* Adds LINK to the mesh, or frees it and returns NULL if it has no
   channel.  */
static cs_link_t *
add_link (cs_link_t *link)
{
  if (link->channel == NULL)
    {
      free (link);
      return NULL;
    }
  link->next = link->mesh->links;
  link->mesh->links = link;
  return link;
}

cs_link_t *
cs_link_dial (cs_mesh_t *mesh, const cs_member_t *member)
{
  cs_link_t *link = create_link (mesh);
  if (link == NULL)
    return NULL;
  link->dialled = true;
  link->id = member->id;
  link->data_centre = member->data_centre;
  link->channel = cs_channel_connect (mesh->router->loop, &member->address,
                                      CONNECT_TIMEOUT_US, USER_TIMEOUT_US,
                                      &handlers, link);
  return add_link (link);
}

void
cs_link_accept (void *context, int fd)
{
  cs_mesh_t *mesh = context;
  cs_link_t *link = create_link (mesh);
  if (link == NULL)
    {
      evutil_closesocket (fd);
      return;
    }
  link->channel = cs_channel_adopt (mesh->router->loop, fd, &handlers, link);
  link = add_link (link);
  if (link != NULL)
    send_hello (link);
}
