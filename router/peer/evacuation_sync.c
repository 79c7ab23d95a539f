/* Synchronises the set of evacuated data centres between routers.  It is
   small, so that a peer that is behind is always sent the whole set.  */

#include <stdlib.h>

#include "router/evacuations.h"
#include "router/peer/internal.h"

void
cs_evacuation_sync_fill_heartbeat (const cs_router_t *router,
                                   Cs__Router__Beat *beat, cs_time_us_t now)
{
  const cs_sync_state_t *sync_state = &router->evacuations_sync;
  if (router->evacuations == NULL
      || !cs_evacuations_is_known (router->evacuations))
    return;
  cs_revision_t revision = cs_evacuations_revision (router->evacuations);
  beat->evacuations_revision = revision.number;
  beat->evacuations_era = revision.era;
  beat->has_evacuations_age = sync_state->own_confirmed_at != 0;
  if (beat->has_evacuations_age)
    beat->evacuations_age_ms = cs_sync_age_ms (sync_state, now);
}

void
cs_evacuation_sync_read_heartbeat (cs_link_t *link,
                                   const Cs__Router__Beat *beat,
                                   cs_time_us_t written_at)
{
  cs_router_t *router = link->mesh->router;
  if (router->evacuations == NULL)
    return;
  link->evacuations_revision = cs_sync_peer_revision (
      router, beat->evacuations_era, beat->evacuations_revision);
  if (beat->has_evacuations_age
      && cs_evacuations_is_known (router->evacuations)
      && cs_revision_compare (link->evacuations_revision,
                              cs_evacuations_revision (router->evacuations))
             <= 0)
    cs_sync_record_confirmation (&router->evacuations_sync,
                                 beat->evacuations_age_ms, written_at);
}

/* Whether the set keeps names of which the peer wasn't told.  It may lack them
   at any revision, as the store does.  */
static bool
has_more_kept (const cs_link_t *link, cs_time_us_t now)
{
  const cs_evacuations_t *evacuations = link->mesh->router->evacuations;
  cs_evacuation_kept_t kept;
  return link->evacuations_kept_sent != cs_evacuations_kept_total (evacuations)
         && cs_evacuations_kept_at (evacuations, 0, now, &kept);
}

bool
cs_evacuation_sync_is_behind (const cs_link_t *link, cs_time_us_t now)
{
  const cs_evacuations_t *evacuations = link->mesh->router->evacuations;
  return link->reads_evacuations && evacuations != NULL
         && cs_evacuations_is_known (evacuations)
         && (cs_revision_compare (link->evacuations_revision,
                                  cs_evacuations_revision (evacuations))
                 < 0
             || has_more_kept (link, now));
}

/* Stores in LIST the names that stay in force after NOW, at most COUNT.
   Returns their number.  */
static size_t
fill_kept (const cs_evacuations_t *evacuations, cs_time_us_t now,
           Cs__Router__KeptEvacuation **list, size_t count)
{
  cs_evacuation_kept_t kept;
  size_t n = 0;
  while (n < count && cs_evacuations_kept_at (evacuations, n, now, &kept))
    {
      Cs__Router__KeptEvacuation *entry = list[n++];
      cs__router__kept_evacuation__init (entry);
      entry->data_centre = (char *)kept.name->text;
      entry->remaining_ms = (uint32_t)((kept.until - now) / CS_US_PER_MS);
      entry->hops = kept.hops;
    }
  return n;
}

void
cs_evacuation_sync_send (cs_link_t *link, cs_time_us_t now)
{
  const cs_evacuations_t *evacuations = link->mesh->router->evacuations;
  Cs__Router__Evacuations message = CS__ROUTER__EVACUATIONS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  cs_revision_t revision = cs_evacuations_revision (evacuations);
  const cs_name_t *name;
  size_t count = cs_evacuations_count (evacuations);
  char **names = calloc (count + 1, sizeof (char *));
  Cs__Router__KeptEvacuation *entries = calloc (count + 1, sizeof *entries);
  Cs__Router__KeptEvacuation **kept
      = calloc (count + 1, sizeof (Cs__Router__KeptEvacuation *));
  if (names == NULL || entries == NULL || kept == NULL)
    goto out;
  for (size_t i = 0; i < count; i++)
    kept[i] = &entries[i];
  while (
      (name = cs_evacuations_listed_at (evacuations, message.n_data_centres))
      != NULL)
    names[message.n_data_centres++] = (char *)name->text;
  message.data_centres = names;
  message.kept = kept;
  message.n_kept = fill_kept (evacuations, now, kept, count);
  message.revision = revision.number;
  message.era = revision.era;
  frame.body_case = CS__ROUTER__FRAME__BODY_EVACUATIONS;
  frame.evacuations = &message;
  cs_link_send (link, &frame);
  if (cs_revision_compare (revision, link->evacuations_revision) > 0)
    link->evacuations_revision = revision;
  link->evacuations_kept_sent = cs_evacuations_kept_total (evacuations);
out:
  free (names);
  free (entries);
  free (kept);
}

static void
read_kept (cs_router_t *router, const Cs__Router__KeptEvacuation *message,
           cs_revision_t revision, cs_time_us_t now)
{
  cs_name_t name;
  cs_name_set (&name, cs_str (message->data_centre));
  cs_evacuation_kept_t kept
      = { .name = &name,
          .until = now + message->remaining_ms * CS_US_PER_MS,
          .hops
          = message->hops < UINT32_MAX ? message->hops + 1 : message->hops };
  if (message->remaining_ms > 0)
    cs_router_evacuations_keep (router, &kept, revision, now);
}

void
cs_sync_read_evacuations (cs_link_t *link,
                          const Cs__Router__Evacuations *evacuations,
                          cs_time_us_t now)
{
  cs_router_t *router = link->mesh->router;
  if (router->evacuations == NULL)
    return;
  cs_revision_t revision = cs_sync_peer_revision (router, evacuations->era,
                                                  evacuations->revision);
  size_t count = evacuations->n_data_centres;
  cs_name_t *names = calloc (count + 1, sizeof *names);
  if (names == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    cs_name_set (&names[i], cs_str (evacuations->data_centres[i]));
  int rc = cs_router_evacuations_replace (router, names, count, revision, now);
  free (names);
  /* The next heartbeat states the old revision, and the peer sends the set
     again.  */
  if (rc != 0)
    return;
  for (size_t i = 0; i < evacuations->n_kept; i++)
    read_kept (router, evacuations->kept[i], revision, now);
  if (revision.era > router->store_era)
    router->store_era = revision.era;
  if (cs_revision_compare (revision, router->evacuations_sync.revision) > 0
      && cs_evacuations_is_known (router->evacuations))
    router->evacuations_sync.revision = revision;
  cs_mesh_push_changes (link->mesh);
}
