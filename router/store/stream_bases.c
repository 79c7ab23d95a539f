/* What this router knows of the versions at which unrecorded streams began,
   and what it tells its peers.  */

#include "common/hash.h"
#include "router/mesh.h"
#include "router/store/stream_internal.h"

bool
cs_stream_versions_must_save (const cs_stream_versions_t *versions,
                              uint64_t service, uint64_t version,
                              cs_time_us_t now)
{
  const cs_version_history_t *history = &versions->history;
  uint64_t base = cs_version_history_main_base (history, service, now);
  if (version == 0)
    return false;
  /* While the system starts for the first time there is no base.  */
  if (cs_version_history_base (history, service, now) == 0)
    return !cs_stream_knows_bases (versions)
           && !cs_mesh_is_new (versions->router->mesh);
  return base != 0 && version != base;
}

bool
cs_stream_knows_bases (const cs_stream_versions_t *versions)
{
  return versions->is_read || versions->was_told;
}

void
cs_stream_bases_update (cs_stream_versions_t *versions, cs_time_us_t now)
{
  const cs_version_history_t *history = &versions->history;
  uint64_t hash = cs_stream_knows_bases (versions);
  for (size_t i = 0; i < history->count; i++)
    {
      const cs_version_seen_t *seen = &history->seen[i];
      uint64_t parts[] = {
        seen->version,
        seen->seen_at >= versions->updated_at,
        seen->is_base,
        seen->is_base
            && cs_version_history_had_few (history, seen->service, now),
      };
      hash ^= cs_hash ((cs_str_t){ (const char *)parts, sizeof parts }, 0);
    }
  if (hash != versions->tell_hash)
    versions->tell_state++;
  versions->tell_hash = hash;
}

size_t
cs_stream_versions_to_tell (const cs_stream_versions_t *versions,
                            cs_version_seen_t out[CS_VERSION_HISTORY_MAX],
                            uint64_t *state)
{
  *state = 0;
  if (versions == NULL || !cs_stream_knows_bases (versions))
    return 0;
  *state = versions->tell_state;
  for (size_t i = 0; i < versions->history.count; i++)
    out[i] = versions->history.seen[i];
  return versions->history.count;
}

void
cs_stream_versions_told (cs_stream_versions_t *versions,
                         const cs_version_seen_t *told, size_t count,
                         cs_time_us_t now)
{
  bool is_new = false;
  if (versions == NULL)
    return;
  cs_version_history_t *history = &versions->history;
  for (size_t i = 0; i < count; i++)
    {
      if (cs_version_history_see (history, &told[i], now))
        is_new = true;
      if (told[i].is_base
          && cs_version_history_base (history, told[i].service, now) == 0)
        cs_version_history_set_base (history, told[i].version);
    }
  versions->was_told = true;
  if (is_new && cs_stream_versions_are_several (versions, now))
    cs_stream_request_save (versions, now);
  cs_stream_bases_update (versions, now);
  cs_timer_set (&versions->timer, 0);
}
