/* Questions of routers that can't read the platform's store: at which version
   a stream began.  A peer searches for it as for a stream that is taken up at
   itself.  */

#include <stdlib.h>

#include "common/error.h"
#include "router/peer/internal.h"
#include "router/stream_versions.h"

/* Peers that are asked about a stream.  */
#define MAX_ASKED 3
/* Questions of all peers that are searched for at once.  */
#define MAX_QUESTIONS 4096
/* Heartbeat intervals within which a peer that is reached has answered.  */
#define RECENT_HEARTBEATS 3

struct cs_version_question
{
  cs_version_question_t *next;
  cs_link_t *link; /* of the router that asks */
  uint64_t number;
  cs_version_lookup_t lookup;
};

static bool
ask (cs_link_t *link, const cs_version_lookup_t *lookup)
{
  Cs__Router__FindVersion question = CS__ROUTER__FIND_VERSION__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  if (!link->hello_received || !link->finds_versions)
    return false;
  question.number = lookup->number;
  question.stream = lookup->stream;
  question.service = lookup->service;
  frame.body_case = CS__ROUTER__FRAME__BODY_FIND_VERSION;
  frame.find_version = &question;
  cs_link_send (link, &frame);
  return true;
}

void
cs_mesh_ask_version (cs_mesh_t *mesh, const cs_version_lookup_t *lookup)
{
  size_t count = 0;
  if (mesh == NULL)
    return;
  cs_link_t *hub = cs_loads_find_hub (mesh);
  if (hub != NULL && ask (hub, lookup))
    count++;
  for (cs_link_t *link = mesh->links; link != NULL && count < MAX_ASKED;
       link = link->next)
    if (link != hub && ask (link, lookup))
      count++;
}

static void
answer (cs_link_t *link, uint64_t number, uint64_t version)
{
  Cs__Router__VersionFound found = CS__ROUTER__VERSION_FOUND__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  found.number = number;
  found.version = version;
  frame.body_case = CS__ROUTER__FRAME__BODY_VERSION_FOUND;
  frame.version_found = &found;
  cs_link_send (link, &frame);
}

static void
remove_question (cs_mesh_t *mesh, cs_version_question_t *question)
{
  cs_version_question_t **at = &mesh->questions;
  while (*at != question)
    at = &(*at)->next;
  *at = question->next;
  mesh->question_count--;
  free (question);
}

static void
on_found (void *context, int result, cs_time_us_t now)
{
  cs_version_question_t *question = context;
  if (result == CS_OK)
    answer (question->link, question->number, question->lookup.version);
  remove_question (question->link->mesh, question);
}

void
cs_version_questions_read (cs_link_t *link,
                           const Cs__Router__FindVersion *asked,
                           cs_time_us_t now)
{
  cs_mesh_t *mesh = link->mesh;
  cs_stream_versions_t *versions = mesh->router->stream_versions;
  if (versions == NULL || mesh->question_count >= MAX_QUESTIONS)
    return;
  cs_version_question_t *question = calloc (1, sizeof *question);
  if (question == NULL)
    return;
  question->link = link;
  question->number = asked->number;
  question->lookup.stream = asked->stream;
  question->lookup.service = asked->service;
  question->lookup.is_for_peer = true;
  question->lookup.on_result = on_found;
  question->lookup.context = question;
  question->next = mesh->questions;
  mesh->questions = question;
  mesh->question_count++;
  int rc = cs_stream_versions_find (versions, &question->lookup, now);
  if (rc != CS_ERR_IN_PROGRESS)
    on_found (question, rc, now);
}

void
cs_version_questions_end (cs_link_t *link)
{
  cs_mesh_t *mesh = link->mesh;
  cs_version_question_t *next;
  for (cs_version_question_t *question = mesh->questions; question != NULL;
       question = next)
    {
      next = question->next;
      if (question->link != link)
        continue;
      if (mesh->router->stream_versions != NULL)
        cs_stream_versions_cancel (mesh->router->stream_versions,
                                   &question->lookup);
      remove_question (mesh, question);
    }
}

/* Whether the peer of LINK had no list of targets that is newer than this
   router's when it wrote a heartbeat after SINCE.  */
static bool
has_no_newer_targets (const cs_link_t *link, cs_time_us_t since)
{
  return link->hello_received && link->targets_known_at >= since
         && cs_revision_compare (link->targets_revision,
                                 cs_fleet_revision (link->mesh->router->fleet))
                <= 0;
}

static bool
is_reached (const cs_mesh_t *mesh, const cs_member_t *member,
            cs_time_us_t since)
{
  bool is_local = member->data_centre == mesh->data_centre;
  for (const cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if ((is_local ? link->id == member->id
                  : link->data_centre == member->data_centre)
        && has_no_newer_targets (link, since))
      return true;
  return false;
}

/* Whether no router of this data centre and no other data centre had a newer
   list of targets after SINCE.  */
static bool
reaches_all (const cs_mesh_t *mesh, cs_time_us_t since)
{
  if (!mesh->role.is_first || !cs_directory_is_read (mesh->directory))
    return false;
  for (size_t i = 0; i < mesh->member_count; i++)
    if (!is_reached (mesh, &mesh->members[i], since))
      return false;
  return true;
}

void
cs_mesh_update_reach (cs_mesh_t *mesh, cs_time_us_t now)
{
  cs_time_us_t recent_us
      = RECENT_HEARTBEATS * mesh->router->settings.beat_ms * CS_US_PER_MS;
  mesh->reaches_all = now > recent_us && reaches_all (mesh, now - recent_us);
}

bool
cs_mesh_has_latest_targets (const cs_mesh_t *mesh, cs_time_us_t since)
{
  if (mesh == NULL || reaches_all (mesh, since))
    return true;
  for (const cs_link_t *link = mesh->links; link != NULL; link = link->next)
    if (link->reaches_all && has_no_newer_targets (link, since)
        && link->data_centre == mesh->data_centre)
      return true;
  return false;
}
